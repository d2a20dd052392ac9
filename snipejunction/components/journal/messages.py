"""Messages of the journal, its entries included."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.components.admission.messages import AdmissionReply
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


class RunRequest(Message):
    """A caller asks for a request that is not idempotent.

    ``key`` chooses the shard whose searcher runs it; ``deadline`` is the
    time left in seconds, zero for that of the service.
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
    """Answer a caller with the recorded outcome or a refusal.

    ``is_replay`` says that the outcome was recorded by an earlier request.
    """

    __slots__ = ('call_id', 'is_replay', 'payload', 'refusal')

    def __init__(
        self,
        call_id: int,
        payload: bytes,
        refusal: Refusal | None = None,
        is_replay: bool = False,
    ) -> None:
        """Create an answer to the call ``call_id``."""
        self.call_id = call_id
        self.payload = payload
        self.refusal = refusal
        self.is_replay = is_replay


class RunAdmitted(AdmissionReply):
    """Admission decided on a request that is not idempotent."""

    __slots__ = ('run_id',)

    def __init__(self, run_id: int, caller: str, service: str) -> None:
        """Create a reply for the run ``run_id``."""
        super().__init__(caller, service)
        self.run_id = run_id


class RunDue(Message):
    """The deadline of a run is over."""

    __slots__ = ('run_id',)

    def __init__(self, run_id: int) -> None:
        """Create a timer message."""
        self.run_id = run_id


@wire(110)
class RequestKey(Record):
    """The scope and the id of a request, as its caller chose it."""

    __slots__ = ('caller', 'request_id', 'service')

    def __init__(self, caller: str, service: str, request_id: str) -> None:
        """Create a key."""
        self.caller = caller
        self.service = service
        self.request_id = request_id

    def __hash__(self) -> int:
        """Return a hash of the fields: a request is a key of tables."""
        return hash((self.caller, self.service, self.request_id))


@wire(111)
class JournalBegin(PeerMessage):
    """A root asks to begin a request; ``token`` names this very attempt.

    With ``is_lookup`` it only asks what is known of the request.
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
class JournalAnswer(PeerMessage):
    """What the journal says of a request, as a ``STATUS_`` constant.

    ``holder`` is the token of the attempt that the journal knows of.
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
        """Create an answer to the attempt ``token``."""
        self.run_id = run_id
        self.key = key
        self.token = token
        self.status = status
        self.holder = holder
        self.refusal = refusal
        self.payload = payload


@wire(113)
class JournalFinish(PeerMessage):
    """A root states the outcome of an attempt that it began."""

    __slots__ = ('key', 'payload', 'refusal', 'run_id', 'token')

    def __init__(
        self,
        run_id: int,
        key: RequestKey,
        token: str,
        refusal: Refusal | None,
        payload: bytes,
    ) -> None:
        """Create a statement: a refusal, or the searcher's payload."""
        self.run_id = run_id
        self.key = key
        self.token = token
        self.refusal = refusal
        self.payload = payload


@wire(114)
class JournalFinished(PeerMessage):
    """The outcome of an attempt is committed."""

    __slots__ = ('run_id', 'token')

    def __init__(self, run_id: int, token: str) -> None:
        """Create an answer to ``JournalFinish``."""
        self.run_id = run_id
        self.token = token


@wire(115)
class JournalRedirect(PeerMessage):
    """A host that does not lead the journal names the leader, if known."""

    __slots__ = ('leader', 'run_id', 'token')

    def __init__(self, run_id: int, token: str, leader: str) -> None:
        """Create an answer; ``leader`` is empty if it is unknown."""
        self.run_id = run_id
        self.token = token
        self.leader = leader


@wire(116)
class BeginEntry(Record):
    """Entry of the log: an attempt wants to begin."""

    __slots__ = ('digest', 'key', 'token')

    def __init__(self, key: RequestKey, digest: bytes, token: str) -> None:
        """Create an entry."""
        self.key = key
        self.digest = digest
        self.token = token


@wire(117)
class FinishEntry(Record):
    """Entry of the log: the outcome of an attempt."""

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
    """What the journal keeps of a request.

    ``state`` is one of the ``STATE_`` constants; ``token`` names the last
    attempt. A payload that was too large to keep is replaced by a refusal
    that says that it ran.
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
    """The whole state: records and past requests by age, and floors.

    ``past`` are hashes of requests without a record, of their scopes, and
    the numbers of ordered ids. ``floors`` are, by the hash of a scope, the
    numbers up to which all ordered ids are past.
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
