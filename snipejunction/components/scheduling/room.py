"""Room at the searchers of a service, now and in the time to come.

Answers searchers that pause, turn slow, refuse or are full: each of them has
room again at a time that this host can estimate from what it sent there.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import TYPE_CHECKING

from snipejunction.components.gateway.const import COLD_REQUESTS_PER_SECOND
from snipejunction.components.gateway.stated_limits import may_send
from snipejunction.components.scheduling.const import MIN_STEP_SECONDS
from snipejunction.helpers.records import Record
from snipejunction.helpers.rendezvous import choose
from snipejunction.timers import NEVER

if TYPE_CHECKING:
    from snipejunction.components.gateway.context import RequestContext
    from snipejunction.components.gateway.document import Route
    from snipejunction.components.gateway.tables import GatewayTable
    from snipejunction.components.gateway.upstreams import Upstream

# A route without measured service times is assumed to take this share of its
# objective.
_UNMEASURED_SHARE = 0.25


class Room(Record):
    """Room to come for one request; ``NEVER`` if none is expected.

    ``ready_at`` is when enough parts can be sent, in monotonic seconds;
    ``turn_seconds`` is the time in which the room of one request renews.
    """

    __slots__ = ('ready_at', 'turn_seconds')

    def __init__(self, ready_at: float, turn_seconds: float) -> None:
        """Create an estimate."""
        self.ready_at = ready_at
        self.turn_seconds = turn_seconds


def service_seconds(route: Route, table: GatewayTable) -> float:
    """Return the usual service time of a part of a route, in seconds."""
    median = table.latencies_of(route.name).median
    return median or route.objective * _UNMEASURED_SHARE


def full_searcher_ids(upstreams: Iterable[Upstream], now: float) -> set[str]:
    """Return the searchers that would turn a request away or keep it waiting.

    Those are full that said so within their service time, or that run as
    many requests of this host as they have slots.
    """
    return {
        upstream.searcher_id
        for upstream in upstreams
        if now < upstream.full_until
        or upstream.in_flight >= max(1, upstream.record.slots)
    }


def late_searcher_ids(
    upstreams: Iterable[Upstream], full_ids: Collection[str], now: float
) -> set[str]:
    """Return the late searchers that are not worth it, beside full ones.

    A full searcher that answers will have room before a late one answers.
    """
    late_ids = set()
    has_full = False
    for upstream in upstreams:
        if upstream.is_stalled(now):
            late_ids.add(upstream.searcher_id)
        elif upstream.searcher_id in full_ids:
            has_full = has_full or now >= upstream.refused_until
    return late_ids if has_full else set()


def find_room(
    services: Sequence[str],
    needed: int,
    route: Route,
    context: RequestContext,
    table: GatewayTable,
    now: float,
) -> Room:
    """Return when ``needed`` of the services have room for a part."""
    times = sorted(
        free_at(service, route, context, (), table, now) for service in services
    )
    searchers = sum(
        len(table.upstreams_by_service.get(service, {})) for service in services
    )
    limit = min(
        (table.connection_limit(service) for service in services), default=1
    )
    width = max(1, searchers * limit / max(1, len(services)))
    return Room(
        times[max(0, needed - 1)], service_seconds(route, table) / width
    )


def free_at(
    service: str,
    route: Route,
    context: RequestContext,
    excluded_ids: Collection[str],
    table: GatewayTable,
    now: float,
) -> float:
    """Return when a searcher of a service has room, in monotonic seconds."""
    limit = table.connection_limit(service)
    seconds = service_seconds(route, table)
    return min(
        (
            _searcher_free_at(upstream, limit, seconds, table, now)
            for upstream in table.upstreams_by_service.get(service, {}).values()
            if upstream.searcher_id not in excluded_ids
            and _may_be_asked(upstream, context, table)
        ),
        default=NEVER,
    )


def _may_be_asked(
    upstream: Upstream, context: RequestContext, table: GatewayTable
) -> bool:
    region = table.regions.get(upstream.record.data_centre, '')
    return table.is_in_service(upstream) and context.allows_region(region)


def _searcher_free_at(
    upstream: Upstream,
    limit: int,
    seconds: float,
    table: GatewayTable,
    now: float,
) -> float:
    when = max(now, upstream.refused_until, upstream.full_until)
    if now < upstream.cold_until:
        when = max(when, _cold_free_at(upstream, table))
    if upstream.in_flight >= min(limit, max(1, upstream.record.slots)):
        wait = seconds * upstream.slowness(now) / upstream.in_flight
        when = max(when, now + max(wait, MIN_STEP_SECONDS))
    if not may_send(upstream, table, now):
        when = max(when, now + 1 / max(upstream.stated_limit, 1 / seconds))
    return when


def _cold_free_at(upstream: Upstream, table: GatewayTable) -> float:
    if choose(upstream.searcher_id, table.active) == table.name:
        return upstream.last_cold_send + 1 / COLD_REQUESTS_PER_SECOND
    return upstream.cold_until
