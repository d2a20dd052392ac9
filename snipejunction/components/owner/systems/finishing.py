"""Handling of ended dispatches and of opened and closed connections."""

from __future__ import annotations

import math
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_ERROR,
    ENDED_LEAVING,
    ENDED_LOST,
    ENDED_NOT_SENT,
    ENDED_OK,
    ENDED_SHED,
    ENDED_SNAPSHOT_NOT_HELD,
    EVENT_LIMIT_LIFTED,
    EVENT_LIMIT_STATED,
    EVENT_LIMIT_UNREADABLE,
    MAX_BACKOFF_SECONDS,
    MAX_PAYLOAD_BYTES,
)
from snipejunction.components.owner.searcher import Dispatch, Searcher
from snipejunction.components.owner.systems.answering import complete, refuse
from snipejunction.components.owner.systems.connecting import (
    close_connection,
    mark_opened,
    open_missing_connections,
    record_reset,
    record_unanswered,
    remove_closed,
)
from snipejunction.components.owner.systems.dispatching import (
    dispatch_queued,
    refuse_queued,
)
from snipejunction.components.owner.systems.leaving import mark_leaving
from snipejunction.components.owner.systems.rebooting import (
    detach_dispatch,
    handle_restart,
    remove_dispatch,
)
from snipejunction.components.owner.systems.rules import (
    find_refusal,
    may_contact,
)
from snipejunction.components.owner.upstream_messages import (
    ConnectionClosed,
    ConnectionOpened,
    DispatchEnded,
)
from snipejunction.const import (
    CODE_CANCELLED,
    CODE_CONNECTION_LOST,
    CODE_DEADLINE,
    CODE_SEARCHER_LEAVING,
    CODE_SHED,
    CODE_SNAPSHOT_NOT_HELD,
    CODE_UPSTREAM_ERROR,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.timers import NEVER
from snipejunction.verdict import (
    Refusal,
    Verdict,
    may_have_run_refusal,
    not_run_refusal,
)

# Outcomes after which the upstream may still run the request, the connection
# cannot be used again, or the upstream dropped the connection.
_MAY_STILL_RUN: Final = frozenset((ENDED_LOST, ENDED_DEADLINE))
_CONNECTION_UNUSABLE: Final = frozenset(
    (ENDED_LOST, ENDED_DEADLINE, ENDED_NOT_SENT)
)
_CONNECTION_LOST: Final = frozenset((ENDED_LOST, ENDED_NOT_SENT))

_MAY_HAVE_RUN: Final = MappingProxyType(
    {
        ENDED_CANCELLED: (CODE_CANCELLED, 'it was cancelled while it ran'),
        ENDED_DEADLINE: (CODE_DEADLINE, 'its deadline passed while it ran'),
        ENDED_ERROR: (CODE_UPSTREAM_ERROR, 'the searcher failed to answer it'),
        ENDED_LOST: (CODE_CONNECTION_LOST, 'the connection was lost'),
    }
)
_NOT_RUN: Final = MappingProxyType(
    {
        ENDED_SHED: (CODE_SHED, 'the searcher shed it'),
        ENDED_LEAVING: (CODE_SEARCHER_LEAVING, 'the searcher is leaving'),
        ENDED_SNAPSHOT_NOT_HELD: (
            CODE_SNAPSHOT_NOT_HELD,
            'the searcher dropped it',
        ),
        ENDED_NOT_SENT: (CODE_CONNECTION_LOST, 'the connection was closed'),
    }
)


@handle.register
def _handle_dispatch_ended(
    message: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    dispatch = node.owner.dispatches.get(message.dispatch_id)
    if dispatch is None or dispatch.is_orphan:
        return
    searcher = dispatch.searcher
    detach_dispatch(dispatch, may_have_run=message.outcome not in _NOT_RUN)
    yield from _update_searcher(dispatch, message, node, now)
    yield from _release_connection(dispatch, message.outcome, node, now)
    yield from _answer(dispatch, message, node, now)
    if message.outcome in _MAY_STILL_RUN and now < dispatch.slot_free_at:
        dispatch.is_orphan = True
    else:
        remove_dispatch(node, dispatch)
    yield from dispatch_queued(node, searcher, now)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)


@handle.register
def _handle_opened(
    message: ConnectionOpened,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = node.owner.connections.get(message.connection_id)
    if searcher is None:
        return
    was_down = searcher.health.is_down
    yield from mark_opened(message, node, now)
    yield from dispatch_queued(node, searcher, now)
    if was_down != searcher.health.is_down:
        yield from publish_if_changed(node, searcher.service, searcher.key, now)


@handle.register
def _handle_closed(
    message: ConnectionClosed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = node.owner.connections.get(message.connection_id)
    if searcher is None:
        return
    was_down = searcher.health.is_down
    yield from remove_closed(message, node, now)
    node.owner.active[searcher.key] = searcher
    if searcher.health.is_down and not was_down:
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from publish_if_changed(node, searcher.service, searcher.key, now)
    if may_contact(node, searcher, now):
        yield from open_missing_connections(node, searcher, now)
    yield from dispatch_queued(node, searcher, now)


def _update_searcher(
    dispatch: Dispatch,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = dispatch.searcher
    node.owner.count(f'owner.ended.{ended.outcome}')
    if dispatch.epoch != searcher.epoch:
        # An answer of an earlier boot is no evidence for the current one.
        return
    if ended.boot_id and ended.boot_id != searcher.boot_id:
        yield from handle_restart(node, searcher, ended.boot_id, now)
        return
    yield from _record_rate_limit(searcher, ended, now)
    if ended.boot_id:
        searcher.warmth.confirm_boot(dispatch.started_at, now)
    if ended.outcome == ENDED_LEAVING:
        yield from mark_leaving(node, searcher, now)
    elif ended.outcome == ENDED_SHED:
        backoff = min(ended.retry_after, MAX_BACKOFF_SECONDS)
        searcher.backoff_until = max(searcher.backoff_until, now + backoff)
        node.owner.active[searcher.key] = searcher
    elif ended.outcome == ENDED_ERROR and not ended.boot_id:
        # A searcher that restarts fails its running requests.
        searcher.warmth.restrict_to_cold(now)
    _update_estimates(dispatch, ended.outcome, now)


def _record_rate_limit(
    searcher: Searcher, ended: DispatchEnded, now: float
) -> Iterator[Command]:
    """Record the request rate that an answer stated."""
    stated = ended.stated_limit
    if stated is None:
        return
    if math.isnan(stated):
        yield LogEvent(EVENT_LIMIT_UNREADABLE, searcher=searcher.key)
    elif searcher.rate_limit.replace(stated, now):
        if stated == NEVER:
            yield LogEvent(EVENT_LIMIT_LIFTED, searcher=searcher.key)
        else:
            yield LogEvent(
                EVENT_LIMIT_STATED, searcher=searcher.key, limit=stated
            )


def _update_estimates(dispatch: Dispatch, outcome: str, now: float) -> None:
    """Update the limit and the latency estimate with an outcome."""
    searcher = dispatch.searcher
    service_seconds = now - dispatch.started_at
    if outcome == ENDED_OK:
        searcher.health.consecutive_resets = 0
        searcher.health.consecutive_unanswered = 0
        searcher.repeat_budget.earn()
        searcher.latency.record(service_seconds)
        searcher.warmth.record_success(
            dispatch.started_at,
            service_seconds,
            searcher.in_flight,
            now,
        )
    elif outcome == ENDED_SHED:
        searcher.warmth.record_overload(dispatch.started_at, now)
    elif outcome == ENDED_DEADLINE:
        searcher.latency.record(service_seconds)


def _release_connection(
    dispatch: Dispatch,
    outcome: str,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = dispatch.searcher
    connection = dispatch.connection
    if outcome == ENDED_LOST and now >= dispatch.deadline:
        yield from record_unanswered(searcher, dispatch.started_at, now)
    elif outcome in _CONNECTION_LOST and not dispatch.is_cancelled:
        # Cancelling a request may close its connection.
        record_reset(searcher, connection, now)
    if searcher.pool.get(connection.connection_id) is not connection:
        return
    if outcome in _CONNECTION_UNUSABLE or not may_contact(node, searcher, now):
        yield from close_connection(searcher, connection)
    else:
        searcher.pool.release(connection, now)


def _answer(
    dispatch: Dispatch,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    refusal = _find_refusal(ended)
    if refusal is None:
        yield from complete(dispatch.work, ended, node, now)
    else:
        yield from refuse(dispatch.work, refusal, node, now)


def _find_refusal(ended: DispatchEnded) -> Refusal | None:
    if ended.outcome == ENDED_OK:
        return _find_payload_refusal(ended)
    not_run_reason = _NOT_RUN.get(ended.outcome)
    if not_run_reason is not None:
        return not_run_refusal(*not_run_reason, ended.retry_after)
    may_have_run_reason = _MAY_HAVE_RUN.get(ended.outcome)
    if may_have_run_reason is None:
        return may_have_run_refusal(
            CODE_UPSTREAM_ERROR, f'it ended {ended.outcome}'
        )
    return may_have_run_refusal(*may_have_run_reason)


def _find_payload_refusal(ended: DispatchEnded) -> Refusal | None:
    if len(ended.payload) <= MAX_PAYLOAD_BYTES:
        return None
    detail = f'its answer is larger than {MAX_PAYLOAD_BYTES} bytes'
    return Refusal(Verdict.RAN.value, CODE_UPSTREAM_ERROR, detail, -1)
