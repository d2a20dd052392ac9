"""Hedging of late sub-requests, and early answers without them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, IncrementCounter
from snipejunction.components.root.const import (
    METRIC_HEDGES,
    MIN_EXPECTED_GAIN,
)
from snipejunction.components.root.entities import Query, SubRequest
from snipejunction.components.root.states import ServiceState
from snipejunction.components.root.systems.plan import (
    assign_shards,
    penalize_owners,
    reachable_costs,
)
from snipejunction.components.root.systems.send import send_subs
from snipejunction.const import PREFER_LATENCY
from snipejunction.node import Node
from snipejunction.timers import NEVER

# A sub-request is late after a multiple of this quantile of the service's
# times. The quantile is low enough to be a typical time even if a large part
# of a small sample is slow.
TYPICAL_QUANTILE: Final = 0.75
LATE_FACTOR: Final = 1.5
MIN_SAMPLES: Final = 32
FIRST_HEDGE_SECONDS: Final = 0.05
MIN_HEDGE_SECONDS: Final = 0.002
# The hedge delay grows by up to this factor as tokens run out, to save them
# for the slowest sub-requests. Under normal load the budget thus determines
# how early hedges are sent.
MAX_SCARCITY_FACTOR: Final = 1.5
# A service that prefers latency waits at least this multiple of the hedge
# delay, so that a replacement has time to answer.
MIN_WAIT_FACTOR: Final = 2.0
# Above these shares of late or refused sub-requests the service as a whole is
# overloaded, and hedges would add to the load.
MAX_LATE_SHARE: Final = 0.3
MAX_REFUSED_SHARE: Final = 0.2


def hedge_delay(state: ServiceState) -> float:
    """Return the seconds at a searcher after which a sub-request is late."""
    if state.searcher_times.total < MIN_SAMPLES:
        return FIRST_HEDGE_SECONDS
    late = LATE_FACTOR * state.searcher_times.quantile(TYPICAL_QUANTILE)
    scarcity = 1 + (MAX_SCARCITY_FACTOR - 1) * (
        1 - state.hedge_tokens.fill_ratio
    )
    return max(MIN_HEDGE_SECONDS, late * scarcity)


def next_hedge_time(node: Node, query: Query, now: float) -> float:
    """Return the time of the next hedge or review of a sub-request."""
    state = node.root.service(query.service.name)
    delay = hedge_delay(state)
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
    """Send replacements for late sub-requests within the hedge budget."""
    state = node.root.service(query.service.name)
    late = _mark_late_subs(node, state, query, now)
    unreplaced = [sub for sub in late if not sub.is_replaced]
    if unreplaced and not _is_service_degraded(state):
        yield from _send_hedges(node, query, unreplaced, now)


def should_stop_waiting(node: Node, query: Query, now: float) -> bool:
    """Return whether to answer without the pending sub-requests.

    This applies to services that prefer latency. It is true if the documents
    expected within another median time, given how long the sub-requests
    have run already, are less than ``MIN_EXPECTED_GAIN`` of the snapshot.
    It is false for a caller that requires a coverage below 1: its query
    waits for that coverage.
    """
    if query.service.prefer != PREFER_LATENCY or query.layout is None:
        return False
    if not query.covered or 0 < query.call.sufficient_coverage < 1:
        return False
    state = node.root.service(query.service.name)
    times = state.searcher_times
    min_wait = MIN_WAIT_FACTOR * hedge_delay(state)
    if times.total < MIN_SAMPLES or now < query.received_at + min_wait:
        return False
    step = times.quantile(1 / 2)
    gain = 0.0
    for sub in query.pending.values():
        # The elapsed time excludes the round trip, as do the recorded times.
        elapsed = max(0, now - sub.sent_at - sub.round_trip)
        chance = times.finish_probability(elapsed, elapsed + step)
        missing = set(sub.shards) - query.covered
        gain += chance * query.layout.document_share(missing)
    return bool(query.pending) and gain < MIN_EXPECTED_GAIN


def _mark_late_subs(
    node: Node,
    state: ServiceState,
    query: Query,
    now: float,
) -> list[SubRequest]:
    delay = hedge_delay(state)
    late = []
    for sub in query.pending.values():
        if not sub.is_late and now >= sub.sent_at + sub.round_trip + delay:
            node.root.mark_late(sub)
            state.record_late(is_late=True)
        if sub.is_late:
            late.append(sub)
    return late


def _is_service_degraded(state: ServiceState) -> bool:
    if state.late_share > MAX_LATE_SHARE:
        return True
    return state.refused_share > MAX_REFUSED_SHARE


def _send_hedges(
    node: Node,
    query: Query,
    unreplaced: list[SubRequest],
    now: float,
) -> Iterator[Command]:
    layout = query.layout
    if layout is None:
        return
    state = node.root.service(query.service.name)
    costs = reachable_costs(node, query, layout, now)
    for sub in query.pending.values():
        costs.pop(sub.searcher, None)
    penalize_owners(node, query, costs, {sub.owner for sub in unreplaced})
    # A single replacement may cover the shards of several late sub-requests.
    wanted = {shard for sub in unreplaced for shard in sub.shards}
    picks = []
    for pick in assign_shards(node, layout, wanted - query.covered, costs):
        if state.hedge_tokens.can_spend(1):
            state.hedge_tokens.spend(1)
            picks.append(pick)
    if not picks:
        return
    sent = {shard for _, shards in picks for shard in shards}
    for sub in unreplaced:
        sub.is_replaced = sent.issuperset(set(sub.shards) - query.covered)
    yield IncrementCounter(METRIC_HEDGES, len(picks))
    yield from send_subs(node, query, picks, now, is_extra=True)
