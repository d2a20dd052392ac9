"""The tables of one host."""

from __future__ import annotations

from random import Random
from typing import Final

from snipejunction.components.admission.tables import AdmissionTable
from snipejunction.components.consensus.tables import ConsensusTable
from snipejunction.components.control.lease import LeaseTable
from snipejunction.components.control.lifecycle import Lifecycle
from snipejunction.components.control.settings_table import SettingsTable
from snipejunction.components.control.tables import ControlTable
from snipejunction.components.control.view import ViewTable
from snipejunction.components.deployment.tables import DeploymentTable
from snipejunction.components.directory.routes import RoutingTable
from snipejunction.components.directory.tables import DirectoryTable
from snipejunction.components.journal.tables import JournalTable
from snipejunction.components.owner.tables import OwnerTable
from snipejunction.components.registration.tables import RegistrationTable
from snipejunction.components.rollouts.tables import RolloutTable
from snipejunction.components.root.tables import RootTable
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.timers import TimerTable

SUB_ID_BITS: Final = 48


class Node:
    """All tables of one host; systems read and change them."""

    __slots__ = (
        'admission',
        'consensus',
        'control',
        'deployment',
        'directory',
        'host_settings',
        'identity',
        'journal',
        'lease',
        'lifecycle',
        'owner',
        'random',
        'registration',
        'rollouts',
        'root',
        'routing',
        'settings',
        'timers',
        'view',
    )

    def __init__(self, host_settings: HostSettings, random: Random) -> None:
        """Create the tables of a host before its start."""
        self.host_settings: Final = host_settings
        self.identity: Final[HostIdentity] = host_settings.identity
        self.random: Final = random
        self.timers: Final = TimerTable()
        self.lifecycle: Final = Lifecycle()
        self.lease: Final = LeaseTable()
        self.view: Final = ViewTable()
        self.settings: Final = SettingsTable()
        self.consensus: Final = ConsensusTable()
        self.control: Final = ControlTable()
        self.directory: Final = DirectoryTable()
        self.routing: Final = RoutingTable()
        self.owner: Final = OwnerTable()
        # Random start, so that a restart does not reuse sub ids: an owner
        # may not have noticed the restart yet.
        self.root: Final = RootTable(random.getrandbits(SUB_ID_BITS))
        self.admission: Final = AdmissionTable()
        self.journal: Final = JournalTable()
        self.deployment: Final = DeploymentTable()
        self.registration: Final = RegistrationTable()
        self.rollouts: Final = RolloutTable()

    @property
    def name(self) -> str:
        """Return the name of the host."""
        return self.identity.name
