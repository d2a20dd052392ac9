"""Progress of a running query: start, resends, hedges and restarts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, IncrementCounter, LogEvent
from snipejunction.components.root.budget import TokenBudget
from snipejunction.components.root.const import (
    EVENT_QUERY_RESTARTED,
    GAP_RETRY_SECONDS,
    MAX_ATTEMPTS_PER_SHARD,
    MAX_GAP_RETRY_SECONDS,
    MAX_RESTARTS,
    METRIC_RETRIES,
)
from snipejunction.components.root.entities import GapReason, Query, Timer
from snipejunction.components.root.systems.finish import finish
from snipejunction.components.root.systems.plan import (
    assign_shards,
    choose_plan,
    reachable_costs,
)
from snipejunction.components.root.systems.send import cancel_subs, send_subs
from snipejunction.components.root.systems.stragglers import (
    hedge_late_subs,
    next_hedge_time,
    should_stop_waiting,
)
from snipejunction.components.root.systems.timing import set_timer
from snipejunction.const import PREFER_COVERAGE
from snipejunction.node import Node

# A restart requires another snapshot with at least this much more reachable
# coverage than the current one, since it repeats work.
RESTART_GAIN: Final = 0.001
# Retries of open shards for a service that prefers latency.
MAX_GAP_RETRIES_FOR_LATENCY: Final = 3


def start_query(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Choose a snapshot and send the planned sub-requests of a query."""
    plan = choose_plan(node, query, now)
    if plan is None:
        yield from finish(node, query, now)
        return
    query.layout = plan.layout
    picks = assign_shards(
        node, plan.layout, plan.layout.held_shards, plan.costs
    )
    state = node.root.service(query.service.name)
    # Budgets earn less as refusals increase, so that extra work does not
    # prolong an overload.
    earn_factor = max(0, 1 - 2 * state.refused_share)
    state.hedge_tokens.earn(
        len(picks) * query.service.hedge_budget * earn_factor
    )
    state.retry_tokens.earn(
        len(picks) * query.service.retry_budget * earn_factor
    )
    yield from send_subs(node, query, picks, now, is_extra=False)
    schedule_review(node, query, now)


def advance_query(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Finish a query, resend its open shards, or keep waiting."""
    if now >= query.due or has_sufficient_coverage(query):
        yield from finish(node, query, now)
        return
    if _has_gap(query):
        yield from _fill_gaps(node, query, now)
    if query.query_id not in node.root.queries:
        return
    if query.pending or _schedule_gap_retry(node, query, now):
        return
    yield from finish(node, query, now)


def review_query(node: Node, query: Query, now: float) -> Iterator[Command]:
    """Process a timer of a query: hedges, retries and the deadline."""
    query.timer = Timer(0, now)
    if now < query.due:
        yield from hedge_late_subs(node, query, now)
        if should_stop_waiting(node, query, now):
            yield from finish(node, query, now)
            return
    yield from advance_query(node, query, now)
    if query.query_id in node.root.queries and not query.timer.number:
        schedule_review(node, query, now)


def schedule_review(node: Node, query: Query, now: float) -> None:
    """Set the timer of a query to its next hedge or its deadline."""
    due = min(query.due, next_hedge_time(node, query, now))
    set_timer(node, query, due)


def has_sufficient_coverage(query: Query) -> bool:
    """Return whether a query covers as much as its caller requires."""
    if query.is_complete:
        return True
    sufficient = query.call.sufficient_coverage
    return bool(query.covered) and 0 < sufficient <= query.covered_share


def restart_on_other_snapshot(
    node: Node,
    query: Query,
    now: float,
) -> Iterator[Command]:
    """Restart on another snapshot if that increases the coverage.

    All results of the current snapshot are discarded, since results of
    different snapshots are never merged.
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
    reachable_share = 0.0 if plan is None else plan.reachable_share()
    if reachable_share < layout.document_share(reachable) + RESTART_GAIN:
        query.rejected_snapshots.discard(layout.snapshot)
        return
    yield LogEvent(
        EVENT_QUERY_RESTARTED,
        request_id=query.call.request_id,
        service=query.service.name,
        snapshot=layout.snapshot.version,
    )
    yield from cancel_subs(node, query.pending.values(), now)
    query.reset_snapshot()
    yield from start_query(node, query, now)


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
        if query.attempts.get(shard, 0) < MAX_ATTEMPTS_PER_SHARD
    }
    if not open_shards:
        return
    costs = reachable_costs(node, query, layout, now)
    for gap, budget in (
        (GapReason.MOVED, None),
        (GapReason.REFUSED, state.retry_tokens),
        (GapReason.LOST, state.hedge_tokens),
    ):
        wanted = {
            shard
            for shard in open_shards
            if query.gaps.get(shard, GapReason.MOVED) is gap
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
    picks = assign_shards(node, query.layout, wanted, costs)
    if budget is not None:
        affordable = 0
        while affordable < len(picks) and budget.can_spend(1):
            budget.spend(1)
            affordable += 1
        picks = picks[:affordable]
    if not picks:
        return
    yield IncrementCounter(METRIC_RETRIES, len(picks))
    yield from send_subs(node, query, picks, now, is_extra=True)
    _schedule_earlier_review(node, query, now)


def _schedule_gap_retry(node: Node, query: Query, now: float) -> bool:
    """Set the timer for a retry of open shards; return whether it was set."""
    if not query.open_shards():
        return False
    if query.service.prefer != PREFER_COVERAGE:
        if query.gap_retries >= MAX_GAP_RETRIES_FOR_LATENCY:
            return False
    if _are_attempts_exhausted(query):
        return False
    pause = GAP_RETRY_SECONDS * 2**query.gap_retries
    due = now + min(pause, MAX_GAP_RETRY_SECONDS)
    if due >= query.due:
        return False
    query.gap_retries += 1
    set_timer(node, query, due)
    return True


def _are_attempts_exhausted(query: Query) -> bool:
    return all(
        query.attempts.get(shard, 0) >= MAX_ATTEMPTS_PER_SHARD
        for shard in query.open_shards()
    )


def _schedule_earlier_review(node: Node, query: Query, now: float) -> None:
    due = min(query.due, next_hedge_time(node, query, now))
    if not query.timer.number or due < query.timer.due:
        set_timer(node, query, due)
