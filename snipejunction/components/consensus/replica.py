"""State of a replica of a group."""

from __future__ import annotations

from enum import Enum

from snipejunction.components.consensus.entry_log import EntryLog
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.machine import StateMachine
from snipejunction.components.consensus.membership import Membership
from snipejunction.components.consensus.messages import (
    Member,
    Snapshot,
    StoredLog,
)
from snipejunction.components.consensus.writer import LogWriter
from snipejunction.timers import NEVER


class Role(Enum):
    """Roles of a replica."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    __slots__ = ('buffer', 'source')

    def __init__(self, source: tuple[int, str, int]) -> None:
        """Create an empty buffer.

        ``source`` is the term and id of the leader and the snapshot's index.
        """
        self.source = source
        self.buffer = bytearray()


class Bootstrap:
    """Progress of an empty replica towards the first configuration.

    ``empty_peers`` maps the names of hosts that reported an empty disk to
    the identities of their disks.
    """

    __slots__ = ('empty_peers', 'has_logged_warning', 'next_request_at')

    def __init__(self) -> None:
        """Create the state of a replica that has sent no request yet."""
        self.next_request_at = -NEVER
        self.empty_peers: dict[str, str] = {}
        self.has_logged_warning = False


class Replica:
    """State of one replica; times are in monotonic seconds.

    ``voted_for`` is empty without a vote; ``leader_id`` is empty while no
    leader of the term is known.
    """

    __slots__ = (
        'applied_index',
        'bootstrap',
        'commit_index',
        'election_deadline',
        'group',
        'incoming_snapshot',
        'last_leader_contact_at',
        'leader_id',
        'leadership',
        'log',
        'machine',
        'membership',
        'role',
        'snapshot',
        'term',
        'voted_for',
        'voter_id',
        'votes',
        'writer',
    )

    def __init__(
        self,
        group: str,
        voter_id: str,
        stored: StoredLog,
        machine: StateMachine,
        membership: Membership,
    ) -> None:
        """Create a replica from its stored log."""
        snapshot = stored.snapshot
        self.group = group
        self.voter_id = voter_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.snapshot: Snapshot = snapshot
        self.log = EntryLog(snapshot.index, snapshot.term, stored.entries)
        self.writer = LogWriter(self.log.last_index)
        self.membership = membership
        self.machine = machine
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.leadership: Leadership | None = None
        self.votes: set[str] = set()
        self.election_deadline = NEVER
        self.last_leader_contact_at = -NEVER
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.bootstrap = Bootstrap()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads its group."""
        return self.leadership is not None

    @property
    def is_ready(self) -> bool:
        """Return whether this replica leads and accepts proposals."""
        return self.leadership is not None and self.leadership.is_ready

    @property
    def is_transferring(self) -> bool:
        """Return whether proposals are rejected during a transfer."""
        leadership = self.leadership
        return leadership is not None and bool(leadership.transfer_target)

    @property
    def is_voter(self) -> bool:
        """Return whether this disk is a voter of the configuration."""
        return self.voter_id in self.membership.current.voter_ids

    @property
    def is_empty(self) -> bool:
        """Return whether the disk never held a configuration or entry."""
        if self.membership.current.members or self.term:
            return False
        return self.log.last_index == 0

    @property
    def leader_name(self) -> str | None:
        """Return the name of the leader's host, None if it is unknown."""
        leader = self.membership.current.member(self.leader_id)
        return None if leader is None else leader.name

    @property
    def other_members(self) -> list[Member]:
        """Return the members of the group except this replica."""
        return [
            member
            for member in self.membership.current.members
            if member.voter_id != self.voter_id
        ]

    def has_quorum(self, voter_ids: set[str]) -> bool:
        """Return whether these identities contain a majority of the voters."""
        current = self.membership.current
        return len(current.voter_ids & voter_ids) >= current.quorum
