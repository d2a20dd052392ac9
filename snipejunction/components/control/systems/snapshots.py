"""Snapshot fetches for when the feeder's log starts too late."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.control.const import (
    EVENT_SNAPSHOT_BROKEN,
    MAX_SNAPSHOT_BYTES,
    SNAPSHOT_RETRY_SECONDS,
)
from snipejunction.components.control.follower_table import SnapshotFetch
from snipejunction.components.control.replication.codec import (
    unpack_host_snapshot,
)
from snipejunction.components.control.replication.messages import (
    FetchSnapshot,
    SnapshotChunk,
)
from snipejunction.components.control.systems.applying import apply_snapshot
from snipejunction.components.control.systems.following import request_entries
from snipejunction.components.control.systems.group import is_replica_member
from snipejunction.handling import handle, on_tick
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.node import Node


@handle.register
def _on_snapshot_chunk(
    message: SnapshotChunk,
    node: Node,
    now: float,
) -> Iterator[Command]:
    follower = node.control.follower
    if is_replica_member(node) or message.sender != follower.feeder:
        return
    follower.last_received_at = now
    if message.revision <= node.settings.revision:
        follower.fetch = None
        return
    if message.total > MAX_SNAPSHOT_BYTES:
        yield _snapshot_error_event(message.sender, f'{message.total} bytes')
        return
    fetch = _get_or_start_fetch(message, node)
    if fetch is None or message.offset != len(fetch.buffer):
        return
    fetch.buffer.extend(message.chunk)
    if len(fetch.buffer) < fetch.total:
        yield from _request_chunk(fetch, now)
        return
    follower.fetch = None
    yield from _apply_fetched(fetch, node)
    yield from request_entries(node, now)


@on_tick
def retry_chunk_request(node: Node, now: float) -> Iterator[Command]:
    """Request a missing chunk again."""
    fetch = node.control.follower.fetch
    if fetch is None or now < fetch.requested_at + SNAPSHOT_RETRY_SECONDS:
        return
    yield from _request_chunk(fetch, now)


def _get_or_start_fetch(
    message: SnapshotChunk, node: Node
) -> SnapshotFetch | None:
    follower = node.control.follower
    fetch = follower.fetch
    if fetch is not None and fetch.revision == message.revision:
        return fetch
    if message.offset:
        return None
    follower.fetch = SnapshotFetch(
        message.sender,
        message.revision,
        message.total,
    )
    return follower.fetch


def _request_chunk(fetch: SnapshotFetch, now: float) -> Iterator[Command]:
    fetch.requested_at = now
    yield SendPeer(
        fetch.feeder,
        FetchSnapshot(fetch.revision, len(fetch.buffer)),
    )


def _apply_fetched(fetch: SnapshotFetch, node: Node) -> Iterator[Command]:
    try:
        snapshot = unpack_host_snapshot(bytes(fetch.buffer))
    except WireError as error:
        yield _snapshot_error_event(fetch.feeder, str(error))
        return
    yield from apply_snapshot(snapshot, fetch.feeder, node)


def _snapshot_error_event(feeder: str, problem: str) -> LogEvent:
    return LogEvent(EVENT_SNAPSHOT_BROKEN, feeder=feeder, problem=problem)
