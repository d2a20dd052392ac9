"""Messages of the directory."""

from __future__ import annotations

from snipejunction.components.owner.messages import SnapshotEntry
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage


@wire(80)
class RouteEntry(Record):
    """Route to a searcher; a hint that may be stale.

    ``limit`` is the concurrency that the current warm-up state allows,
    ``in_use`` the number of requests in flight or queued, ``latency`` the
    owner's estimate of the service time in seconds.
    """

    __slots__ = (
        'data_centre',
        'in_use',
        'latency',
        'limit',
        'owner',
        'searcher',
        'service',
        'slots',
        'snapshots',
        'state',
    )

    def __init__(
        self,
        searcher: str,
        service: str,
        data_centre: str,
        owner: str,
        snapshots: tuple[SnapshotEntry, ...],
        slots: int,
        limit: int,
        in_use: int,
        latency: float,
        state: str,
    ) -> None:
        """Create an entry."""
        self.searcher = searcher
        self.service = service
        self.data_centre = data_centre
        self.owner = owner
        self.snapshots = snapshots
        self.slots = slots
        self.limit = limit
        self.in_use = in_use
        self.latency = latency
        self.state = state

    def with_snapshots(
        self,
        snapshots: tuple[SnapshotEntry, ...],
    ) -> RouteEntry:
        """Return a copy with other snapshots."""
        return RouteEntry(
            self.searcher,
            self.service,
            self.data_centre,
            self.owner,
            snapshots,
            self.slots,
            self.limit,
            self.in_use,
            self.latency,
            self.state,
        )

    def with_load(self, load: RouteLoad) -> RouteEntry:
        """Return a copy with the fields of ``load``."""
        return RouteEntry(
            self.searcher,
            self.service,
            self.data_centre,
            self.owner,
            self.snapshots,
            self.slots,
            load.limit,
            load.in_use,
            load.latency,
            load.state,
        )


@wire(84)
class RouteLoad(Record):
    """Frequently changing fields of a route entry."""

    __slots__ = ('in_use', 'latency', 'limit', 'searcher', 'state')

    def __init__(
        self,
        searcher: str,
        limit: int,
        in_use: int,
        latency: float,
        state: str,
    ) -> None:
        """Create the load of ``searcher``."""
        self.searcher = searcher
        self.limit = limit
        self.in_use = in_use
        self.latency = latency
        self.state = state


@wire(81)
class PublishRoutes(PeerMessage):
    """Publication of an owner's searchers to a registrar of their service.

    With ``is_full`` the entries are part ``part``, counted from zero, of
    ``parts`` parts of all the owner's entries for the service; all parts
    have the same sequence. A publication without changes reveals whether
    earlier ones were lost. ``layouts`` has the shard sizes of the entries.
    """

    __slots__ = (
        'entries',
        'is_full',
        'layouts',
        'loads',
        'part',
        'parts',
        'removed',
        'sequence',
        'service',
    )

    def __init__(
        self,
        service: str,
        sequence: int,
        is_full: bool,
        entries: list[RouteEntry],
        loads: list[RouteLoad],
        removed: list[str],
        layouts: list[SnapshotEntry],
        part: int = 0,
        parts: int = 1,
    ) -> None:
        """Create a publication; ``sequence`` increases for each owner."""
        self.service = service
        self.sequence = sequence
        self.is_full = is_full
        self.entries = entries
        self.loads = loads
        self.removed = removed
        self.layouts = layouts
        self.part = part
        self.parts = parts


@wire(82)
class SubscribeRoutes(PeerMessage):
    """Subscription of a root to the routes of a service."""

    __slots__ = ('service', 'version')

    def __init__(self, service: str, version: int) -> None:
        """Create a subscription to the changes after ``version``.

        Version zero requests the full table.
        """
        self.service = service
        self.version = version


@wire(83)
class RouteDelta(PeerMessage):
    """Changes of the routes of a service between two versions.

    ``layouts`` has the shard sizes of the entries. A full table is sent in
    ``parts`` parts of the same version; ``part`` counts from zero.
    """

    __slots__ = (
        'base',
        'entries',
        'layouts',
        'loads',
        'part',
        'parts',
        'removed',
        'service',
        'version',
    )

    def __init__(
        self,
        service: str,
        base: int,
        version: int,
        entries: list[RouteEntry],
        loads: list[RouteLoad],
        removed: list[str],
        layouts: list[SnapshotEntry],
        part: int = 0,
        parts: int = 1,
    ) -> None:
        """Create a delta; a base of zero means a full table."""
        self.service = service
        self.base = base
        self.version = version
        self.entries = entries
        self.loads = loads
        self.removed = removed
        self.layouts = layouts
        self.part = part
        self.parts = parts


@wire(85)
class RepublishRequest(PeerMessage):
    """Request of a registrar that missed publications for a full one."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        """Create a request for the entries of ``service``."""
        self.service = service


class RoutesChanged(Message):
    """Notice that the routes of a subscribed service changed."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        """Create a notice for ``service``."""
        self.service = service


class PublishDue(Message):
    """Timer for the publication of changed searchers of a service."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        """Create a timer message for ``service``."""
        self.service = service


class ForwardDue(Message):
    """Timer for forwarding changed routes of a service to subscribers."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        """Create a timer message for ``service``."""
        self.service = service
