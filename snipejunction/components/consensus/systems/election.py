"""Leader election with a pre-vote phase."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, Deliver, LogEvent, SendPeer
from snipejunction.components.consensus.const import (
    ELECTION_MIN_SECONDS,
    EVENT_ELECTED,
    KIND_NOOP,
)
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.messages import (
    LogEntry,
)
from snipejunction.components.consensus.replica import Replica, Role
from snipejunction.components.consensus.replication.messages import (
    VoteRequest,
    VoteResponse,
)
from snipejunction.components.consensus.systems.replication import (
    send_heartbeats,
)
from snipejunction.components.consensus.systems.roles import (
    become_follower,
    reset_election_timer,
)
from snipejunction.components.consensus.systems.writing import (
    append,
    run_after_sync,
    start_write,
)
from snipejunction.handling import handle
from snipejunction.node import Node

_CANDIDATES: Final = frozenset((Role.PRE_CANDIDATE, Role.CANDIDATE))


def start_pre_vote(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Request pre-votes for the next term without starting it."""
    reset_election_timer(replica, node, now)
    replica.role = Role.PRE_CANDIDATE
    replica.leader_id = ''
    replica.votes = {replica.voter_id}
    if replica.has_quorum(replica.votes):
        yield from start_election(replica, node, now, is_transfer=False)
        return
    yield from _vote_requests(replica, replica.term + 1, is_pre=True)


def start_election(
    replica: Replica,
    node: Node,
    now: float,
    *,
    is_transfer: bool,
) -> Iterator[Command]:
    """Become a candidate; vote requests leave once the term is synced."""
    reset_election_timer(replica, node, now)
    replica.term += 1
    replica.voted_for = replica.voter_id
    replica.writer.mark_vote_dirty()
    replica.role = Role.CANDIDATE
    replica.leader_id = ''
    replica.votes = set()
    own_vote = VoteResponse(
        replica.group,
        replica.term,
        replica.voter_id,
        replica.voter_id,
        True,
        False,
    )
    yield from run_after_sync(replica, Deliver(own_vote))
    for request in _vote_requests(
        replica,
        replica.term,
        is_pre=False,
        is_transfer=is_transfer,
    ):
        yield from run_after_sync(replica, request)
    yield from start_write(replica)


def _vote_requests(
    replica: Replica,
    term: int,
    *,
    is_pre: bool,
    is_transfer: bool = False,
) -> Iterator[Command]:
    for member in replica.other_members:
        if not member.is_voter:
            continue
        request = VoteRequest(
            replica.group,
            term,
            replica.voter_id,
            member.voter_id,
            replica.log.last_index,
            replica.log.last_term,
            is_pre,
            is_transfer,
        )
        yield SendPeer(member.name, request)


@handle.register
def _handle_vote_request(
    message: VoteRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or message.to_id != replica.voter_id:
        return
    if message.is_pre:
        is_granted = _can_grant_pre_vote(replica, message, now)
    else:
        yield from _adopt_term(replica, message, node, now)
        is_granted = _can_grant_vote(replica, message)
        if is_granted:
            _record_vote(replica, message, node, now)
    response = VoteResponse(
        replica.group,
        message.term if is_granted else replica.term,
        replica.voter_id,
        message.candidate_id,
        is_granted,
        message.is_pre,
    )
    yield from run_after_sync(replica, SendPeer(message.sender, response))
    yield from start_write(replica)


def _has_recent_leader(replica: Replica, now: float) -> bool:
    if replica.is_leader:
        return True
    return now < replica.last_leader_contact_at + ELECTION_MIN_SECONDS


def _can_grant_pre_vote(
    replica: Replica,
    message: VoteRequest,
    now: float,
) -> bool:
    if message.term <= replica.term or _has_recent_leader(replica, now):
        return False
    return _is_up_to_date(replica, message)


def _adopt_term(
    replica: Replica,
    message: VoteRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if message.term <= replica.term:
        return
    if message.is_transfer or not _has_recent_leader(replica, now):
        yield from become_follower(replica, node, message.term, '', now)


def _can_grant_vote(replica: Replica, message: VoteRequest) -> bool:
    if message.term != replica.term:
        return False
    if replica.voted_for not in {'', message.candidate_id}:
        return False
    return _is_up_to_date(replica, message)


def _is_up_to_date(replica: Replica, message: VoteRequest) -> bool:
    candidate_last = (message.last_term, message.last_index)
    return candidate_last >= (replica.log.last_term, replica.log.last_index)


def _record_vote(
    replica: Replica,
    message: VoteRequest,
    node: Node,
    now: float,
) -> None:
    reset_election_timer(replica, node, now)
    if not replica.voted_for:
        replica.voted_for = message.candidate_id
        replica.writer.mark_vote_dirty()


@handle.register
def _handle_vote_response(
    message: VoteResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or replica.role not in _CANDIDATES:
        return
    if message.to_id != replica.voter_id:
        # The vote is for an earlier disk of this host.
        return
    if not message.is_granted:
        if message.term > replica.term:
            yield from become_follower(replica, node, message.term, '', now)
            yield from start_write(replica)
        return
    if message.is_pre:
        yield from _count_pre_vote(replica, message, node, now)
    else:
        yield from _count_vote(replica, message, node, now)


def _count_pre_vote(
    replica: Replica,
    message: VoteResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if replica.role is not Role.PRE_CANDIDATE:
        return
    if message.term != replica.term + 1:
        return
    replica.votes.add(message.voter_id)
    if replica.has_quorum(replica.votes):
        yield from start_election(replica, node, now, is_transfer=False)


def _count_vote(
    replica: Replica,
    message: VoteResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if replica.role is not Role.CANDIDATE or message.term != replica.term:
        return
    replica.votes.add(message.voter_id)
    if replica.has_quorum(replica.votes):
        yield from _become_leader(replica, now)


def _become_leader(replica: Replica, now: float) -> Iterator[Command]:
    replica.role = Role.LEADER
    replica.leader_id = replica.voter_id
    first_index = replica.log.last_index + 1
    replica.leadership = Leadership(first_index, now)
    yield LogEvent(EVENT_ELECTED, group=replica.group, term=replica.term)
    # Committing this entry also commits the entries of earlier terms.
    append(replica, LogEntry(replica.term, KIND_NOOP, b''))
    yield from send_heartbeats(replica, now)
    yield from start_write(replica)
