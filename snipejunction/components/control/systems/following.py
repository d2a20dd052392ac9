"""The follower: a host without a replica applies what its feeder sends."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.control.const import (
    EVENT_FEEDER_CHANGED,
    MAX_FOLLOWER_LAG_SECONDS,
    FALLBACK_FEEDER_SECONDS,
    FEEDER_TIMEOUT_SECONDS,
    FOLLOW_INTERVAL_SECONDS,
)
from snipejunction.components.control.relay_tree import find_parent
from snipejunction.components.control.replication.messages import (
    FeedEntries,
    FollowFeed,
)
from snipejunction.components.control.systems.applying import (
    apply_entries,
    settle_views,
)
from snipejunction.components.control.systems.group import (
    is_replica_member,
    voter_names,
)
from snipejunction.handling import handle, on_tick
from snipejunction.helpers import rendezvous
from snipejunction.node import Node
from snipejunction.timers import NEVER


@on_tick
def update_feeder(node: Node, now: float) -> Iterator[Command]:
    """Choose the feeder and report this host's revision to it."""
    if is_replica_member(node):
        return
    follower = node.control.follower
    if now >= follower.preferred_retry_at:
        follower.preferred_retry_at = NEVER
        follower.failed_candidates = 0
    if _has_feeder_failed(node, now):
        follower.failed_candidates += 1
        follower.preferred_retry_at = now + FALLBACK_FEEDER_SECONDS
    yield from _switch_feeder(_choose_feeder(node), node, now)
    if now >= follower.due and follower.fetch is None:
        yield from request_entries(node, now)


def request_entries(node: Node, now: float) -> Iterator[Command]:
    """Request the entries after this host's revision from its feeder."""
    follower = node.control.follower
    follower.due = now + FOLLOW_INTERVAL_SECONDS
    if follower.feeder:
        yield SendPeer(
            follower.feeder,
            FollowFeed(node.settings.revision, node.view.settled),
        )


@handle.register
def _on_feed_entries(
    message: FeedEntries,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # A voter applies entries from its log, but learns from the feed which
    # views are settled.
    if not is_replica_member(node):
        yield from _receive_entries(message, node, now)
    yield from settle_views(message.settled, node)


def _receive_entries(
    message: FeedEntries,
    node: Node,
    now: float,
) -> Iterator[Command]:
    follower = node.control.follower
    if message.sender == follower.feeder:
        follower.last_received_at = now
    previous_revision = node.settings.revision
    yield from apply_entries(message.entries, node, now)
    if node.settings.revision == previous_revision:
        return
    follower.behind_since = NEVER
    if message.latest > node.settings.revision:
        yield from request_entries(node, now)


def _has_feeder_failed(node: Node, now: float) -> bool:
    follower = node.control.follower
    if follower.committed <= node.settings.revision:
        follower.behind_since = NEVER
    elif follower.behind_since == NEVER:
        follower.behind_since = now
    if now - follower.last_received_at > FEEDER_TIMEOUT_SECONDS:
        return bool(follower.feeder)
    if follower.fetch is not None:
        return False
    return now - follower.behind_since > MAX_FOLLOWER_LAG_SECONDS


def _choose_feeder(node: Node) -> str:
    candidates = _candidates(node)
    if not candidates:
        return ''
    return candidates[node.control.follower.failed_candidates % len(candidates)]


def _candidates(node: Node) -> list[str]:
    voters = [name for name in voter_names(node) if name != node.name]
    ranked = rendezvous.rank(node.name, voters)
    parent = _tree_parent(voters, node)
    first = ranked[:1] if parent is None else [parent]
    # The leader has every revision that it requires for a lease, so it comes
    # before the other voters.
    leader = node.control.renewals.leader
    second = [leader] if leader in ranked else []
    return list(dict.fromkeys([*first, *second, *ranked]))


def _tree_parent(voters: list[str], node: Node) -> str | None:
    # Sorting all hosts is expensive, so it is done once per view.
    follower = node.control.follower
    if follower.cached_parent[0] != node.view.revision:
        hosts = node.view.current.hosts
        parent = find_parent(node.name, hosts, voters)
        follower.cached_parent = (node.view.revision, parent)
    return follower.cached_parent[1]


def _switch_feeder(feeder: str, node: Node, now: float) -> Iterator[Command]:
    follower = node.control.follower
    if feeder == follower.feeder:
        return
    previous = follower.feeder
    follower.feeder = feeder
    follower.last_received_at = now
    follower.behind_since = NEVER
    follower.fetch = None
    follower.due = now
    if previous:
        yield LogEvent(
            EVENT_FEEDER_CHANGED,
            feeder=feeder,
            previous=previous,
        )
