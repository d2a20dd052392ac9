"""Log entries and the messages that distribute them to hosts."""

from __future__ import annotations

from snipejunction.components.control.view import HostEntry
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage


@wire(40)
class SettingsEntry(Record):
    """A log entry that changes settings if it passes the checks.

    ``written`` is a JSON object of documents by path, null to remove one.
    ``host`` received the change from ``operator`` at ``asked_at``, in Unix
    seconds.
    """

    __slots__ = (
        'asked_at',
        'base',
        'change_id',
        'host',
        'operator',
        'written',
    )

    def __init__(
        self,
        change_id: str,
        operator: str,
        host: str,
        asked_at: float,
        base: int,
        written: str,
    ) -> None:
        """Create an entry based on revision ``base``."""
        self.change_id = change_id
        self.operator = operator
        self.host = host
        self.asked_at = asked_at
        self.base = base
        self.written = written


@wire(41)
class HostChange(Record):
    """The addition, replacement, departure or removal of a host.

    It applies only if the host's incarnation in the view is ``previous``,
    empty for a host that is not in the view. ``entry`` is None to remove the
    host.
    """

    __slots__ = ('entry', 'name', 'previous')

    def __init__(
        self,
        name: str,
        previous: str,
        entry: HostEntry | None,
    ) -> None:
        """Create a change of the host ``name``."""
        self.name = name
        self.previous = previous
        self.entry = entry


@wire(42)
class ViewEntry(Record):
    """A log entry that changes the view."""

    __slots__ = ('changes',)

    def __init__(self, changes: list[HostChange]) -> None:
        """Create an entry of independent changes."""
        self.changes = changes


@wire(43)
class FeedEntry(Record):
    """A log entry that had an effect, in the form sent to followers.

    ``previous`` is the revision of the effective entry before it. A follower
    at a lower revision has missed entries.
    """

    __slots__ = ('payload', 'previous', 'revision')

    def __init__(self, revision: int, previous: int, payload: bytes) -> None:
        """Create an entry; ``payload`` is the frame of the log entry."""
        self.revision = revision
        self.previous = previous
        self.payload = payload


@wire(44)
class FollowFeed(PeerMessage):
    """Subscribe to the entries after ``revision``.

    ``settled`` is the revision up to which the host knows views as settled.
    """

    __slots__ = ('revision', 'settled')

    def __init__(self, revision: int, settled: int) -> None:
        """Create a request; the subscription expires unless renewed."""
        self.revision = revision
        self.settled = settled


@wire(45)
class FeedEntries(PeerMessage):
    """Log entries in order; an empty batch serves as a heartbeat.

    ``latest`` is the feeder's revision, ``settled`` the revision up to
    which it knows views as settled.
    """

    __slots__ = ('entries', 'latest', 'settled')

    def __init__(
        self,
        entries: list[FeedEntry],
        latest: int,
        settled: int,
    ) -> None:
        """Create a batch."""
        self.entries = entries
        self.latest = latest
        self.settled = settled


@wire(46)
class FetchSnapshot(PeerMessage):
    """Request the chunk of a snapshot at ``offset`` bytes."""

    __slots__ = ('offset', 'revision')

    def __init__(self, revision: int, offset: int) -> None:
        """Create a request for a chunk of the snapshot of ``revision``."""
        self.revision = revision
        self.offset = offset


@wire(47)
class SnapshotChunk(PeerMessage):
    """A chunk of a snapshot that is ``total`` bytes long."""

    __slots__ = ('chunk', 'offset', 'revision', 'total')

    def __init__(
        self,
        revision: int,
        offset: int,
        total: int,
        chunk: bytes,
    ) -> None:
        """Create the chunk that starts at ``offset``."""
        self.revision = revision
        self.offset = offset
        self.total = total
        self.chunk = chunk


@wire(48)
class HistoryEntry(Record):
    """A settings change in the history."""

    __slots__ = (
        'asked_at',
        'change_id',
        'host',
        'operator',
        'paths',
        'revision',
    )

    def __init__(
        self,
        revision: int,
        change_id: str,
        operator: str,
        host: str,
        asked_at: float,
        paths: list[str],
    ) -> None:
        """Create an entry; ``asked_at`` is in Unix seconds."""
        self.revision = revision
        self.change_id = change_id
        self.operator = operator
        self.host = host
        self.asked_at = asked_at
        self.paths = paths


@wire(49)
class HostSnapshot(Record):
    """The settings and the view at one revision; documents are JSON."""

    __slots__ = (
        'documents',
        'history',
        'hosts',
        'revision',
        'view_revision',
    )

    def __init__(
        self,
        revision: int,
        view_revision: int,
        documents: str,
        hosts: list[HostEntry],
        history: list[HistoryEntry],
    ) -> None:
        """Create a snapshot."""
        self.revision = revision
        self.view_revision = view_revision
        self.documents = documents
        self.hosts = hosts
        self.history = history


@wire(50)
class ChangeRecord(Record):
    """The outcome of a change; ``code`` is empty if it had an effect.

    ``logged_at`` is the revision of its log entry. ``revision`` is reported
    to the operator: that of the change or of the one it conflicted with.
    """

    __slots__ = ('change_id', 'code', 'digest', 'logged_at', 'revision')

    def __init__(
        self,
        change_id: str,
        digest: bytes,
        logged_at: int,
        revision: int,
        code: str,
    ) -> None:
        """Create a record."""
        self.change_id = change_id
        self.digest = digest
        self.logged_at = logged_at
        self.revision = revision
        self.code = code


@wire(51)
class GroupSnapshot(Record):
    """The state of the settings group on its voters.

    ``scopes`` maps each subtree to the revision that last changed it,
    ``joined`` each host to the revision at which its incarnation joined the
    view.
    """

    __slots__ = ('horizon', 'host', 'ids', 'joined', 'scopes')

    def __init__(
        self,
        host: HostSnapshot,
        scopes: dict[str, int],
        joined: dict[str, int],
        ids: list[ChangeRecord],
        horizon: int,
    ) -> None:
        """Create a snapshot; ids up to ``horizon`` are forgotten."""
        self.host = host
        self.scopes = scopes
        self.joined = joined
        self.ids = ids
        self.horizon = horizon
