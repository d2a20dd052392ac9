"""Estimates of how long sub-requests take."""

from __future__ import annotations

from typing import Final

from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.root.const import (
    DEFAULT_REGION_ROUND_TRIP_SECONDS,
    DEFAULT_REMOTE_ROUND_TRIP_SECONDS,
    DEFAULT_SERVICE_SECONDS,
)
from snipejunction.components.root.states import OwnerState, SearcherState
from snipejunction.const import SEARCHER_READY
from snipejunction.node import Node
from snipejunction.timers import NEVER

# The weight of this root's own samples falls to zero over this time, so that a
# searcher that was slow is tried again.
SAMPLE_LIFETIME_SECONDS: Final = 4.0
# Relative growth of the expected time from an idle to a fully used searcher.
# It spreads load before queues build up.
LOAD_SLOPE: Final = 0.3
# Number of service times that a late sub-request is expected to hold a slot.
LATE_SERVICE_TIMES: Final = 4.0
# Factor on the expected time of a searcher that is avoided after a refusal.
AVOID_FACTOR: Final = 8.0


def owner_state(node: Node, owner: str) -> OwnerState:
    """Return the network statistics of an owner, created on first use."""
    state = node.root.owners.get(owner)
    if state is None:
        state = OwnerState(_assumed_round_trip(node, owner))
        node.root.owners[owner] = state
    return state


def owner_of(node: Node, entry: RouteEntry) -> str:
    """Return the owner of a searcher, empty if there is none.

    The view takes precedence, since it is newer than the route entry.
    """
    key = searcher_key(entry.service, entry.searcher)
    owner = node.view.owner_of(key, entry.data_centre)
    return entry.owner if owner is None else owner


def is_reachable(node: Node, entry: RouteEntry, now: float) -> bool:
    """Return whether a searcher is available, regardless of deadlines."""
    return expected_seconds(node, entry, NEVER, now) is not None


def expected_seconds(
    node: Node,
    entry: RouteEntry,
    remaining: float,
    now: float,
) -> float | None:
    """Return the expected seconds until a sub-request sent now is answered.

    Return None if the searcher is unavailable, or cannot answer within
    ``remaining`` seconds even without queueing. Queueing times are estimated
    from hints that may be stale: they rank searchers but exclude none.
    """
    if entry.state != SEARCHER_READY or entry.limit <= 0:
        return None
    if node.settings.is_out(entry.data_centre):
        return None
    owner = owner_of(node, entry)
    link = owner_state(node, owner)
    if not owner or link.unreachable_until > now:
        return None
    state = node.root.searcher(entry.searcher)
    service, queued = _service_times(entry, state, now)
    if link.round_trip + service > remaining:
        return None
    return link.round_trip + _seconds_at_searcher(
        entry, state, service, queued, now
    )


def _seconds_at_searcher(
    entry: RouteEntry,
    state: SearcherState,
    service: float,
    queued: float,
    now: float,
) -> float:
    limit = entry.limit
    busy = max(entry.in_use, state.outstanding)
    excess = max(0, busy + 1 - limit) / limit
    if state.late_count:
        # Each late sub-request may occupy a slot for long.
        excess += LATE_SERVICE_TIMES * state.late_count / limit
    load = LOAD_SLOPE * min(1, busy / limit)
    expected = service * (1 + load) + max(queued, service * excess)
    if state.avoid_until > now:
        expected *= AVOID_FACTOR
    return expected


def _service_times(
    entry: RouteEntry,
    state: SearcherState,
    now: float,
) -> tuple[float, float]:
    announced = entry.latency or DEFAULT_SERVICE_SECONDS
    if not state.service_seconds:
        return announced, 0
    weight = max(0, 1 - (now - state.sampled_at) / SAMPLE_LIFETIME_SECONDS)
    service = announced + weight * (state.service_seconds - announced)
    return service, weight * state.queue_seconds


def _assumed_round_trip(node: Node, owner: str) -> float:
    host = node.view.current.hosts.get(owner)
    if host is None or host.region != node.identity.region:
        return DEFAULT_REMOTE_ROUND_TRIP_SECONDS
    return DEFAULT_REGION_ROUND_TRIP_SECONDS
