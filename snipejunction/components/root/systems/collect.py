"""Processing of sub-request results."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, IncrementCounter, LogEvent
from snipejunction.components.owner.messages import SubResult, SubResults
from snipejunction.components.root.const import (
    EVENT_BAD_PAYLOAD,
    EVENT_FOREIGN_RESULT,
    MAX_AVOID_SECONDS,
    METRIC_DROPPED,
    METRIC_WASTED,
    MIN_AVOID_SECONDS,
    MISSING_SNAPSHOT_SECONDS,
)
from snipejunction.components.root.entities import GapReason, Query, SubRequest
from snipejunction.components.root.systems.estimate import owner_state
from snipejunction.components.root.systems.merge import (
    Hit,
    PayloadError,
    parse_hits,
)
from snipejunction.components.root.systems.progress import (
    advance_query,
    restart_on_other_snapshot,
)
from snipejunction.components.root.systems.send import cancel_subs
from snipejunction.const import (
    CODE_COLD,
    CODE_DATA_CENTRE_OUT,
    CODE_DEADLINE,
    CODE_NO_CONNECTION,
    CODE_NO_LEASE,
    CODE_NOT_OWNER,
    CODE_OVERLOAD,
    CODE_SEARCHER_GONE,
    CODE_SEARCHER_LEAVING,
    CODE_SHED,
    CODE_SNAPSHOT_NOT_HELD,
    CODE_STOPPING,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.timers import NEVER
from snipejunction.verdict import Refusal

LOAD_CODES: Final = frozenset(
    (
        CODE_COLD,
        CODE_DEADLINE,
        CODE_NO_CONNECTION,
        CODE_OVERLOAD,
        CODE_SHED,
    )
)
MOVED_CODES: Final = frozenset(
    (
        CODE_DATA_CENTRE_OUT,
        CODE_NO_LEASE,
        CODE_NOT_OWNER,
        CODE_SEARCHER_GONE,
        CODE_SEARCHER_LEAVING,
        CODE_SNAPSHOT_NOT_HELD,
        CODE_STOPPING,
    )
)


@handle.register
def _handle_results(
    message: SubResults,
    node: Node,
    now: float,
) -> Iterator[Command]:
    affected: dict[int, Query] = {}
    for result in message.results:
        sub = node.root.subs.get(result.sub_id)
        if sub is None:
            yield from _count_dropped(result)
        elif sub.owner == message.sender:
            node.root.pop_sub(result.sub_id)
            query = node.root.queries[sub.query_id]
            affected[query.query_id] = query
            yield from _process_result(node, query, sub, result, now)
        else:
            yield LogEvent(
                EVENT_FOREIGN_RESULT,
                sender=message.sender,
                owner=sub.owner,
            )
    for query in affected.values():
        if query.query_id in node.root.queries:
            yield from _continue_query(node, query, now)


def _count_dropped(result: SubResult) -> Iterator[Command]:
    yield IncrementCounter(METRIC_DROPPED)
    if result.was_dispatched:
        yield IncrementCounter(METRIC_WASTED)


def _continue_query(node: Node, query: Query, now: float) -> Iterator[Command]:
    superseded = [
        sub
        for sub in query.pending.values()
        if query.covered.issuperset(sub.shards)
    ]
    yield from cancel_subs(node, superseded, now)
    if _is_snapshot_missing(query):
        yield from restart_on_other_snapshot(node, query, now)
    if query.query_id in node.root.queries:
        yield from advance_query(node, query, now)


def _is_snapshot_missing(query: Query) -> bool:
    last = query.last_refusal
    return last is not None and last.code == CODE_SNAPSHOT_NOT_HELD


def _process_result(
    node: Node,
    query: Query,
    sub: SubRequest,
    result: SubResult,
    now: float,
) -> Iterator[Command]:
    _update_estimates(node, query, sub, result, now)
    if result.refusal is not None:
        _process_refusal(node, query, sub, result, now)
        return
    query.may_have_run = True
    if query.layout is None or result.snapshot != query.layout.snapshot:
        # Results of different snapshots must not be merged.
        _record_gap(query, sub, GapReason.LOST)
        query.excluded[sub.searcher] = NEVER
        return
    try:
        hits = parse_hits(result.payload)
    except PayloadError as error:
        yield LogEvent(
            EVENT_BAD_PAYLOAD,
            searcher=sub.searcher,
            problem=str(error),
        )
        hits = []
        result.shards = []
    covered = set(sub.shards).intersection(result.shards)
    if len(covered) < len(sub.shards):
        covered, hits = _usable_hits(covered, hits)
    query.covered |= covered
    for hit in hits:
        query.hits[hit['id']] = hit
    if len(covered) < len(sub.shards):
        query.excluded[sub.searcher] = NEVER
        _record_gap(query, sub, GapReason.LOST)


def _usable_hits(
    covered: set[int],
    hits: list[Hit],
) -> tuple[set[int], list[Hit]]:
    """Return the shards and hits of a partial sub-answer that can be used.

    A hit without a shard may belong to a truncated shard. If any hit lacks
    its shard, the whole sub-answer is discarded.
    """
    if all('shard' in hit for hit in hits) and hits:
        return covered, [hit for hit in hits if hit['shard'] in covered]
    return set(), []


def _update_estimates(
    node: Node,
    query: Query,
    sub: SubRequest,
    result: SubResult,
    now: float,
) -> None:
    state = node.root.service(query.service.name)
    code = '' if result.refusal is None else result.refusal.code
    state.record_refused(is_refused=code in LOAD_CODES)
    if not sub.is_late:
        state.record_late(is_late=False)
    if result.refusal is not None:
        return
    elapsed = now - sub.sent_at
    reported = result.queued + result.served
    owner_state(node, sub.owner).record_round_trip(
        max(0, elapsed - reported),
    )
    state.searcher_times.add(max(reported, elapsed - sub.round_trip))
    searcher = node.root.searcher(sub.searcher)
    searcher.record_times(result.queued, result.served, now)


def _process_refusal(
    node: Node,
    query: Query,
    sub: SubRequest,
    result: SubResult,
    now: float,
) -> None:
    refusal = result.refusal
    if refusal is None:
        return
    query.last_refusal = refusal
    if not refusal.verdict.may_retry:
        query.may_have_run = True
        query.excluded[sub.searcher] = NEVER
        _record_gap(query, sub, GapReason.LOST)
        return
    pause = _avoid_seconds(refusal)
    query.excluded[sub.searcher] = now + pause
    state = node.root.searcher(sub.searcher)
    state.avoid_for(pause, now)
    if refusal.code == CODE_SNAPSHOT_NOT_HELD and query.layout is not None:
        state.missing_until[query.layout.snapshot] = (
            now + MISSING_SNAPSHOT_SECONDS
        )
    is_moved = refusal.code in MOVED_CODES
    _record_gap(query, sub, GapReason.MOVED if is_moved else GapReason.REFUSED)


def _avoid_seconds(refusal: Refusal) -> float:
    requested = max(MIN_AVOID_SECONDS, refusal.retry_after)
    return min(requested, MAX_AVOID_SECONDS)


def _record_gap(query: Query, sub: SubRequest, gap: GapReason) -> None:
    pending = {
        shard for other in query.pending.values() for shard in other.shards
    }
    for shard in sub.shards:
        if shard not in query.covered and shard not in pending:
            query.gaps[shard] = gap
