"""Imports every component's systems, so that their handlers register."""

from snipejunction.components.admission import systems as admission
from snipejunction.components.consensus import systems as consensus
from snipejunction.components.control import systems as control
from snipejunction.components.directory import systems as directory
from snipejunction.components.journal import systems as journal
from snipejunction.components.owner import systems as owner
from snipejunction.components.root import systems as root

# The tick runs the systems in this order.
SYSTEMS = (consensus, control, directory, owner, admission, root, journal)
