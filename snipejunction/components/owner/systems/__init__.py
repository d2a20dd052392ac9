"""Systems of the owner component."""

from snipejunction.components.owner.systems import (
    finishing,
    forwarding,
    owning,
    receiving,
    registering,
    running_once,
    serving,
    sweeping,
    watching,
)

MODULES = (
    finishing,
    forwarding,
    owning,
    receiving,
    registering,
    running_once,
    serving,
    sweeping,
    watching,
)
