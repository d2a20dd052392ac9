"""The end of dispatched requests and of connections."""

from __future__ import annotations

from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from snipejunction.commands import Command
from snipejunction.components.directory.systems.publishing import note_change
from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_ERROR,
    ENDED_LEAVING,
    ENDED_LOST,
    ENDED_NOT_HELD,
    ENDED_NOT_SENT,
    ENDED_OK,
    ENDED_SHED,
    MAX_PAYLOAD_BYTES,
    MAX_REST_SECONDS,
)
from snipejunction.components.owner.upstream_messages import (
    ConnectionClosed,
    ConnectionOpened,
    DispatchEnded,
)
from snipejunction.components.owner.searcher import Dispatch
from snipejunction.components.owner.systems.answering import refuse, succeed
from snipejunction.components.owner.systems.connecting import (
    close_connection,
    keep_connections,
    note_closed,
    note_opened,
    note_reset,
    note_silence,
)
from snipejunction.components.owner.systems.dispatching import (
    pump,
    refuse_queued,
)
from snipejunction.components.owner.systems.leaving import mark_leaving
from snipejunction.components.owner.systems.rebooting import (
    close_dispatch,
    forget_dispatch,
    note_boot,
)
from snipejunction.components.owner.systems.rules import find_refusal, may_reach
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
from snipejunction.verdict import Refusal, Verdict, may_have_run, not_run

# The connection cannot be used again after these outcomes, and the upstream
# may still run the request after the first two.
_UNCERTAIN: Final = frozenset((ENDED_LOST, ENDED_DEADLINE))
_BROKEN: Final = frozenset((ENDED_LOST, ENDED_DEADLINE, ENDED_NOT_SENT))
_RESET: Final = frozenset((ENDED_LOST, ENDED_NOT_SENT))

_UNKNOWN: Final = MappingProxyType(
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
        ENDED_NOT_HELD: (CODE_SNAPSHOT_NOT_HELD, 'the searcher dropped it'),
        ENDED_NOT_SENT: (CODE_CONNECTION_LOST, 'the connection was closed'),
    }
)


@handle.register
def _end_dispatch(
    message: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    dispatch = node.owner.dispatches.get(message.dispatch_id)
    if dispatch is None or dispatch.is_orphan:
        return
    searcher = dispatch.searcher
    close_dispatch(dispatch, has_run=message.outcome not in _NOT_RUN)
    yield from _learn(dispatch, message, node, now)
    yield from _release_connection(dispatch, message.outcome, node, now)
    yield from _answer(dispatch, message, node, now)
    if message.outcome in _UNCERTAIN and now < dispatch.frees_at:
        dispatch.is_orphan = True
    else:
        forget_dispatch(node, dispatch)
    yield from pump(node, searcher, now)
    yield from note_change(node, searcher.service, searcher.key, now)


@handle.register
def _open_connection(
    message: ConnectionOpened,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = node.owner.connections.get(message.connection_id)
    if searcher is None:
        return
    was_down = searcher.health.is_down
    yield from note_opened(message, node, now)
    yield from pump(node, searcher, now)
    if was_down != searcher.health.is_down:
        yield from note_change(node, searcher.service, searcher.key, now)


@handle.register
def _close_connection(
    message: ConnectionClosed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = node.owner.connections.get(message.connection_id)
    if searcher is None:
        return
    was_down = searcher.health.is_down
    yield from note_closed(message, node, now)
    node.owner.active[searcher.key] = searcher
    if searcher.health.is_down and not was_down:
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from note_change(node, searcher.service, searcher.key, now)
    if may_reach(node, searcher, now):
        yield from keep_connections(node, searcher, now)
    yield from pump(node, searcher, now)


def _learn(
    dispatch: Dispatch,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = dispatch.searcher
    node.owner.count(f'owner.ended.{ended.outcome}')
    if dispatch.epoch != searcher.epoch:
        # An answer of an earlier boot teaches nothing of this one.
        return
    if ended.boot_id and ended.boot_id != searcher.boot_id:
        yield from note_boot(node, searcher, ended.boot_id, now)
        return
    if ended.boot_id:
        searcher.warmth.confirm(dispatch.started, now)
    if ended.outcome == ENDED_LEAVING:
        yield from mark_leaving(node, searcher, now)
    elif ended.outcome == ENDED_SHED:
        rest = min(ended.retry_after, MAX_REST_SECONDS)
        searcher.rests_until = max(searcher.rests_until, now + rest)
        node.owner.active[searcher.key] = searcher
    elif ended.outcome == ENDED_ERROR and not ended.boot_id:
        # A process that starts again fails what it was running.
        searcher.warmth.doubt(now)
    _judge(dispatch, ended.outcome, now)


def _judge(dispatch: Dispatch, outcome: str, now: float) -> None:
    """Adapt the limit and the expected service time to an outcome."""
    searcher = dispatch.searcher
    served = now - dispatch.started
    if outcome == ENDED_OK:
        searcher.health.resets = 0
        searcher.health.silences = 0
        searcher.repeats.earn()
        searcher.latency.note(served)
        searcher.warmth.note_success(
            dispatch.started,
            served,
            searcher.in_flight,
            now,
        )
    elif outcome == ENDED_SHED:
        searcher.warmth.note_overload(dispatch.started, now)
    elif outcome == ENDED_DEADLINE:
        searcher.latency.note(served)


def _release_connection(
    dispatch: Dispatch,
    outcome: str,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = dispatch.searcher
    connection = dispatch.connection
    if outcome == ENDED_LOST and now >= dispatch.deadline:
        yield from note_silence(searcher, dispatch.started, now)
    elif outcome in _RESET and not dispatch.is_cancelled:
        # A cancelled request may have lost its connection by that.
        note_reset(searcher, connection, now)
    if searcher.pool.get(connection.connection_id) is not connection:
        return
    if outcome in _BROKEN or not may_reach(node, searcher, now):
        yield from close_connection(searcher, connection)
    else:
        searcher.pool.give_back(connection, now)


def _answer(
    dispatch: Dispatch,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    refusal = _refusal_of(ended)
    if refusal is None:
        yield from succeed(dispatch.work, ended, node, now)
    else:
        yield from refuse(dispatch.work, refusal, node, now)


def _refusal_of(ended: DispatchEnded) -> Refusal | None:
    if ended.outcome == ENDED_OK:
        return _payload_fault(ended)
    proven = _NOT_RUN.get(ended.outcome)
    if proven is not None:
        return not_run(*proven, ended.retry_after)
    unknown = _UNKNOWN.get(ended.outcome)
    if unknown is None:
        return may_have_run(CODE_UPSTREAM_ERROR, f'it ended {ended.outcome}')
    return may_have_run(*unknown)


def _payload_fault(ended: DispatchEnded) -> Refusal | None:
    if len(ended.payload) <= MAX_PAYLOAD_BYTES:
        return None
    detail = f'its answer is larger than {MAX_PAYLOAD_BYTES} bytes'
    return Refusal(Verdict.RAN.value, CODE_UPSTREAM_ERROR, detail, -1)
