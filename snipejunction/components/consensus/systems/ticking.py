"""Start of the replicas and what they do by time."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.consensus.const import (
    FIRST_ELECTION_MAX_SECONDS,
    FIRST_ELECTION_MIN_SECONDS,
    QUORUM_SECONDS,
)
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.election import ask_pre_votes
from snipejunction.components.consensus.systems.replication import (
    confirm_round,
    send_round,
)
from snipejunction.components.consensus.systems.roles import (
    become_follower,
)
from snipejunction.handling import listen, on_tick
from snipejunction.messages import Started
from snipejunction.node import Node


@on_tick
def run_replicas(node: Node, now: float) -> Iterator[Command]:
    """Send heartbeats, check the quorum and start elections."""
    for replica in node.consensus.replicas.values():
        if replica.leadership is not None:
            yield from _lead(replica, replica.leadership, node, now)
        elif replica.is_voter and now >= replica.election_due:
            yield from ask_pre_votes(replica, node, now)


def _lead(
    replica: Replica,
    leadership: Leadership,
    node: Node,
    now: float,
) -> Iterator[Command]:
    heard = {
        voter_id
        for voter_id, progress in leadership.progress.items()
        if now < progress.heard_at + QUORUM_SECONDS
    }
    heard.add(replica.voter_id)
    if not replica.has_quorum(heard):
        yield from become_follower(replica, node, replica.term, '', now)
    elif now >= leadership.heartbeat_due:
        yield from send_round(replica, now)
        yield from confirm_round(replica, node, now)


def start_replicas(node: Node, now: float) -> Iterator[Command]:
    """Give each state machine the snapshot that the disk holds."""
    for replica in node.consensus.replicas.values():
        delay = node.random.uniform(
            FIRST_ELECTION_MIN_SECONDS,
            FIRST_ELECTION_MAX_SECONDS,
        )
        replica.election_due = now + delay
        snapshot = replica.snapshot
        yield from replica.machine.restore(
            node,
            snapshot.state,
            snapshot.index,
            now,
        )


def _start(notice: Started, node: Node, now: float) -> Iterator[Command]:
    yield from start_replicas(node, now)


listen(Started, _start)
