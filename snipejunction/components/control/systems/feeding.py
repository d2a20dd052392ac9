"""The feeder: forwards applied entries to the subscribers of this host."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.control.const import SNAPSHOT_CHUNK_BYTES
from snipejunction.components.control.follower_table import Subscriber
from snipejunction.components.control.replication.codec import (
    pack_documents,
    pack_snapshot,
)
from snipejunction.components.control.replication.messages import (
    FeedEntries,
    FetchSnapshot,
    FollowFeed,
    HostSnapshot,
    SnapshotChunk,
)
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node


def push_feed(node: Node) -> Iterator[Command]:
    """Send each subscriber the entries that it lacks."""
    for name, subscriber in node.control.subscribers.hosts.items():
        is_behind = subscriber.revision < node.settings.revision
        if is_behind or subscriber.settled < node.view.settled:
            yield from _send_entries(name, subscriber, node)


@handle.register
def _on_follow_feed(
    message: FollowFeed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    subscriber = node.control.subscribers.subscribe(
        message.sender,
        message.revision,
        message.settled,
        now,
    )
    if node.control.feed_log.entries_after(message.revision) is None:
        yield from _send_chunk(message.sender, 0, 0, node, now)
        return
    yield from _send_entries(message.sender, subscriber, node)


@handle.register
def _on_fetch_snapshot(
    message: FetchSnapshot,
    node: Node,
    now: float,
) -> Iterator[Command]:
    yield from _send_chunk(
        message.sender,
        message.revision,
        message.offset,
        node,
        now,
    )


@on_tick
def expire_subscribers(node: Node, now: float) -> Iterator[Command]:
    """Drop expired subscriptions."""
    node.control.subscribers.expire(now)
    return iter(())


def _send_entries(
    name: str,
    subscriber: Subscriber,
    node: Node,
) -> Iterator[Command]:
    entries = node.control.feed_log.entries_after(subscriber.revision)
    if entries is None:
        # The next request of the subscriber is answered with a snapshot.
        return
    if entries:
        subscriber.revision = entries[-1].revision
    subscriber.settled = node.view.settled
    yield SendPeer(
        name,
        FeedEntries(entries, node.settings.revision, node.view.settled),
    )


def _send_chunk(
    name: str,
    revision: int,
    offset: int,
    node: Node,
    now: float,
) -> Iterator[Command]:
    cached = node.control.subscribers.cached_snapshot(now)
    if cached is None or cached[0] < node.control.feed_log.start_revision:
        cached = (node.settings.revision, _pack_snapshot(node))
        node.control.subscribers.cache_snapshot(*cached)
    # If the requested snapshot is gone, restart with the current one.
    start = offset if cached[0] == revision else 0
    packed = cached[1]
    chunk = packed[start : start + SNAPSHOT_CHUNK_BYTES]
    yield SendPeer(name, SnapshotChunk(cached[0], start, len(packed), chunk))


def _pack_snapshot(node: Node) -> bytes:
    return pack_snapshot(
        HostSnapshot(
            node.settings.revision,
            node.view.revision,
            pack_documents(node.settings.documents),
            list(node.view.current.hosts.values()),
            list(node.control.history),
        ),
    )
