"""Role changes shared by several systems."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.consensus.const import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    EVENT_STEPPED_DOWN,
)
from snipejunction.components.consensus.replica import Replica, Role
from snipejunction.node import Node


def reset_election_timer(replica: Replica, node: Node, now: float) -> None:
    """Reset the election timer to a random timeout."""
    delay = node.random.uniform(ELECTION_MIN_SECONDS, ELECTION_MAX_SECONDS)
    if node.consensus.is_stopping:
        # Hosts that are not stopping should win the election.
        delay += ELECTION_MAX_SECONDS
    replica.election_deadline = now + delay


def become_follower(
    replica: Replica,
    node: Node,
    term: int,
    leader_id: str,
    now: float,
) -> Iterator[Command]:
    """Become a follower in a term; ``leader_id`` is empty if unknown."""
    was_leader = replica.is_leader
    was_ready = replica.is_ready
    if term > replica.term:
        replica.term = term
        replica.voted_for = ''
        replica.writer.mark_vote_dirty()
    replica.role = Role.FOLLOWER
    replica.leader_id = leader_id
    replica.leadership = None
    replica.votes.clear()
    if was_leader:
        reset_election_timer(replica, node, now)
        yield LogEvent(EVENT_STEPPED_DOWN, group=replica.group, term=term)
    if was_ready:
        yield from replica.machine.on_leadership(node, False, now)


def accept_leader(
    replica: Replica,
    node: Node,
    term: int,
    leader_id: str,
    now: float,
) -> Iterator[Command]:
    """Accept the leader of the current or a later term."""
    is_known = replica.leader_id == leader_id and replica.term == term
    if not is_known or replica.role is not Role.FOLLOWER:
        yield from become_follower(replica, node, term, leader_id, now)
    replica.last_leader_contact_at = now
    reset_election_timer(replica, node, now)
