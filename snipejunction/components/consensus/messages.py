"""Messages, log entries and commands of the consensus component."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


@wire(10)
class LogEntry(Record):
    """A log entry; its index follows from its position in the log.

    ``kind`` is one of the ``KIND_`` constants.
    """

    __slots__ = ('kind', 'payload', 'term')

    def __init__(self, term: int, kind: int, payload: bytes) -> None:
        """Create an entry of the leader of ``term``."""
        self.term = term
        self.kind = kind
        self.payload = payload


@wire(11)
class Member(Record):
    """A replica of a group; a learner is a member without a vote."""

    __slots__ = (
        'data_centre',
        'ip',
        'is_voter',
        'name',
        'peer_port',
        'voter_id',
    )

    def __init__(
        self,
        voter_id: str,
        name: str,
        ip: str,
        peer_port: int,
        is_voter: bool,
        data_centre: str = '',
    ) -> None:
        """Create a member whose disk has the identity ``voter_id``.

        ``data_centre`` is empty in groups whose voters operators replace.
        """
        self.voter_id = voter_id
        self.name = name
        self.ip = ip
        self.peer_port = peer_port
        self.is_voter = is_voter
        self.data_centre = data_centre


@wire(12)
class Configuration(Record):
    """The members of a group."""

    __slots__ = ('members',)

    def __init__(self, members: list[Member]) -> None:
        """Create a configuration."""
        self.members = members

    @property
    def voter_ids(self) -> frozenset[str]:
        """Return the identities of the voters."""
        return frozenset(
            member.voter_id for member in self.members if member.is_voter
        )

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voter_ids) // 2 + 1

    def member(self, voter_id: str) -> Member | None:
        """Return the member with an identity, None if there is none."""
        for member in self.members:
            if member.voter_id == voter_id:
                return member
        return None


class GroupMessage(PeerMessage):
    """A message between the replicas of one group."""

    __slots__ = ('group',)


class LeaderRequest(PeerMessage):
    """A request that only the leader of a group handles.

    ``origin`` is the host that made the request, empty unless a follower
    forwarded it.
    """

    __slots__ = ('origin',)

    origin: str

    @property
    def source(self) -> str:
        """Return the name of the host that made the request."""
        return self.origin or self.sender


@wire(23, optional_fields=1)
class ForwardedVoterChange(LeaderRequest):
    """A voter change by an operator, forwarded to the leader."""

    __slots__ = ('change_id', 'group', 'is_removal', 'member')

    def __init__(
        self,
        group: str,
        change_id: int,
        is_removal: bool,
        member: Member,
        origin: str = '',
    ) -> None:
        """Create a request; the operator's host assigns ``change_id``."""
        self.group = group
        self.change_id = change_id
        self.is_removal = is_removal
        self.member = member
        self.origin = origin


@wire(24)
class VoterChangeResult(GroupMessage):
    """The leader's response to ``ForwardedVoterChange`` for one group."""

    __slots__ = ('change_id', 'refusal')

    def __init__(
        self,
        group: str,
        change_id: int,
        refusal: Refusal | None,
    ) -> None:
        """Create a response; ``refusal`` is None if the change is done."""
        self.group = group
        self.change_id = change_id
        self.refusal = refusal


class Snapshot(Record):
    """The state of a state machine after the entry at ``index``."""

    __slots__ = ('configuration', 'index', 'state', 'term')

    def __init__(
        self,
        index: int,
        term: int,
        configuration: Configuration,
        state: bytes,
    ) -> None:
        """Create a snapshot."""
        self.index = index
        self.term = term
        self.configuration = configuration
        self.state = state


class StoredLog(Record):
    """The stored log of one group; the entries follow the snapshot."""

    __slots__ = ('entries', 'snapshot', 'term', 'voted_for')

    def __init__(
        self,
        term: int,
        voted_for: str,
        snapshot: Snapshot,
        entries: list[LogEntry],
    ) -> None:
        """Create a stored log; ``voted_for`` is empty without a vote."""
        self.term = term
        self.voted_for = voted_for
        self.snapshot = snapshot
        self.entries = entries


class PersistLog(Command):
    """Write and sync a part of a log; ``LogPersisted`` follows.

    The entries replace all stored entries from ``first_index`` on. With a
    snapshot they are all the entries after it.
    """

    __slots__ = (
        'entries',
        'first_index',
        'group',
        'snapshot',
        'term',
        'token',
        'voted_for',
    )

    def __init__(
        self,
        group: str,
        token: int,
        term: int,
        voted_for: str,
        first_index: int,
        entries: list[LogEntry],
        snapshot: Snapshot | None,
    ) -> None:
        """Create a command; the tokens of a group are consecutive."""
        self.group = group
        self.token = token
        self.term = term
        self.voted_for = voted_for
        self.first_index = first_index
        self.entries = entries
        self.snapshot = snapshot


class LogPersisted(Message):
    """The write of the ``PersistLog`` with this token is synced."""

    __slots__ = ('group', 'token')

    def __init__(self, group: str, token: int) -> None:
        """Create a notification."""
        self.group = group
        self.token = token


class FlushLog(Message):
    """Write and send new proposals and start queued confirmations."""

    __slots__ = ('group',)

    def __init__(self, group: str) -> None:
        """Create a request for a group."""
        self.group = group


class VoterChangeRequest(Message):
    """An operator's request to add or remove a voter of all groups.

    ``action`` is 'add' or 'remove'. ``voter_id`` is the identity on the
    disk of the host, as reported in the host's status.
    """

    __slots__ = (
        'action',
        'call_id',
        'ip',
        'name',
        'peer_port',
        'voter_id',
    )

    def __init__(
        self,
        call_id: int,
        action: str,
        name: str,
        ip: str,
        peer_port: int,
        voter_id: str,
    ) -> None:
        """Create a request; ``VoterChangeResponse`` is its response."""
        self.call_id = call_id
        self.action = action
        self.name = name
        self.ip = ip
        self.peer_port = peer_port
        self.voter_id = voter_id


class VoterChangeResponse(Command):
    """Return the result of a voter change to the operator."""

    __slots__ = ('call_id', 'refusal')

    def __init__(self, call_id: int, refusal: Refusal | None = None) -> None:
        """Create a response to the call ``call_id``."""
        self.call_id = call_id
        self.refusal = refusal
