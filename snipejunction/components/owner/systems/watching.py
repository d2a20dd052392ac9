"""Detection of dispatches that are not answered in time."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import EVENT_CONNECTION_UNRESPONSIVE
from snipejunction.components.owner.searcher import Dispatch
from snipejunction.components.owner.systems.answering import refuse
from snipejunction.components.owner.systems.connecting import (
    close_connection,
    close_inactive_since,
    open_missing_connections,
    record_unanswered,
)
from snipejunction.components.owner.systems.dispatching import repeat_dispatch
from snipejunction.components.owner.systems.rebooting import (
    detach_dispatch,
    remove_dispatch,
)
from snipejunction.components.owner.systems.rules import may_contact
from snipejunction.components.owner.timer_messages import SuspectDue
from snipejunction.components.owner.upstream_messages import CancelDispatch
from snipejunction.const import CODE_DEADLINE
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import may_have_run_refusal


def check_dispatch(
    node: Node,
    dispatch: Dispatch,
    now: float,
) -> Iterator[Command]:
    """Suspect a dispatch that takes too long, or time it out."""
    if now >= dispatch.slot_free_at:
        yield from _time_out(node, dispatch, now)
    elif now >= dispatch.suspect_at and not dispatch.is_presumed_lost:
        yield from _suspect(node, dispatch, now)


def _time_out(
    node: Node,
    dispatch: Dispatch,
    now: float,
) -> Iterator[Command]:
    """Refuse the work of a dispatch whose end was never reported."""
    remove_dispatch(node, dispatch)
    if dispatch.is_orphan:
        return
    detach_dispatch(dispatch, may_have_run=True)
    searcher = dispatch.searcher
    yield CancelDispatch(dispatch.dispatch_id)
    yield from close_connection(searcher, dispatch.connection)
    refusal = may_have_run_refusal(CODE_DEADLINE, 'the searcher did not answer')
    yield from refuse(dispatch.work, refusal, node, now)
    was_down = searcher.health.is_down
    yield from record_unanswered(searcher, dispatch.started_at, now)
    if searcher.health.is_down and not was_down:
        yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _suspect(
    node: Node,
    dispatch: Dispatch,
    now: float,
) -> Iterator[Command]:
    """Mark a connection as suspect and open a new one beside it.

    The suspect connection is kept until the deadline, because a slow answer
    may still arrive. Idempotent work is repeated over the new connection.
    """
    searcher = dispatch.searcher
    dispatch.connection.is_suspect = True
    node.owner.count('owner.suspected')
    yield LogEvent(
        EVENT_CONNECTION_UNRESPONSIVE,
        searcher=searcher.key,
        seconds=now - dispatch.started_at,
    )
    searcher.warmth.lift_idle_restriction()
    if may_contact(node, searcher, now):
        # Idle connections that were not active since may be broken as well.
        yield from close_inactive_since(searcher, dispatch.started_at)
        yield from open_missing_connections(node, searcher, now)
        yield from repeat_dispatch(node, searcher, dispatch.work, now)


@handle.register
def _handle_suspect_due(
    message: SuspectDue,
    node: Node,
    now: float,
) -> Iterator[Command]:
    dispatch = node.owner.dispatches.get(message.dispatch_id)
    if dispatch is not None:
        yield from check_dispatch(node, dispatch, now)
