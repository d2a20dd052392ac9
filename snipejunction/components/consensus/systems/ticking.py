"""Start and periodic work of the replicas."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.consensus.const import (
    FIRST_ELECTION_MAX_SECONDS,
    FIRST_ELECTION_MIN_SECONDS,
    QUORUM_TIMEOUT_SECONDS,
)
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.election import start_pre_vote
from snipejunction.components.consensus.systems.replication import (
    report_confirmations,
    send_heartbeats,
)
from snipejunction.components.consensus.systems.roles import (
    become_follower,
)
from snipejunction.handling import add_listener, on_tick
from snipejunction.messages import Started
from snipejunction.node import Node


@on_tick
def run_replicas(node: Node, now: float) -> Iterator[Command]:
    """Send heartbeats, check for a quorum and start elections."""
    for replica in node.consensus.replicas.values():
        if replica.leadership is not None:
            yield from _run_leader(replica, replica.leadership, node, now)
        elif replica.is_voter and now >= replica.election_deadline:
            yield from start_pre_vote(replica, node, now)


def _run_leader(
    replica: Replica,
    leadership: Leadership,
    node: Node,
    now: float,
) -> Iterator[Command]:
    reachable_ids = {
        voter_id
        for voter_id, progress in leadership.progress.items()
        if now < progress.last_contact_at + QUORUM_TIMEOUT_SECONDS
    }
    reachable_ids.add(replica.voter_id)
    if not replica.has_quorum(reachable_ids):
        yield from become_follower(replica, node, replica.term, '', now)
    elif now >= leadership.heartbeat_due:
        yield from send_heartbeats(replica, now)
        yield from report_confirmations(replica, node, now)


def start_replicas(node: Node, now: float) -> Iterator[Command]:
    """Start the election timers and restore the state machines."""
    for replica in node.consensus.replicas.values():
        delay = node.random.uniform(
            FIRST_ELECTION_MIN_SECONDS,
            FIRST_ELECTION_MAX_SECONDS,
        )
        replica.election_deadline = now + delay
        snapshot = replica.snapshot
        yield from replica.machine.restore(
            node,
            snapshot.state,
            snapshot.index,
            now,
        )


def _handle_started(
    notice: Started,
    node: Node,
    now: float,
) -> Iterator[Command]:
    yield from start_replicas(node, now)


add_listener(Started, _handle_started)
