"""Handling of append requests by a follower."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.messages import (
    LogEntry,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.replication.messages import (
    AppendRequest,
    AppendResponse,
)
from snipejunction.components.consensus.systems.commitment import commit_to
from snipejunction.components.consensus.systems.roles import accept_leader
from snipejunction.components.consensus.systems.writing import (
    append,
    run_after_sync,
    start_write,
    truncate_from,
)
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _handle_append(
    message: AppendRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or message.to_id != replica.voter_id:
        return
    if message.term < replica.term:
        yield _failure(replica, message, None)
        return
    yield from accept_leader(
        replica,
        node,
        message.term,
        message.leader_id,
        now,
    )
    last_index = message.prev_index + len(message.entries)
    hint = _find_mismatch(replica, message)
    if hint is None:
        _store_entries(replica, message.prev_index, message.entries)
        yield from _acknowledge(replica, message, last_index)
        committed = min(message.commit_index, last_index)
        yield from commit_to(replica, node, committed, now)
    else:
        # A mismatch promises nothing that has to be durable.
        yield _failure(replica, message, hint)
    yield from start_write(replica)


def _find_mismatch(replica: Replica, message: AppendRequest) -> int | None:
    """Return the last index that may match, None if the logs match."""
    log = replica.log
    index = message.prev_index
    # Committed entries, compacted ones included, match the leader's log.
    if index <= replica.commit_index:
        return None
    term = log.term_at(index)
    if term == message.prev_term:
        return None
    if term is None:
        return log.last_index
    while index > replica.commit_index and log.term_at(index) == term:
        index -= 1
    return index


def _store_entries(
    replica: Replica,
    prev_index: int,
    entries: list[LogEntry],
) -> None:
    index = prev_index
    for entry in entries:
        index += 1
        if index <= replica.commit_index:
            continue
        stored_term = replica.log.term_at(index)
        if stored_term == entry.term:
            continue
        if stored_term is not None:
            truncate_from(replica, index)
        append(replica, entry)


def _acknowledge(
    replica: Replica,
    message: AppendRequest,
    index: int,
) -> Iterator[Command]:
    if message.entries or not replica.writer.is_vote_stable:
        yield from run_after_sync(replica, _success(replica, message, index))
        return
    # The response to a heartbeat does not wait for the disk.
    synced = min(index, replica.writer.stable_index)
    yield _success(replica, message, synced)


def _success(replica: Replica, message: AppendRequest, index: int) -> SendPeer:
    return SendPeer(
        message.sender,
        AppendResponse(
            replica.group,
            replica.term,
            replica.voter_id,
            True,
            index,
            message.round_number,
        ),
    )


def _failure(
    replica: Replica,
    message: AppendRequest,
    hint: int | None,
) -> SendPeer:
    return SendPeer(
        message.sender,
        AppendResponse(
            replica.group,
            replica.term,
            replica.voter_id,
            False,
            hint or 0,
            message.round_number,
        ),
    )
