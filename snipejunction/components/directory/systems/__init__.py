"""Systems of the directory component."""

from snipejunction.components.directory.systems import (
    publishing,
    registering,
    subscribe,
)

MODULES = (publishing, registering, subscribe)
