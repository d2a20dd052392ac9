"""Systems of the deployment component."""

from snipejunction.components.deployment import machine
from snipejunction.components.deployment.systems import (
    host_updates,
    membership,
    orders,
    reading,
)

__all__ = ('host_updates', 'machine', 'membership', 'orders', 'reading')
