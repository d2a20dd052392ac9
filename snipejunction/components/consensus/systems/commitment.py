"""Commit of entries, their application and snapshots."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.consensus.configuration import (
    unpack_configuration,
)
from snipejunction.components.consensus.const import (
    EVENT_CONFIGURATION,
    KIND_COMMAND,
    KIND_CONFIGURATION,
    MIN_SNAPSHOT_ENTRIES,
    SNAPSHOT_BYTES_PER_ENTRY,
    TRAILING_ENTRIES,
)
from snipejunction.components.consensus.messages import LogEntry, Snapshot
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.roles import become_follower
from snipejunction.node import Node


def advance_commit_index(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Commit the entries that a quorum has synced."""
    leadership = replica.leadership
    if leadership is None:
        return
    current = replica.membership.current
    synced: list[int] = []
    for voter_id in current.voter_ids:
        if voter_id == replica.voter_id:
            synced.append(replica.writer.stable_index)
        elif voter_id in leadership.progress:
            synced.append(leadership.progress[voter_id].match_index)
    synced.sort(reverse=True)
    if len(synced) < current.quorum:
        return
    index = synced[current.quorum - 1]
    # An entry of an earlier term is committed only together with one of the
    # current term, because a later leader could still replace it.
    if index > replica.commit_index:
        if replica.log.term_at(index) == replica.term:
            yield from commit_to(replica, node, index, now)


def commit_to(
    replica: Replica,
    node: Node,
    index: int,
    now: float,
) -> Iterator[Command]:
    """Commit and apply the entries up to ``index``."""
    if index <= replica.commit_index:
        return
    replica.commit_index = index
    while replica.applied_index < replica.commit_index:
        replica.applied_index += 1
        entry = replica.log.entry(replica.applied_index)
        yield from _apply(replica, node, entry, now)
    yield from _report_ready_leader(replica, node, now)
    if _is_snapshot_due(replica):
        _take_snapshot(replica)


def _is_snapshot_due(replica: Replica) -> bool:
    """Return whether enough entries were applied since the snapshot."""
    size = len(replica.snapshot.state) // SNAPSHOT_BYTES_PER_ENTRY
    entries = replica.applied_index - replica.snapshot.index
    return entries >= max(MIN_SNAPSHOT_ENTRIES, size)


def _apply(
    replica: Replica,
    node: Node,
    entry: LogEntry,
    now: float,
) -> Iterator[Command]:
    if entry.kind == KIND_COMMAND:
        yield from replica.machine.apply(
            node,
            replica.applied_index,
            entry.term,
            entry.payload,
            now,
        )
    elif entry.kind == KIND_CONFIGURATION:
        yield from _apply_configuration(replica, node, entry, now)


def _apply_configuration(
    replica: Replica,
    node: Node,
    entry: LogEntry,
    now: float,
) -> Iterator[Command]:
    configuration = unpack_configuration(entry.payload)
    members = configuration.members
    yield LogEvent(
        EVENT_CONFIGURATION,
        group=replica.group,
        voters=[member.name for member in members if member.is_voter],
        learners=[member.name for member in members if not member.is_voter],
    )
    if replica.is_leader and replica.voter_id not in configuration.voter_ids:
        yield from become_follower(replica, node, replica.term, '', now)


def _report_ready_leader(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    leadership = replica.leadership
    if leadership is None or leadership.is_ready:
        return
    if replica.commit_index >= leadership.first_index:
        leadership.is_ready = True
        yield from replica.machine.on_leadership(node, True, now)


def _take_snapshot(replica: Replica) -> None:
    index = replica.applied_index
    term = replica.log.term_at(index) or 0
    replica.snapshot = Snapshot(
        index,
        term,
        replica.membership.configuration_at(index),
        replica.machine.snapshot(),
    )
    replica.membership.compact(index)
    replica.log.compact(index - TRAILING_ENTRIES)
    replica.writer.mark_snapshot(replica.snapshot)
