"""Leadership transfer on a planned stop."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.const import (
    QUORUM_TIMEOUT_SECONDS,
    TRANSFER_TIMEOUT_SECONDS,
)
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.replica import Replica, Role
from snipejunction.components.consensus.replication.messages import (
    TransferRequest,
)
from snipejunction.components.consensus.systems.election import start_election
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import StopRequested
from snipejunction.node import Node


@on_tick
def run_transfers(node: Node, now: float) -> Iterator[Command]:
    """Request an election by each transfer target that caught up."""
    for replica in node.consensus.replicas.values():
        leadership = replica.leadership
        if leadership is None:
            continue
        if leadership.transfer_target and now >= leadership.transfer_deadline:
            leadership.transfer_target = ''
        if node.consensus.is_stopping:
            start_transfer(replica, now)
        yield from _send_transfer_request(replica, leadership)


def start_transfer(replica: Replica, now: float) -> None:
    """Start a transfer to the most up-to-date reachable follower.

    Proposals are rejected during a transfer.
    """
    leadership = replica.leadership
    if leadership is None or leadership.transfer_target:
        return
    voter_ids = replica.membership.current.voter_ids
    candidates = [
        (progress.match_index, voter_id)
        for voter_id, progress in leadership.progress.items()
        if voter_id in voter_ids
        and now < progress.last_contact_at + QUORUM_TIMEOUT_SECONDS
    ]
    if not candidates:
        return
    leadership.transfer_target = max(candidates)[1]
    leadership.transfer_deadline = now + TRANSFER_TIMEOUT_SECONDS


def _send_transfer_request(
    replica: Replica,
    leadership: Leadership,
) -> Iterator[Command]:
    voter_id = leadership.transfer_target
    member = replica.membership.current.member(voter_id)
    progress = leadership.progress.get(voter_id)
    if member is None or progress is None:
        return
    if progress.match_index < replica.log.last_index:
        return
    request = TransferRequest(replica.group, replica.term, voter_id)
    yield SendPeer(member.name, request)


@handle.register
def _handle_transfer_request(
    message: TransferRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or message.to_id != replica.voter_id:
        return
    if message.term != replica.term or not replica.is_voter:
        return
    if replica.role is Role.FOLLOWER:
        yield from start_election(replica, node, now, is_transfer=True)


def _handle_stop(
    notice: StopRequested,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.consensus.begin_stop()
    for replica in node.consensus.replicas.values():
        start_transfer(replica, now)
        if replica.leadership is not None:
            yield from _send_transfer_request(replica, replica.leadership)


add_listener(StopRequested, _handle_stop)
