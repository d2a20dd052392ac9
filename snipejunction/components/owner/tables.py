"""Tables of the owner component."""

from __future__ import annotations

import itertools

from snipejunction.components.owner.announcing import PendingAnnouncement
from snipejunction.components.owner.hand_overs import HandOverTable
from snipejunction.components.owner.peers import RootPeer
from snipejunction.components.owner.runs import RunOutcomeTable
from snipejunction.components.owner.searcher import Dispatch, Searcher


class OwnerTable:
    """Entities of the owner component.

    ``searchers`` are owned by this host in the newest view. ``lost`` were
    assigned to another host, but this host still has requests or connections
    open to them. ``active`` are checked on every tick.
    """

    __slots__ = (
        '_connection_ids',
        '_dispatch_ids',
        'active',
        'baselines',
        'connections',
        'counters',
        'dispatches',
        'hand_overs',
        'lost',
        'next_rotation_at',
        'next_sweep_at',
        'out_data_centres',
        'peers',
        'pending_announcements',
        'runs',
        'searchers',
    )

    def __init__(self) -> None:
        """Create empty tables."""
        self._connection_ids = itertools.count(1)
        self._dispatch_ids = itertools.count(1)
        self.searchers: dict[str, Searcher] = {}
        self.lost: dict[str, Searcher] = {}
        self.active: dict[str, Searcher] = {}
        self.connections: dict[int, Searcher] = {}
        self.dispatches: dict[int, Dispatch] = {}
        self.peers: dict[str, RootPeer] = {}
        self.runs = RunOutcomeTable()
        self.pending_announcements: dict[int, PendingAnnouncement] = {}
        self.hand_overs = HandOverTable()
        # Cached median baseline of each service, after its expiry time.
        self.baselines: dict[str, tuple[float, float | None]] = {}
        self.out_data_centres: frozenset[str] = frozenset()
        self.counters: dict[str, int] = {}
        self.next_sweep_at = 0.0
        self.next_rotation_at = 0.0

    def new_connection_id(self) -> int:
        """Return an id that is unique within the process."""
        return next(self._connection_ids)

    def new_dispatch_id(self) -> int:
        """Return an id that is unique within the process."""
        return next(self._dispatch_ids)

    def count(self, name: str, increment: int = 1) -> None:
        """Add to a counter that the next sweep reports."""
        self.counters[name] = self.counters.get(name, 0) + increment
