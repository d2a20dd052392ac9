"""What is next for a running query: gaps, stragglers, its end."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, CountMetric, LogEvent
from snipejunction.components.root.budget import TokenBudget
from snipejunction.components.root.const import (
    EVENT_QUERY_RESTARTED,
    GAP_RETRY_SECONDS,
    MAX_GAP_RETRY_SECONDS,
    MAX_RESTARTS,
    MAX_TRIES_OF_A_SHARD,
    METRIC_RETRIES,
)
from snipejunction.components.root.entities import Gap, Query, Timer
from snipejunction.components.root.systems.finish import finish
from snipejunction.components.root.systems.plan import (
    assign,
    choose_plan,
    reachable_costs,
)
from snipejunction.components.root.systems.send import cancel_subs, send_subs
from snipejunction.components.root.systems.stragglers import (
    gains_little,
    hedge_late_subs,
    next_hedge_time,
)
from snipejunction.components.root.systems.timing import set_timer
from snipejunction.const import PREFER_COVERAGE
from snipejunction.node import Node

# Another snapshot must promise this much more of the documents than the
# present one can still reach, or a restart is not worth its time.
RESTART_GAIN: Final = 0.001
# Tries to fill gaps of a service that prefers latency.
MAX_GAP_RETRIES_FOR_LATENCY: Final = 3


def start(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Choose a snapshot and send the sub-requests of a query."""
    plan = choose_plan(node, query, now)
    if plan is None:
        yield from finish(node, query, now)
        return
    query.layout = plan.layout
    picks = assign(node, plan.layout, plan.layout.held_shards, plan.costs)
    state = node.root.service(query.service.name)
    # Budgets shrink as refusals grow, so that extra work cannot keep an
    # overload alive.
    calm = max(0, 1 - 2 * state.refused_share)
    state.hedges.earn(len(picks) * query.service.hedge_budget * calm)
    state.retries.earn(len(picks) * query.service.retry_budget * calm)
    yield from send_subs(node, query, picks, now, is_extra=False)
    schedule_review(node, query, now)


def proceed(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Finish a query, fill its gaps, or let it wait."""
    if now >= query.due or is_content(query):
        yield from finish(node, query, now)
        return
    if _has_gap(query):
        yield from _fill_gaps(node, query, now)
    if query.query_id not in node.root.queries:
        return
    if query.pending or _waits_for_gap(node, query, now):
        return
    yield from finish(node, query, now)


def review(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Run what is due by time: hedges, gaps and the deadline."""
    query.timer = Timer(0, now)
    if now < query.due:
        yield from hedge_late_subs(node, query, now)
        if gains_little(node, query, now):
            yield from finish(node, query, now)
            return
    yield from proceed(node, query, now)
    if query.query_id in node.root.queries and not query.timer.number:
        schedule_review(node, query, now)


def schedule_review(node: Node, query: Query, now: float) -> None:
    """Set the timer of a query to whatever is due first."""
    due = min(query.due, next_hedge_time(node, query, now))
    set_timer(node, query, due)


def is_content(query: Query) -> bool:
    """Return whether a query covers all that its caller wishes."""
    if query.is_complete:
        return True
    wish = query.call.wished_coverage
    return bool(query.covered) and 0 < wish <= query.covered_share


def restart_elsewhere(
    node: Node,
    query: Query,
    now: float,
) -> Iterator[Command]:
    """Start again on another snapshot if that promises more coverage.

    Nothing of the present snapshot is kept: parts are never mixed.
    """
    layout = query.layout
    if layout is None or len(query.rejected_snapshots) >= MAX_RESTARTS:
        return
    reachable = set(query.covered)
    for sub in query.pending.values():
        reachable.update(sub.shards)
    for searcher in reachable_costs(node, query, layout, now):
        reachable.update(layout.holders[searcher])
    query.rejected_snapshots.add(layout.snapshot)
    plan = choose_plan(node, query, now)
    promised = 0.0 if plan is None else plan.reachable_share()
    if promised < layout.document_share(reachable) + RESTART_GAIN:
        query.rejected_snapshots.discard(layout.snapshot)
        return
    yield LogEvent(
        EVENT_QUERY_RESTARTED,
        request_id=query.call.request_id,
        service=query.service.name,
        snapshot=layout.snapshot.version,
    )
    yield from cancel_subs(node, query.pending.values(), now)
    query.forget_attempt()
    yield from start(node, query, now)


def _has_gap(query: Query) -> bool:
    if query.layout is None:
        return False
    if not query.pending:
        return True
    return bool(query.gaps)


def _fill_gaps(node: Node, query: Query, now: float) -> Iterator[Command]:
    layout = query.layout
    if layout is None:
        return
    state = node.root.service(query.service.name)
    open_shards = {
        shard
        for shard in query.open_shards()
        if query.tries.get(shard, 0) < MAX_TRIES_OF_A_SHARD
    }
    if not open_shards:
        return
    costs = reachable_costs(node, query, layout, now)
    for gap, budget in (
        (Gap.MOVED, None),
        (Gap.REFUSED, state.retries),
        (Gap.LOST, state.hedges),
    ):
        wanted = {
            shard
            for shard in open_shards
            if query.gaps.get(shard, Gap.MOVED) is gap
        }
        yield from _resend(node, query, wanted, costs, budget, now)


def _resend(
    node: Node,
    query: Query,
    wanted: set[int],
    costs: dict[str, float],
    budget: TokenBudget | None,
    now: float,
) -> Iterator[Command]:
    if not wanted or query.layout is None:
        return
    picks = assign(node, query.layout, wanted, costs)
    if budget is not None:
        affordable = 0
        while affordable < len(picks) and budget.can_spend(1):
            budget.spend(1)
            affordable += 1
        picks = picks[:affordable]
    if not picks:
        return
    yield CountMetric(METRIC_RETRIES, len(picks))
    yield from send_subs(node, query, picks, now, is_extra=True)
    _bring_forward(node, query, now)


def _waits_for_gap(node: Node, query: Query, now: float) -> bool:
    """Return whether a gap may still be filled; set the timer for it."""
    if not query.open_shards():
        return False
    if query.service.prefer != PREFER_COVERAGE:
        if query.gap_retries >= MAX_GAP_RETRIES_FOR_LATENCY:
            return False
    if _is_exhausted(query):
        return False
    pause = GAP_RETRY_SECONDS * 2**query.gap_retries
    due = now + min(pause, MAX_GAP_RETRY_SECONDS)
    if due >= query.due:
        return False
    query.gap_retries += 1
    set_timer(node, query, due)
    return True


def _is_exhausted(query: Query) -> bool:
    return all(
        query.tries.get(shard, 0) >= MAX_TRIES_OF_A_SHARD
        for shard in query.open_shards()
    )


def _bring_forward(node: Node, query: Query, now: float) -> None:
    due = min(query.due, next_hedge_time(node, query, now))
    if not query.timer.number or due < query.timer.due:
        set_timer(node, query, due)
