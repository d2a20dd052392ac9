"""Sending and cancellation of sub-requests."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from snipejunction.commands import Command, IncrementCounter, SendPeer
from snipejunction.components.owner.messages import SubBatch, SubCancel
from snipejunction.components.root.const import METRIC_CANCELS, METRIC_SUBS
from snipejunction.components.root.entities import Query, SubRequest
from snipejunction.components.root.systems.estimate import (
    owner_of,
    owner_state,
)
from snipejunction.components.root.systems.plan import Picks
from snipejunction.node import Node


def send_subs(
    node: Node,
    query: Query,
    picks: Picks,
    now: float,
    *,
    is_extra: bool,
) -> Iterator[Command]:
    """Send sub-requests in one batch per owner."""
    by_owner: dict[str, Picks] = {}
    entries = node.routing.entries(query.service.name)
    for searcher, shards in picks:
        owner = owner_of(node, entries[searcher])
        by_owner.setdefault(owner, []).append((searcher, shards))
    if is_extra:
        query.extra_subs += len(picks)
    else:
        query.needed_subs += len(picks)
    for owner, batch_picks in by_owner.items():
        subs = [
            _add_sub(node, query, owner, pick, now, is_extra=is_extra)
            for pick in batch_picks
        ]
        yield SendPeer(owner, _make_batch(node, query, owner, subs, now))
    yield IncrementCounter(METRIC_SUBS, len(picks))


def cancel_subs(
    node: Node,
    subs: Iterable[SubRequest],
    now: float,
) -> Iterator[Command]:
    """Remove sub-requests and send cancellations to their owners."""
    by_owner: dict[str, list[int]] = {}
    count = 0
    for sub in list(subs):
        if node.root.pop_sub(sub.sub_id) is None:
            continue
        count += 1
        by_owner.setdefault(sub.owner, []).append(sub.sub_id)
        _record_cancelled(node, sub, now)
    for owner, sub_ids in by_owner.items():
        yield SendPeer(owner, SubCancel(sub_ids))
    if count:
        yield IncrementCounter(METRIC_CANCELS, count)


def _add_sub(
    node: Node,
    query: Query,
    owner: str,
    pick: tuple[str, tuple[int, ...]],
    now: float,
    *,
    is_extra: bool,
) -> SubRequest:
    searcher, shards = pick
    sub = SubRequest(
        node.root.next_sub_id(),
        query.query_id,
        searcher,
        owner,
        shards,
        now,
        owner_state(node, owner).round_trip,
        is_extra=is_extra,
    )
    for shard in shards:
        query.attempts[shard] = query.attempts.get(shard, 0) + 1
        query.gaps.pop(shard, None)
    node.root.add_sub(query, sub)
    return sub


def _make_batch(
    node: Node,
    query: Query,
    owner: str,
    subs: list[SubRequest],
    now: float,
) -> SubBatch:
    if query.layout is None:
        raise ValueError(f'query {query.query_id} has no snapshot')
    # The owner starts the timeout on arrival; reserve a round trip for the
    # request and its results.
    remaining = query.due - now - owner_state(node, owner).round_trip
    return SubBatch(
        query.service.name,
        query.call.caller,
        query.layout.snapshot,
        max(0, remaining),
        query.call.body,
        query.call.traceparent,
        [sub.sub_id for sub in subs],
        [sub.searcher for sub in subs],
        [list(sub.shards) for sub in subs],
    )


def _record_cancelled(node: Node, sub: SubRequest, now: float) -> None:
    """Record the elapsed time of a late sub-request that is cancelled.

    The elapsed time is only a lower bound of the actual time. Adding it to
    the histogram as a sample would underestimate late sub-requests.
    """
    elapsed = now - sub.sent_at - sub.round_trip
    query = node.root.queries.get(sub.query_id)
    if query is None or not sub.is_late:
        return
    node.root.service(query.service.name).searcher_times.add_abandoned()
    state = node.root.searcher(sub.searcher)
    if elapsed > state.service_seconds:
        state.record_times(state.queue_seconds, elapsed, now)
