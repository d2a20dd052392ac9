"""Messages between the replicas of a group."""

from __future__ import annotations

from snipejunction.components.consensus.messages import (
    Configuration,
    GroupMessage,
    LogEntry,
)
from snipejunction.helpers.wire import wire


class TermMessage(GroupMessage):
    """A message between replicas that carries a term."""

    __slots__ = ('term',)


@wire(13)
class VoteRequest(TermMessage):
    """A candidate's request for a vote or a pre-vote.

    A pre-vote (``is_pre``) records no vote and changes no term. With
    ``is_transfer`` the leader requested the election.
    """

    __slots__ = (
        'candidate_id',
        'is_pre',
        'is_transfer',
        'last_index',
        'last_term',
        'to_id',
    )

    def __init__(
        self,
        group: str,
        term: int,
        candidate_id: str,
        to_id: str,
        last_index: int,
        last_term: int,
        is_pre: bool,
        is_transfer: bool,
    ) -> None:
        """Create a request to the disk with identity ``to_id``."""
        self.group = group
        self.term = term
        self.candidate_id = candidate_id
        self.to_id = to_id
        self.last_index = last_index
        self.last_term = last_term
        self.is_pre = is_pre
        self.is_transfer = is_transfer


@wire(14)
class VoteResponse(TermMessage):
    """The response to ``VoteRequest``; a grant has the requested term."""

    __slots__ = ('is_granted', 'is_pre', 'to_id', 'voter_id')

    def __init__(
        self,
        group: str,
        term: int,
        voter_id: str,
        to_id: str,
        is_granted: bool,
        is_pre: bool,
    ) -> None:
        """Create a response of ``voter_id`` to the candidate ``to_id``."""
        self.group = group
        self.term = term
        self.voter_id = voter_id
        self.to_id = to_id
        self.is_granted = is_granted
        self.is_pre = is_pre


@wire(15)
class AppendRequest(TermMessage):
    """A leader's entries after ``prev_index``; a heartbeat has none.

    The follower echoes ``round_number``, from which the leader learns which
    heartbeat round a quorum confirmed.
    """

    __slots__ = (
        'commit_index',
        'entries',
        'leader_id',
        'prev_index',
        'prev_term',
        'round_number',
        'to_id',
    )

    def __init__(
        self,
        group: str,
        term: int,
        leader_id: str,
        to_id: str,
        prev_index: int,
        prev_term: int,
        commit_index: int,
        round_number: int,
        entries: list[LogEntry],
    ) -> None:
        """Create a message to the disk with identity ``to_id``."""
        self.group = group
        self.term = term
        self.leader_id = leader_id
        self.to_id = to_id
        self.prev_index = prev_index
        self.prev_term = prev_term
        self.commit_index = commit_index
        self.round_number = round_number
        self.entries = entries


@wire(16)
class AppendResponse(TermMessage):
    """The response to ``AppendRequest`` or to a complete snapshot.

    ``index`` is the last index that matches and is synced; after a mismatch
    it is the last index that may match.
    """

    __slots__ = ('index', 'is_match', 'round_number', 'voter_id')

    def __init__(
        self,
        group: str,
        term: int,
        voter_id: str,
        is_match: bool,
        index: int,
        round_number: int,
    ) -> None:
        """Create a response of the disk with identity ``voter_id``."""
        self.group = group
        self.term = term
        self.voter_id = voter_id
        self.is_match = is_match
        self.index = index
        self.round_number = round_number


@wire(17)
class SnapshotChunk(TermMessage):
    """A chunk of a snapshot at ``offset`` bytes from its start."""

    __slots__ = (
        'chunk',
        'configuration',
        'index',
        'leader_id',
        'offset',
        'snapshot_term',
        'to_id',
        'total',
    )

    def __init__(
        self,
        group: str,
        term: int,
        leader_id: str,
        to_id: str,
        index: int,
        snapshot_term: int,
        configuration: Configuration,
        offset: int,
        total: int,
        chunk: bytes,
    ) -> None:
        """Create a chunk of a snapshot of ``total`` bytes."""
        self.group = group
        self.term = term
        self.leader_id = leader_id
        self.to_id = to_id
        self.index = index
        self.snapshot_term = snapshot_term
        self.configuration = configuration
        self.offset = offset
        self.total = total
        self.chunk = chunk


@wire(18)
class SnapshotProgress(TermMessage):
    """A follower's acknowledgement of a snapshot up to ``offset``."""

    __slots__ = ('index', 'offset', 'voter_id')

    def __init__(
        self,
        group: str,
        term: int,
        voter_id: str,
        index: int,
        offset: int,
    ) -> None:
        """Create an acknowledgement for the snapshot at ``index``."""
        self.group = group
        self.term = term
        self.voter_id = voter_id
        self.index = index
        self.offset = offset


@wire(19)
class TransferRequest(TermMessage):
    """A leader's request that a follower start an election immediately."""

    __slots__ = ('to_id',)

    def __init__(self, group: str, term: int, to_id: str) -> None:
        """Create a request to the disk with identity ``to_id``."""
        self.group = group
        self.term = term
        self.to_id = to_id


@wire(20)
class BootstrapRequest(GroupMessage):
    """A host with an empty disk requests the state of another host's disk."""

    __slots__ = ('voter_id',)

    def __init__(self, group: str, voter_id: str) -> None:
        """Create a request of the disk with identity ``voter_id``."""
        self.group = group
        self.voter_id = voter_id


@wire(21)
class BootstrapResponse(GroupMessage):
    """The identity of a host's disk and whether the disk is empty.

    ``is_member`` says whether the requesting disk is a member of the group.
    """

    __slots__ = ('is_empty', 'is_member', 'to_id', 'voter_id')

    def __init__(
        self,
        group: str,
        to_id: str,
        voter_id: str,
        is_empty: bool,
        is_member: bool,
    ) -> None:
        """Create a response of ``voter_id`` to the disk ``to_id``."""
        self.group = group
        self.to_id = to_id
        self.voter_id = voter_id
        self.is_empty = is_empty
        self.is_member = is_member
