"""Systems of the roll-outs component."""

from snipejunction.components.rollouts.systems import (
    applying,
    deciding,
    pinning,
    reporting,
)

__all__ = ('applying', 'deciding', 'pinning', 'reporting')
