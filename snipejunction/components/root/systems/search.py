"""Search requests of callers: checks, admission, start and abandonment."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, IncrementCounter
from snipejunction.components.admission.systems.admit import (
    release_slot,
    request_admission,
)
from snipejunction.components.admission.systems.entry import entry_refusal
from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.directory.messages import RoutesChanged
from snipejunction.components.directory.systems.subscribe import (
    subscribe_to_routes,
)
from snipejunction.components.root.const import (
    ANSWER_MARGIN_SECONDS,
    ANSWER_MARGIN_SHARE,
    METRIC_REFUSED,
    ROUTES_WAIT_SECONDS,
    UNREACHABLE_HOST_SECONDS,
)
from snipejunction.components.root.entities import Query, QueryPhase
from snipejunction.components.root.messages import (
    CallAbandoned,
    ReviewQuery,
    SearchAdmitted,
    SearchRequest,
    SearchResponse,
)
from snipejunction.components.root.systems.estimate import owner_state
from snipejunction.components.root.systems.finish import (
    close_query,
    finish,
    refuse,
)
from snipejunction.components.root.systems.progress import (
    review_query,
    start_query,
)
from snipejunction.components.root.systems.timing import set_timer
from snipejunction.handling import add_listener, handle
from snipejunction.messages import PeerConnected, PeerLost
from snipejunction.node import Node


@handle.register
def _handle_search(
    message: SearchRequest, node: Node, now: float
) -> Iterator[Command]:
    service = node.settings.service(message.service)
    refusal = entry_refusal(
        node,
        message.caller,
        message.service,
        service,
        now,
    )
    if refusal is not None or service is None:
        yield SearchResponse(message.call_id, None, refusal)
        yield IncrementCounter(METRIC_REFUSED)
        return
    query = Query(
        node.root.next_query_id(),
        message,
        service,
        now,
        now + _answer_timeout(message, service),
    )
    node.root.open_query(query)
    # Subscribe before admission replies, so that both waits overlap.
    yield from subscribe_to_routes(node, message.service, now)
    reply = SearchAdmitted(query.query_id, message.caller, message.service)
    yield from request_admission(node, reply, now)


@handle.register
def _handle_admission(
    message: SearchAdmitted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    query = node.root.queries.get(message.query_id)
    if query is None:
        # The caller disconnected while its request waited for admission.
        if message.refusal is None:
            release_slot(node, message.caller, message.service, now)
        return
    if message.refusal is not None:
        yield from refuse(node, query, message.refusal, now)
        return
    query.phase = QueryPhase.ROUTES
    if node.routing.entries(query.service.name):
        yield from _start_running(node, query, now)
        return
    set_timer(node, query, min(query.due, now + ROUTES_WAIT_SECONDS))


@handle.register
def _handle_routes_changed(
    message: RoutesChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.root.service(message.service).is_layout_stale = True
    if not node.routing.entries(message.service):
        return
    for query in list(node.root.queries.values()):
        is_waiting = query.phase is QueryPhase.ROUTES
        if is_waiting and query.service.name == message.service:
            node.timers.cancel(query.timer.number)
            yield from _start_running(node, query, now)


@handle.register
def _handle_review(
    message: ReviewQuery,
    node: Node,
    now: float,
) -> Iterator[Command]:
    query = node.root.queries.get(message.query_id)
    if query is None:
        return
    if query.phase is QueryPhase.RUNNING:
        yield from review_query(node, query, now)
    else:
        yield from finish(node, query, now)


@handle.register
def _handle_abandoned_call(
    message: CallAbandoned,
    node: Node,
    now: float,
) -> Iterator[Command]:
    query = node.root.query_of_call(message.call_id)
    if query is not None:
        yield from close_query(node, query, now)


def _handle_peer_lost(
    message: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Hedge the sub-requests in flight to an unreachable host.

    They stay pending, since the host may still answer.
    """
    state = owner_state(node, message.host)
    state.unreachable_until = now + UNREACHABLE_HOST_SECONDS
    affected: set[int] = set()
    for sub in node.root.subs.values():
        if sub.owner == message.host:
            node.root.mark_late(sub)
            affected.add(sub.query_id)
    for query_id in sorted(affected):
        query = node.root.queries.get(query_id)
        if query is not None:
            node.timers.cancel(query.timer.number)
            yield from review_query(node, query, now)


def _handle_peer_connected(
    message: PeerConnected,
    node: Node,
    now: float,
) -> Iterator[Command]:
    owner_state(node, message.host).unreachable_until = now
    return iter(())


def _start_running(node: Node, query: Query, now: float) -> Iterator[Command]:
    query.phase = QueryPhase.RUNNING
    yield from start_query(node, query, now)


def _answer_timeout(call: SearchRequest, service: ServiceSettings) -> float:
    requested = call.deadline if call.deadline > 0 else service.deadline
    seconds = min(requested, service.max_deadline)
    margin = min(ANSWER_MARGIN_SECONDS, seconds * ANSWER_MARGIN_SHARE)
    return seconds - margin


add_listener(PeerLost, _handle_peer_lost)
add_listener(PeerConnected, _handle_peer_connected)
