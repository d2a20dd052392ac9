"""Systems of the control component."""

from snipejunction.components.control.systems import (
    access,
    addresses,
    applying,
    changes,
    feeding,
    following,
    grants,
    in_force,
    machine,
    membership,
    proposing,
    renewals,
    snapshots,
    stopping,
)

SYSTEMS = (
    access,
    addresses,
    applying,
    changes,
    feeding,
    following,
    grants,
    in_force,
    machine,
    membership,
    proposing,
    renewals,
    snapshots,
    stopping,
)
