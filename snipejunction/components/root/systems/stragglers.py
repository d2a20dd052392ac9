"""Hedging of late sub-requests, and answers without the last of them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, CountMetric
from snipejunction.components.root.const import (
    METRIC_HEDGES,
    MIN_EXPECTED_GAIN,
)
from snipejunction.components.root.entities import Query, SubRequest
from snipejunction.components.root.states import ServiceState
from snipejunction.components.root.systems.plan import (
    assign,
    penalize_owners,
    reachable_costs,
)
from snipejunction.components.root.systems.send import send_subs
from snipejunction.const import PREFER_LATENCY
from snipejunction.node import Node
from snipejunction.timers import NEVER

# A sub-request is late past a multiple of this quantile of the service's
# times. It lies among common times even if many of few samples straggle.
BODY_QUANTILE: Final = 0.75
LATE_FACTOR: Final = 1.5
MIN_SAMPLES: Final = 32
FIRST_HEDGE_SECONDS: Final = 0.05
MIN_HEDGE_SECONDS: Final = 0.002
# The delay grows by up to this factor as tokens run out, so that they are
# kept for true stragglers. In calm times the budget itself thus settles how
# early hedges are sent.
SCARCE_FACTOR: Final = 1.5
# A service that prefers latency waits at least this many times the delay, so
# that a replacement has had its time.
PATIENCE_FACTOR: Final = 2.0
# Above these shares the service as a whole is slow or refuses work, and
# more requests would only add to that.
MAX_LATE_SHARE: Final = 0.3
MAX_REFUSED_SHARE: Final = 0.2


def hedge_seconds(state: ServiceState) -> float:
    """Return the time at a searcher after which a sub-request is late."""
    if state.times.total < MIN_SAMPLES:
        return FIRST_HEDGE_SECONDS
    late = LATE_FACTOR * state.times.quantile(BODY_QUANTILE)
    scarcity = 1 + (SCARCE_FACTOR - 1) * (1 - state.hedges.fullness)
    return max(MIN_HEDGE_SECONDS, late * scarcity)


def next_hedge_time(node: Node, query: Query, now: float) -> float:
    """Return when the next sub-request of a query is late, or looked at."""
    state = node.root.service(query.service.name)
    delay = hedge_seconds(state)
    due = NEVER
    for sub in query.pending.values():
        if sub.is_late:
            due = min(due, now + max(delay / 4, MIN_HEDGE_SECONDS))
        else:
            due = min(due, sub.sent_at + sub.round_trip + delay)
    return due


def hedge_late_subs(
    node: Node,
    query: Query,
    now: float,
) -> Iterator[Command]:
    """Send replacements of late sub-requests as the budget allows."""
    state = node.root.service(query.service.name)
    late = _mark_late(node, state, query, now)
    waiting = [sub for sub in late if not sub.is_replaced]
    if waiting and not _is_service_slow(state):
        yield from _hedge(node, query, waiting, now)


def gains_little(node: Node, query: Query, now: float) -> bool:
    """Return whether waiting is not worth it to a caller in a hurry.

    The price of time is one median sub-request: if the documents expected
    to arrive within it, by the learned distribution of times given that the
    sub-requests have lasted until now, are below a small share of the
    snapshot, the answer leaves. A wish below full coverage is kept to.
    """
    if query.service.prefer != PREFER_LATENCY or query.layout is None:
        return False
    if not query.covered or 0 < query.call.wished_coverage < 1:
        return False
    state = node.root.service(query.service.name)
    times = state.times
    patience = PATIENCE_FACTOR * hedge_seconds(state)
    if times.total < MIN_SAMPLES or now < query.asked_at + patience:
        return False
    step = times.quantile(1 / 2)
    gain = 0.0
    for sub in query.pending.values():
        # One on its way back or forth still has all its time before it.
        spent = max(0, now - sub.sent_at - sub.round_trip)
        chance = times.share_ending(spent, spent + step)
        missing = set(sub.shards) - query.covered
        gain += chance * query.layout.document_share(missing)
    return bool(query.pending) and gain < MIN_EXPECTED_GAIN


def _mark_late(
    node: Node,
    state: ServiceState,
    query: Query,
    now: float,
) -> list[SubRequest]:
    delay = hedge_seconds(state)
    late = []
    for sub in query.pending.values():
        if not sub.is_late and now >= sub.sent_at + sub.round_trip + delay:
            node.root.mark_late(sub)
            state.note_late(is_late=True)
        if sub.is_late:
            late.append(sub)
    return late


def _is_service_slow(state: ServiceState) -> bool:
    if state.late_share > MAX_LATE_SHARE:
        return True
    return state.refused_share > MAX_REFUSED_SHARE


def _hedge(
    node: Node,
    query: Query,
    waiting: list[SubRequest],
    now: float,
) -> Iterator[Command]:
    layout = query.layout
    if layout is None:
        return
    state = node.root.service(query.service.name)
    costs = reachable_costs(node, query, layout, now)
    for sub in query.pending.values():
        costs.pop(sub.searcher, None)
    penalize_owners(node, query, costs, {sub.owner for sub in waiting})
    # One searcher may stand in for several late ones.
    wanted = {shard for sub in waiting for shard in sub.shards}
    picks = []
    for pick in assign(node, layout, wanted - query.covered, costs):
        if state.hedges.can_spend(1):
            state.hedges.spend(1)
            picks.append(pick)
    if not picks:
        return
    sent = {shard for _, shards in picks for shard in shards}
    for sub in waiting:
        sub.is_replaced = sent.issuperset(set(sub.shards) - query.covered)
    yield CountMetric(METRIC_HEDGES, len(picks))
    yield from send_subs(node, query, picks, now, is_extra=True)
