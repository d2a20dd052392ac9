"""Tables of the deployment component on a control host."""

from __future__ import annotations

from snipejunction.components.consensus.conditional import Revisions
from snipejunction.components.deployment.messages import (
    EntryHeartbeat,
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.registration.departures import Departures
from snipejunction.components.rollouts.tables import RolloutState
from snipejunction.timers import NEVER


class DeploymentState:
    """The replicated state, identical on all replicas at the same index.

    Version 0 means that there is no document yet. ``index`` is that of the
    last entry, ``update_index`` that of the last one that changed what entry
    hosts get: the document, the drained data centres and the roll-outs.
    """

    __slots__ = (
        'content',
        'departures',
        'drained',
        'index',
        'revisions',
        'rollouts',
        'update_index',
        'version',
    )

    def __init__(self) -> None:
        """Create the initial state."""
        self.index = 0
        self.version = 0
        self.content = b''
        self.drained: dict[str, bool] = {}
        self.departures = Departures()
        self.rollouts = RolloutState()
        self.revisions = Revisions()
        self.update_index = 0


class PendingOrder:
    """A proposed order that is not committed yet.

    ``origin`` is the name of the host that forwarded it, empty if it arrived
    at this one.
    """

    __slots__ = ('call_id', 'origin', 'term')

    def __init__(self, call_id: int, origin: str, term: int) -> None:
        """Create an order proposed in ``term``."""
        self.call_id = call_id
        self.origin = origin
        self.term = term


class ConnectedEntry:
    """An entry host with a stream to this control host.

    ``sent_index`` is the index of the last deployment sent to it,
    ``last_hosts_update`` the last update of the known hosts.
    """

    __slots__ = ('sent_index', 'heartbeat_at', 'heartbeat', 'last_hosts_update')

    def __init__(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Create an entry for a host whose heartbeat arrived at ``now``."""
        self.heartbeat = heartbeat
        self.heartbeat_at = now
        self.sent_index = 0
        self.last_hosts_update: HostsUpdate | None = None


class HostsUpdates:
    """The newest update of the known hosts, for all entry hosts.

    ``without_entries`` is for entry hosts that did not subscribe. Each object
    stays the same until its content changes, so that comparing identities
    tells whether an entry host has the newest one.
    """

    __slots__ = ('full', 'without_entries')

    def __init__(self) -> None:
        """Create updates without hosts."""
        self.full = HostsUpdate({}, [], False)
        self.without_entries = HostsUpdate({}, [], False)

    def replace(self, full: HostsUpdate) -> None:
        """Replace the updates whose content changed."""
        if full != self.full:
            self.full = full
        without_entries = HostsUpdate(full.controls, [], full.is_cut_off)
        if without_entries != self.without_entries:
            self.without_entries = without_entries


class DeploymentTable:
    """State of the deployment and of other hosts at a control host."""

    __slots__ = (
        '_next_token',
        'announcement_due',
        'confirmed_reads',
        'cut_off_since',
        'entries',
        'entries_by_control',
        'hosts_update_due',
        'hosts_updates',
        'last_entries_sent',
        'orders',
        'reads',
        'seeds',
        'state',
        'synced_controls',
    )

    def __init__(self) -> None:
        """Create a table without hosts."""
        self.state = DeploymentState()
        self.seeds: tuple[str, ...] = ()
        self.entries: dict[str, ConnectedEntry] = {}
        self.entries_by_control: dict[str, list[EntryRecord]] = {}
        self.hosts_update_due = NEVER
        self.hosts_updates = HostsUpdates()
        self.last_entries_sent: list[EntryRecord] = []
        self.orders: dict[int, PendingOrder] = {}
        self.reads: dict[int, tuple[int, str]] = {}
        # Maps call ids of confirmed reads to the log index they wait for.
        self.confirmed_reads: dict[int, int] = {}
        self.announcement_due = -NEVER
        self.cut_off_since: float | None = None
        # Members that got the entry hosts and searchers of this host.
        self.synced_controls: set[str] = set()
        self._next_token = 0

    @property
    def subscribers(self) -> list[str]:
        """Return the entry hosts that requested updates from this host."""
        return [
            name
            for name, entry in self.entries.items()
            if entry.heartbeat.wants_news
        ]

    def add_read(self, call_id: int, origin: str) -> int:
        """Add a read that waits for confirmation; return its token."""
        self._next_token += 1
        self.reads[self._next_token] = (call_id, origin)
        return self._next_token

    def all_entry_records(self) -> list[EntryRecord]:
        """Return the entry hosts that any control host reports, by name."""
        records_by_name = {
            record.name: record for record in self.local_entry_records()
        }
        for records in self.entries_by_control.values():
            records_by_name.update((record.name, record) for record in records)
        return [records_by_name[name] for name in sorted(records_by_name)]

    def local_entry_records(self) -> list[EntryRecord]:
        """Return the connected entry hosts that accept requests, by name."""
        return [
            EntryRecord(
                name,
                entry.heartbeat.address,
                entry.heartbeat.data_centre,
                entry.heartbeat.region,
            )
            for name, entry in sorted(self.entries.items())
            if entry.heartbeat.takes_work
        ]
