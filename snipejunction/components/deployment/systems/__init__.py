"""Systems of the deployment component."""

from snipejunction.components.deployment import machine
from snipejunction.components.deployment.systems import (
    feeding,
    orders,
    reading,
    recruiting,
)

__all__ = ('feeding', 'machine', 'orders', 'reading', 'recruiting')
