"""Transfer of snapshots to followers that lag behind the log."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.const import (
    EVENT_SNAPSHOT_INSTALLED,
    SNAPSHOT_CHUNK_BYTES,
    SNAPSHOT_RESEND_SECONDS,
)
from snipejunction.components.consensus.leadership import Progress
from snipejunction.components.consensus.messages import (
    Member,
    Snapshot,
)
from snipejunction.components.consensus.replica import (
    IncomingSnapshot,
    Replica,
)
from snipejunction.components.consensus.replication.messages import (
    AppendResponse,
    SnapshotChunk,
    SnapshotProgress,
)
from snipejunction.components.consensus.systems.roles import accept_leader
from snipejunction.components.consensus.systems.writing import (
    run_after_sync,
    start_write,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.timers import NEVER


def send_snapshot_chunk(
    replica: Replica,
    member: Member,
    progress: Progress,
    now: float,
) -> Iterator[Command]:
    """Send the next chunk unless one is in flight."""
    if progress.snapshot is None:
        progress.snapshot = replica.snapshot
        progress.snapshot_offset = 0
        progress.snapshot_sent_at = -NEVER
    if now < progress.snapshot_sent_at + SNAPSHOT_RESEND_SECONDS:
        return
    progress.snapshot_sent_at = now
    snapshot = progress.snapshot
    offset = progress.snapshot_offset
    chunk = SnapshotChunk(
        replica.group,
        replica.term,
        replica.voter_id,
        member.voter_id,
        snapshot.index,
        snapshot.term,
        snapshot.configuration,
        offset,
        len(snapshot.state),
        snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES],
    )
    yield SendPeer(member.name, chunk)


@handle.register
def _handle_progress(
    message: SnapshotProgress,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or replica.leadership is None:
        return
    progress = replica.leadership.progress.get(message.voter_id)
    member = replica.membership.current.member(message.voter_id)
    if progress is None or member is None or message.term != replica.term:
        return
    progress.last_contact_at = now
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != message.index:
        return
    if message.offset <= progress.snapshot_offset:
        return
    progress.snapshot_offset = min(message.offset, len(snapshot.state))
    progress.snapshot_sent_at = -NEVER
    yield from send_snapshot_chunk(replica, member, progress, now)


@handle.register
def _handle_chunk(
    message: SnapshotChunk,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or message.to_id != replica.voter_id:
        return
    if message.term < replica.term:
        yield from _respond(replica, message, is_match=False)
        return
    yield from accept_leader(
        replica,
        node,
        message.term,
        message.leader_id,
        now,
    )
    if message.index <= replica.commit_index:
        yield from _respond(replica, message, is_match=True)
    elif _buffer_chunk(replica, message):
        yield from _install_snapshot(replica, message, node, now)
        yield from _respond(replica, message, is_match=True)
    else:
        yield from _request_next_chunk(replica, message)
    yield from start_write(replica)


def _buffer_chunk(replica: Replica, message: SnapshotChunk) -> bool:
    incoming = replica.incoming_snapshot
    # Snapshots of two leaders may differ in bytes at the same index.
    source = (message.term, message.leader_id, message.index)
    if incoming is None or incoming.source != source:
        incoming = IncomingSnapshot(source)
        replica.incoming_snapshot = incoming
    if message.offset == len(incoming.buffer):
        incoming.buffer += message.chunk
    return len(incoming.buffer) == message.total


def _install_snapshot(
    replica: Replica,
    message: SnapshotChunk,
    node: Node,
    now: float,
) -> Iterator[Command]:
    incoming = replica.incoming_snapshot
    state = b'' if incoming is None else bytes(incoming.buffer)
    index = message.index
    replica.incoming_snapshot = None
    replica.snapshot = Snapshot(
        index,
        message.snapshot_term,
        message.configuration,
        state,
    )
    if replica.log.term_at(index) == message.snapshot_term:
        # Later entries may have been acknowledged, so they are kept.
        replica.log.compact(index)
        replica.membership.compact(index)
    else:
        replica.writer.mark_entries_dirty(replica.commit_index + 1)
        replica.log.reset(index, message.snapshot_term)
        replica.membership.reset(index, message.configuration)
    replica.writer.mark_snapshot(replica.snapshot)
    replica.commit_index = index
    replica.applied_index = index
    yield LogEvent(EVENT_SNAPSHOT_INSTALLED, group=replica.group, index=index)
    yield from replica.machine.restore(node, state, index, now)


def _request_next_chunk(
    replica: Replica,
    message: SnapshotChunk,
) -> Iterator[Command]:
    incoming = replica.incoming_snapshot
    offset = 0 if incoming is None else len(incoming.buffer)
    response = SnapshotProgress(
        replica.group,
        replica.term,
        replica.voter_id,
        message.index,
        offset,
    )
    yield SendPeer(message.sender, response)


def _respond(
    replica: Replica,
    message: SnapshotChunk,
    *,
    is_match: bool,
) -> Iterator[Command]:
    response = AppendResponse(
        replica.group,
        replica.term,
        replica.voter_id,
        is_match,
        message.index if is_match else 0,
        0,
    )
    yield from run_after_sync(replica, SendPeer(message.sender, response))
