"""Systems of the registration component."""

from snipejunction.components.registration.systems import (
    announcing,
    departing,
    limits,
)

__all__ = ('announcing', 'departing', 'limits')
