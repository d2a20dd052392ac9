"""Selection of the searcher for one attempt."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from snipejunction.components.gateway.const import (
    COLD_REQUESTS_PER_SECOND,
    MAX_FAILURE_SHARE,
    REGION_ROUND_TRIP_SECONDS,
    REMOTE_LATENCY_FACTOR,
)
from snipejunction.components.gateway.context import (
    RequestContext,
    make_context,
)
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.stated_limits import may_send
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.gateway.versions import order_candidates
from snipejunction.helpers.rendezvous import choose

# Health classes of searchers, the best first.
_HEALTHY: Final = 0
_FAILING: Final = 1
_STALLED: Final = 2
_SILENT: Final = 3
_COLD: Final = 4


def choose_upstream(
    service: str,
    route: Route,
    excluded_ids: Collection[str],
    table: GatewayTable,
    now: float,
    *,
    is_hedge: bool = False,
    tries_target: bool = False,
    context: RequestContext | None = None,
) -> Upstream | None:
    """Return the searcher that is expected to answer first, if any.

    Searchers in this data centre are preferred unless they are much slower,
    because traffic between data centres is expensive. ``excluded_ids`` are
    ids of searchers. A hedge goes to none that states a limit: what it allows
    is for parts without any attempt in flight. ``tries_target`` lets the
    target of a roll-out go first, as far as the exposure bounds allow it.
    Without a ``context`` that of the route alone counts.
    """
    context = context or make_context(route, None)
    for upstreams in order_candidates(
        service, table, now, tries_target=tries_target
    ):
        candidates = [
            upstream
            for upstream in upstreams
            if upstream.searcher_id not in excluded_ids
            and not (is_hedge and upstream.states_limit)
        ]
        best = _choose_among(candidates, service, route, context, table, now)
        if best is not None:
            return best
    return None


def _choose_among(
    candidates: Iterable[Upstream],
    service: str,
    route: Route,
    context: RequestContext,
    table: GatewayTable,
    now: float,
) -> Upstream | None:
    typical_seconds = (
        table.latencies_of(route.name).median or route.objective / 4
    )
    best: Upstream | None = None
    best_rank = (float('inf'), float('inf'), 0.0)
    limit = table.connection_limit(service)
    for upstream in candidates:
        if not _is_usable(upstream, context, limit, table, now):
            continue
        rank = (
            float(_health_class(upstream, now)),
            _expected_seconds(upstream, typical_seconds, table, now),
            table.random.random(),
        )
        if rank < best_rank:
            best = upstream
            best_rank = rank
    return best


def _is_usable(
    upstream: Upstream,
    context: RequestContext,
    limit: int,
    table: GatewayTable,
    now: float,
) -> bool:
    if not table.is_in_service(upstream) or now < upstream.refused_until:
        return False
    if upstream.in_flight >= limit:
        return False
    region = table.regions.get(upstream.record.data_centre, '')
    if not context.allows_region(region):
        return False
    if now < upstream.cold_until and not _may_send_cold(upstream, table, now):
        return False
    return may_send(upstream, table, now)


def _may_send_cold(upstream: Upstream, table: GatewayTable, now: float) -> bool:
    """Return whether this host may send to a cold searcher now.

    Only one entry host sends to each cold searcher, so that the total rate
    stays below what the searcher can handle while cold.
    """
    if now < upstream.last_cold_send + 1 / COLD_REQUESTS_PER_SECOND:
        return False
    return choose(upstream.searcher_id, table.active) == table.name


def _health_class(upstream: Upstream, now: float) -> int:
    if now < upstream.cold_until:
        return _COLD
    if upstream.is_silent:
        return _SILENT
    if upstream.is_stalled(now):
        return _STALLED
    if upstream.failure_rate(now) > MAX_FAILURE_SHARE:
        return _FAILING
    return _HEALTHY


def _expected_seconds(
    upstream: Upstream,
    typical_seconds: float,
    table: GatewayTable,
    now: float,
) -> float:
    record = upstream.record
    load = 1 + upstream.in_flight / max(1, record.slots)
    expected = typical_seconds * upstream.slowness(now) * load
    if record.data_centre == table.data_centre:
        return expected
    if table.regions.get(record.data_centre) != table.region:
        expected += REGION_ROUND_TRIP_SECONDS
    return expected * REMOTE_LATENCY_FACTOR
