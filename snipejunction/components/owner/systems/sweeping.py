"""Periodic maintenance of the owner's tables."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, IncrementCounter, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import (
    EVENT_SEARCHER_EXPIRED,
    LEASE_CLOSE_SECONDS,
    SEEN_PERIOD_SECONDS,
    SWEEP_SECONDS,
)
from snipejunction.components.owner.searcher import Searcher
from snipejunction.components.owner.systems.connecting import (
    close_unused_connections,
    open_missing_connections,
    trim_connections,
)
from snipejunction.components.owner.systems.dispatching import (
    dispatch_queued,
    refuse_blocked,
    refuse_queued,
)
from snipejunction.components.owner.systems.forwarding import (
    resend_announcements,
)
from snipejunction.components.owner.systems.handing_over import (
    resend_hand_overs,
)
from snipejunction.components.owner.systems.owning import hand_over_drained
from snipejunction.components.owner.systems.rules import (
    find_refusal,
    may_contact,
)
from snipejunction.components.owner.systems.watching import check_dispatch
from snipejunction.handling import on_tick
from snipejunction.node import Node


@on_tick
def sweep_owner(node: Node, now: float) -> Iterator[Command]:
    """Check timeouts of dispatches, connections and announcements."""
    yield from resend_announcements(node, now)
    yield from resend_hand_overs(node, now)
    if node.lease.remaining(now) <= LEASE_CLOSE_SECONDS:
        # The next owner opens its own connections once the lease expires.
        for leased in node.owner.searchers.values():
            yield from close_unused_connections(leased)
    for active in list(node.owner.active.values()):
        yield from _check_searcher(node, active, now)
    yield from hand_over_drained(node, now)
    if now >= node.owner.next_sweep_at:
        node.owner.next_sweep_at = now + SWEEP_SECONDS
        yield from _sweep_all(node, now)


def _check_searcher(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    for dispatch in list(searcher.dispatches.values()):
        yield from check_dispatch(node, dispatch, now)
    yield from dispatch_queued(node, searcher, now)
    if len(searcher.queue):
        yield from refuse_blocked(node, searcher, now)
    if searcher.dispatches or len(searcher.queue):
        return
    if searcher.lost_at_revision:
        return
    if not searcher.pool.has_responsive and may_contact(node, searcher, now):
        yield from open_missing_connections(node, searcher, now)
        return
    node.owner.active.pop(searcher.key, None)


def _sweep_all(node: Node, now: float) -> Iterator[Command]:
    for searcher in list(node.owner.searchers.values()):
        if searcher.is_expired(now):
            yield from _expire(node, searcher, now)
            continue
        yield from trim_connections(searcher, now)
        if may_contact(node, searcher, now):
            yield from open_missing_connections(node, searcher, now)
        else:
            yield from close_unused_connections(searcher)
    node.owner.hand_overs.remove_expired(now)
    node.owner.runs.remove_expired(now)
    if now >= node.owner.next_rotation_at:
        node.owner.next_rotation_at = now + SEEN_PERIOD_SECONDS
        _rotate_seen_ids(node)
    for name, increment in node.owner.counters.items():
        yield IncrementCounter(name, increment)
    node.owner.counters.clear()


def _expire(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    refusal = find_refusal(node, searcher, now)
    if refusal is not None:
        yield from refuse_queued(node, searcher, refusal, now)
    yield from close_unused_connections(searcher)
    if not searcher.is_drained:
        return
    node.owner.searchers.pop(searcher.key)
    node.owner.active.pop(searcher.key, None)
    yield LogEvent(EVENT_SEARCHER_EXPIRED, searcher=searcher.key)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _rotate_seen_ids(node: Node) -> None:
    for root, peer in list(node.owner.peers.items()):
        peer.rotate_seen()
        if peer.is_idle:
            node.owner.peers.pop(root)
