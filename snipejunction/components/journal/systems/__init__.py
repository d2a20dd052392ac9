"""Systems of the journal component."""

from snipejunction.components.journal import machine
from snipejunction.components.journal.systems import (
    asking,
    client,
    ending,
    idle,
    leading,
    running,
)

__all__ = (
    'asking',
    'client',
    'ending',
    'idle',
    'leading',
    'machine',
    'running',
)
