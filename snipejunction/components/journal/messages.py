"""Messages and log entries of the journal component."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.components.admission.messages import AdmissionReply
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


class RunRequest(Message):
    """A caller's non-idempotent request, to be run at most once.

    ``key`` selects the shard whose searcher runs it; ``deadline`` is the
    remaining time in seconds, zero for the default of the service.
    """

    __slots__ = (
        'body',
        'call_id',
        'caller',
        'deadline',
        'key',
        'request_id',
        'service',
        'traceparent',
    )

    def __init__(
        self,
        call_id: int,
        request_id: str,
        caller: str,
        service: str,
        key: str,
        body: bytes,
        deadline: float,
        traceparent: str,
    ) -> None:
        """Create a request; ``RunResponse`` is its response."""
        self.call_id = call_id
        self.request_id = request_id
        self.caller = caller
        self.service = service
        self.key = key
        self.body = body
        self.deadline = deadline
        self.traceparent = traceparent


class RunResponse(Command):
    """Respond to a caller with the outcome or a refusal.

    ``is_replay`` says that an earlier request recorded the outcome.
    """

    __slots__ = ('call_id', 'is_replay', 'payload', 'refusal')

    def __init__(
        self,
        call_id: int,
        payload: bytes,
        refusal: Refusal | None = None,
        is_replay: bool = False,
    ) -> None:
        """Create a response to the call ``call_id``."""
        self.call_id = call_id
        self.payload = payload
        self.refusal = refusal
        self.is_replay = is_replay


class RunAdmitted(AdmissionReply):
    """The admission decision on a non-idempotent request."""

    __slots__ = ('run_id',)

    def __init__(self, run_id: int, caller: str, service: str) -> None:
        """Create a reply for the run ``run_id``."""
        super().__init__(caller, service)
        self.run_id = run_id


class RunDeadlineReached(Message):
    """The deadline of a run has passed."""

    __slots__ = ('run_id',)

    def __init__(self, run_id: int) -> None:
        """Create a timer message."""
        self.run_id = run_id


@wire(110)
class RequestKey(Record):
    """Scope (caller and service) and id of a request."""

    __slots__ = ('caller', 'request_id', 'service')

    def __init__(self, caller: str, service: str, request_id: str) -> None:
        """Create a key."""
        self.caller = caller
        self.service = service
        self.request_id = request_id

    def __hash__(self) -> int:
        """Return a hash of the fields, for use as a table key."""
        return hash((self.caller, self.service, self.request_id))


@wire(111)
class JournalBeginRequest(PeerMessage):
    """A root's request to begin an attempt, which ``token`` identifies.

    With ``is_lookup`` it only requests the status of the request.
    """

    __slots__ = ('digest', 'is_lookup', 'key', 'run_id', 'token')

    def __init__(
        self,
        run_id: int,
        key: RequestKey,
        digest: bytes,
        token: str,
        is_lookup: bool,
    ) -> None:
        """Create a request; ``digest`` is that of the body."""
        self.run_id = run_id
        self.key = key
        self.digest = digest
        self.token = token
        self.is_lookup = is_lookup


@wire(112)
class JournalBeginResponse(PeerMessage):
    """The journal's status of a request, a ``STATUS_`` constant.

    ``holder`` is the token of the recorded attempt, empty if there is none.
    """

    __slots__ = (
        'holder',
        'key',
        'payload',
        'refusal',
        'run_id',
        'status',
        'token',
    )

    def __init__(
        self,
        run_id: int,
        key: RequestKey,
        token: str,
        status: str,
        holder: str = '',
        refusal: Refusal | None = None,
        payload: bytes = b'',
    ) -> None:
        """Create a response to the attempt ``token``."""
        self.run_id = run_id
        self.key = key
        self.token = token
        self.status = status
        self.holder = holder
        self.refusal = refusal
        self.payload = payload


@wire(113)
class JournalFinishRequest(PeerMessage):
    """A root's request to record the outcome of its attempt."""

    __slots__ = ('key', 'payload', 'refusal', 'run_id', 'token')

    def __init__(
        self,
        run_id: int,
        key: RequestKey,
        token: str,
        refusal: Refusal | None,
        payload: bytes,
    ) -> None:
        """Create a request with a refusal or the searcher's payload."""
        self.run_id = run_id
        self.key = key
        self.token = token
        self.refusal = refusal
        self.payload = payload


@wire(114)
class JournalFinishResponse(PeerMessage):
    """The outcome of an attempt is committed."""

    __slots__ = ('run_id', 'token')

    def __init__(self, run_id: int, token: str) -> None:
        """Create a response to ``JournalFinishRequest``."""
        self.run_id = run_id
        self.token = token


@wire(115)
class JournalRedirect(PeerMessage):
    """A redirect from a host that does not lead the journal."""

    __slots__ = ('leader', 'run_id', 'token')

    def __init__(self, run_id: int, token: str, leader: str) -> None:
        """Create a redirect; ``leader`` is empty if it is unknown."""
        self.run_id = run_id
        self.token = token
        self.leader = leader


@wire(116)
class BeginEntry(Record):
    """Log entry that begins an attempt."""

    __slots__ = ('digest', 'key', 'token')

    def __init__(self, key: RequestKey, digest: bytes, token: str) -> None:
        """Create an entry."""
        self.key = key
        self.digest = digest
        self.token = token


@wire(117)
class FinishEntry(Record):
    """Log entry that records the outcome of an attempt."""

    __slots__ = ('key', 'payload', 'refusal', 'token')

    def __init__(
        self,
        key: RequestKey,
        token: str,
        refusal: Refusal | None,
        payload: bytes,
    ) -> None:
        """Create an entry."""
        self.key = key
        self.token = token
        self.refusal = refusal
        self.payload = payload


@wire(118)
class RequestRecord(Record):
    """The journal's record of a request.

    ``state`` is one of the ``STATE_`` constants; ``token`` identifies the
    last attempt. A payload that is too large to keep is replaced by a
    refusal with the verdict that it ran.
    """

    __slots__ = ('digest', 'key', 'payload', 'refusal', 'state', 'token')

    def __init__(
        self,
        key: RequestKey,
        digest: bytes,
        token: str,
        state: str,
        refusal: Refusal | None,
        payload: bytes,
    ) -> None:
        """Create a record."""
        self.key = key
        self.digest = digest
        self.token = token
        self.state = state
        self.refusal = refusal
        self.payload = payload


@wire(119)
class JournalSnapshot(Record):
    """The serialised state: records, retired ids and floors.

    Records and ``past`` are ordered from oldest to newest. An item of
    ``past`` is the hash of a request without a record, the hash of its scope
    and the number of its ordered id, -1 without one. ``floors`` maps the
    hash of a scope to the number up to which all ordered ids are refused.
    """

    __slots__ = ('floors', 'past', 'records')

    def __init__(
        self,
        records: list[RequestRecord],
        past: list[tuple[int, int, int]],
        floors: dict[int, int],
    ) -> None:
        """Create a snapshot."""
        self.records = records
        self.past = past
        self.floors = floors
