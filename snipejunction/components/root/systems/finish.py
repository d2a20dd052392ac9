"""Completion of a query with an answer or a refusal."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import (
    Command,
    EndSpan,
    IncrementCounter,
    RecordDuration,
)
from snipejunction.components.admission.systems.admit import release_slot
from snipejunction.components.root.const import (
    METRIC_QUERIES,
    METRIC_QUERY_TIME,
    METRIC_REFUSED,
)
from snipejunction.components.root.entities import Query
from snipejunction.components.root.index import SnapshotLayout
from snipejunction.components.root.messages import (
    Coverage,
    SearchAnswer,
    SearchResponse,
)
from snipejunction.components.root.systems.merge import best_hits
from snipejunction.components.root.systems.send import cancel_subs
from snipejunction.const import CODE_DEADLINE, CODE_NO_SNAPSHOT
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal

# Delay that callers are told to wait after no searcher was reachable.
RETRY_AFTER_SECONDS = 0.5


def finish(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Answer with the covered shards, or refuse if there are none."""
    query.may_have_run = query.may_have_run or bool(query.pending)
    layout = query.layout
    if layout is None or not query.covered:
        yield from refuse(node, query, _make_refusal(query), now)
        return
    yield from close_query(node, query, now)
    answer = SearchAnswer(
        layout.snapshot,
        coverage_of(layout, query.covered),
        best_hits(query.hits.values(), query.call.top),
        query.needed_subs,
        query.extra_subs,
    )
    yield SearchResponse(query.call.call_id, answer, None)
    yield IncrementCounter(METRIC_QUERIES)


def refuse(
    node: Node,
    query: Query,
    refusal: Refusal,
    now: float,
) -> Iterator[Command]:
    """Refuse an open query."""
    yield from close_query(node, query, now)
    yield SearchResponse(query.call.call_id, None, refusal)
    yield IncrementCounter(METRIC_REFUSED)


def close_query(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Remove a query and cancel its sub-requests in flight."""
    yield from cancel_subs(node, query.pending.values(), now)
    node.timers.cancel(query.timer.number)
    node.root.close_query(query)
    if query.is_admitted:
        release_slot(node, query.call.caller, query.service.name, now)
    yield RecordDuration(METRIC_QUERY_TIME, now - query.received_at)
    yield EndSpan(
        'root',
        query.call.traceparent,
        query.received_at,
        now,
        service=query.service.name,
        needed_subs=query.needed_subs,
        extra_subs=query.extra_subs,
        coverage=query.covered_share,
    )


def coverage_of(layout: SnapshotLayout, covered: set[int]) -> Coverage:
    """Return the coverage that an answer reports."""
    return Coverage(
        layout.document_count(covered),
        layout.total,
        layout.missing_shards(covered),
    )


def _make_refusal(query: Query) -> Refusal:
    last = query.last_refusal
    if query.may_have_run:
        detail = 'no searcher answered by the deadline'
        return may_have_run_refusal(CODE_DEADLINE, detail)
    if last is not None:
        return not_run_refusal(last.code, last.detail, last.retry_after)
    return not_run_refusal(
        CODE_NO_SNAPSHOT,
        'no searcher of the service is in reach',
        RETRY_AFTER_SECONDS,
    )
