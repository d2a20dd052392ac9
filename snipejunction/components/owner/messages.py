"""Messages between roots, owners and upstreams."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.const import SEARCHER_READY
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


@wire(60)
class SnapshotId(Record):
    """Id of a consistent index snapshot: its version and shard layout."""

    __slots__ = ('layout', 'version')

    def __init__(self, version: int, layout: str) -> None:
        """Create a snapshot id; a higher version is newer."""
        self.version = version
        self.layout = layout

    def __eq__(self, other: object) -> bool:
        """Return whether both ids are equal; this is on the hot path."""
        if self is other:
            return True
        if not isinstance(other, SnapshotId):
            return NotImplemented
        return self.version == other.version and self.layout == other.layout

    def __hash__(self) -> int:
        """Return a hash of the fields; snapshot ids are dictionary keys."""
        return hash((self.version, self.layout))

    def __lt__(self, other: SnapshotId) -> bool:
        """Return whether this snapshot is older than ``other``."""
        own = (self.version, self.layout)
        return own < (other.version, other.layout)


@wire(61)
class SnapshotEntry(Record):
    """A snapshot that a searcher holds.

    ``shards`` are the shards that the searcher holds. ``documents`` is the
    number of documents in every shard of the layout, including shards that
    only other searchers hold.
    """

    __slots__ = ('documents', 'shards', 'snapshot')

    def __init__(
        self,
        snapshot: SnapshotId,
        shards: tuple[int, ...],
        documents: tuple[int, ...],
    ) -> None:
        """Create an entry."""
        self.snapshot = snapshot
        self.shards = shards
        self.documents = documents


@wire(62)
class Announcement(Record):
    """The registration of a searcher, renewed at intervals.

    ``boot_id`` changes with each start of the searcher. ``slots`` is the
    number of concurrent requests when warm, ``cold_capacity`` the number
    when cold, ``connections`` the maximum number of connections.
    """

    __slots__ = (
        'boot_id',
        'cold_capacity',
        'connections',
        'data_centre',
        'ip',
        'port',
        'searcher',
        'sequence',
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
        ip: str,
        port: int,
        boot_id: str,
        sequence: int,
        snapshots: tuple[SnapshotEntry, ...],
        slots: int,
        connections: int,
        cold_capacity: int,
        state: str = SEARCHER_READY,
    ) -> None:
        """Create an announcement; ``sequence`` increases within a boot."""
        self.searcher = searcher
        self.service = service
        self.data_centre = data_centre
        self.ip = ip
        self.port = port
        self.boot_id = boot_id
        self.sequence = sequence
        self.snapshots = snapshots
        self.slots = slots
        self.connections = connections
        self.cold_capacity = cold_capacity
        self.state = state


class AnnounceRequest(Message):
    """An upstream announces itself to this host."""

    __slots__ = ('announcement', 'call_id')

    def __init__(self, call_id: int, announcement: Announcement) -> None:
        """Create a request that is answered by ``AnnounceResponse``."""
        self.call_id = call_id
        self.announcement = announcement


class AnnounceResponse(Command):
    """Answer the announcement of an upstream.

    A leaving upstream is answered only once no new work can be dispatched
    to it. ``renew_after`` is in seconds.
    """

    __slots__ = ('call_id', 'refusal', 'renew_after')

    def __init__(
        self,
        call_id: int,
        renew_after: float,
        refusal: Refusal | None = None,
    ) -> None:
        """Create an answer to the call ``call_id``."""
        self.call_id = call_id
        self.renew_after = renew_after
        self.refusal = refusal


@wire(63)
class SubBatch(PeerMessage):
    """All sub-requests that one attempt of a query sends to one owner.

    The three lists are parallel. ``sub_ids`` are unique within the root's
    incarnation, ``shards`` holds the shards to search at each searcher.
    ``remaining`` is the time left in seconds. ``body`` is passed to the
    upstream unchanged.
    """

    __slots__ = (
        'body',
        'caller',
        'remaining',
        'searchers',
        'service',
        'shards',
        'snapshot',
        'sub_ids',
        'traceparent',
    )

    def __init__(
        self,
        service: str,
        caller: str,
        snapshot: SnapshotId,
        remaining: float,
        body: bytes,
        traceparent: str,
        sub_ids: list[int],
        searchers: list[str],
        shards: list[list[int]],
    ) -> None:
        """Create a batch."""
        self.service = service
        self.caller = caller
        self.snapshot = snapshot
        self.remaining = remaining
        self.body = body
        self.traceparent = traceparent
        self.sub_ids = sub_ids
        self.searchers = searchers
        self.shards = shards


@wire(64)
class SubCancel(PeerMessage):
    """Cancels sub-requests whose results the root no longer needs."""

    __slots__ = ('sub_ids',)

    def __init__(self, sub_ids: list[int]) -> None:
        """Create a cancellation."""
        self.sub_ids = sub_ids


@wire(65)
class SubResult(Record):
    """The result of one sub-request: a payload or a refusal.

    ``snapshot`` is the snapshot that the upstream answered from, ``shards``
    are the shards that it covered in full. ``queued`` and ``served`` are
    the seconds spent in the owner's queue and at the upstream.
    ``was_dispatched`` is whether the request was sent to the upstream.
    """

    __slots__ = (
        'payload',
        'queued',
        'refusal',
        'searcher',
        'served',
        'shards',
        'snapshot',
        'sub_id',
        'was_dispatched',
    )

    def __init__(
        self,
        sub_id: int,
        searcher: str,
        refusal: Refusal | None,
        payload: bytes,
        snapshot: SnapshotId | None,
        shards: list[int],
        queued: float,
        served: float,
        was_dispatched: bool,
    ) -> None:
        """Create a result."""
        self.sub_id = sub_id
        self.searcher = searcher
        self.refusal = refusal
        self.payload = payload
        self.snapshot = snapshot
        self.shards = shards
        self.queued = queued
        self.served = served
        self.was_dispatched = was_dispatched


@wire(66)
class SubResults(PeerMessage):
    """A batch of results of sub-requests of one root."""

    __slots__ = ('results',)

    def __init__(self, results: list[SubResult]) -> None:
        """Create a batch of results."""
        self.results = results


@wire(67)
class RunOnce(PeerMessage):
    """A non-idempotent request for one searcher.

    It is dispatched at most once for each ``run_id`` and never retried once
    a byte of it may have been sent. ``owner_incarnation`` is the incarnation
    of the owner in the sender's view. Any other incarnation ignores the
    request, because an earlier process may have run it. An empty value
    matches every incarnation.
    """

    __slots__ = (
        'body',
        'caller',
        'owner_incarnation',
        'remaining',
        'request_id',
        'run_id',
        'searcher',
        'service',
        'traceparent',
    )

    def __init__(
        self,
        run_id: int,
        request_id: str,
        service: str,
        caller: str,
        searcher: str,
        remaining: float,
        body: bytes,
        traceparent: str,
        owner_incarnation: str = '',
    ) -> None:
        """Create a request; ``run_id`` is unique within a root process."""
        self.run_id = run_id
        self.request_id = request_id
        self.service = service
        self.caller = caller
        self.searcher = searcher
        self.remaining = remaining
        self.body = body
        self.traceparent = traceparent
        self.owner_incarnation = owner_incarnation


@wire(68)
class RunOnceResult(PeerMessage):
    """The outcome of ``RunOnce``: a payload or a refusal."""

    __slots__ = ('payload', 'refusal', 'run_id')

    def __init__(
        self,
        run_id: int,
        refusal: Refusal | None,
        payload: bytes,
    ) -> None:
        """Create an outcome."""
        self.run_id = run_id
        self.refusal = refusal
        self.payload = payload
