"""Messages, entries and commands of the replicated log."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


@wire(10)
class LogEntry(Record):
    """One entry; its index follows from its place in the log.

    ``kind`` is one of the ``KIND_`` constants.
    """

    __slots__ = ('kind', 'payload', 'term')

    def __init__(self, term: int, kind: int, payload: bytes) -> None:
        """Create an entry that the leader of ``term`` proposed."""
        self.term = term
        self.kind = kind
        self.payload = payload


@wire(11)
class Member(Record):
    """One replica of a group; a learner has no vote yet."""

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

        ``data_centre`` is empty where operators replace voters themselves.
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
        """Return the identities that vote."""
        return frozenset(
            member.voter_id for member in self.members if member.is_voter
        )

    @property
    def quorum(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voter_ids) // 2 + 1

    def member(self, voter_id: str) -> Member | None:
        """Return the member with an identity."""
        for member in self.members:
            if member.voter_id == voter_id:
                return member
        return None


class GroupMessage(PeerMessage):
    """A message between replicas of one group."""

    __slots__ = ('group',)


@wire(23)
class VoterChangeForwarded(GroupMessage):
    """An operator's change of the voters, on its way to a leader."""

    __slots__ = ('change_id', 'is_removal', 'member')

    def __init__(
        self,
        group: str,
        change_id: int,
        is_removal: bool,
        member: Member,
    ) -> None:
        """Create a request; ``change_id`` is the asking host's."""
        self.group = group
        self.change_id = change_id
        self.is_removal = is_removal
        self.member = member


@wire(24)
class VoterChangeSettled(GroupMessage):
    """A leader's answer to ``VoterChangeForwarded`` for one group."""

    __slots__ = ('change_id', 'refusal')

    def __init__(
        self,
        group: str,
        change_id: int,
        refusal: Refusal | None,
    ) -> None:
        """Create an answer."""
        self.group = group
        self.change_id = change_id
        self.refusal = refusal


class Snapshot(Record):
    """The state of a machine after the entry at ``index``."""

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
    """What a disk holds of one group; the entries follow the snapshot."""

    __slots__ = ('entries', 'snapshot', 'term', 'voted_for')

    def __init__(
        self,
        term: int,
        voted_for: str,
        snapshot: Snapshot,
        entries: list[LogEntry],
    ) -> None:
        """Create the stored state; ``voted_for`` is empty without a vote."""
        self.term = term
        self.voted_for = voted_for
        self.snapshot = snapshot
        self.entries = entries


class PersistLog(Command):
    """Sync a part of a log; ``LogPersisted`` answers it.

    The entries replace all that the disk holds from ``first_index`` on.
    With a snapshot they are all the entries that follow it.
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
        """Create a command; tokens of a group rise by one."""
        self.group = group
        self.token = token
        self.term = term
        self.voted_for = voted_for
        self.first_index = first_index
        self.entries = entries
        self.snapshot = snapshot


class LogPersisted(Message):
    """All of ``PersistLog`` with this token is synced."""

    __slots__ = ('group', 'token')

    def __init__(self, group: str, token: int) -> None:
        """Create a notice."""
        self.group = group
        self.token = token


class FlushLog(Message):
    """Write and send what was proposed or is to be confirmed."""

    __slots__ = ('group',)

    def __init__(self, group: str) -> None:
        """Create a request for a group."""
        self.group = group


class VoterChangeRequest(Message):
    """An operator adds or removes a voter of all groups.

    ``action`` is 'add' or 'remove'. ``voter_id`` is the identity on the
    disk of the host, as its status states it.
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
        """Create a request that ``VoterChangeResponse`` will answer."""
        self.call_id = call_id
        self.action = action
        self.name = name
        self.ip = ip
        self.peer_port = peer_port
        self.voter_id = voter_id


class VoterChangeResponse(Command):
    """Tell an operator what became of a change of the voters."""

    __slots__ = ('call_id', 'refusal')

    def __init__(self, call_id: int, refusal: Refusal | None = None) -> None:
        """Create an answer to the call ``call_id``."""
        self.call_id = call_id
        self.refusal = refusal
