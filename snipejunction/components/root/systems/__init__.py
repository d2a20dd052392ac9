"""Systems of the root component."""

from snipejunction.components.root.systems import collect, search

SYSTEMS = (search, collect)
