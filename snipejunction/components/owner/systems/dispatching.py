"""Queueing and dispatch of work for the searchers of this host."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.owner.const import (
    FEW_SAMPLES_SUSPECT_FLOOR_SECONDS,
    IDLE_SUSPECT_FACTOR,
    IDLE_SUSPECT_FLOOR_SECONDS,
    IDLE_SUSPECT_SECONDS,
    LEASE_MARGIN_SECONDS,
    MAX_QUEUE_SECONDS,
    MIN_TIMEOUT_SECONDS,
    QUEUE_SHARE,
    SUSPECT_FACTOR,
    SUSPECT_FLOOR_SECONDS,
)
from snipejunction.components.owner.searcher import Dispatch, Searcher
from snipejunction.components.owner.systems.answering import refuse
from snipejunction.components.owner.systems.connecting import (
    open_missing_connections,
)
from snipejunction.components.owner.systems.requests import (
    may_repeat,
    upstream_request,
)
from snipejunction.components.owner.systems.rules import (
    find_refusal,
    may_contact,
)
from snipejunction.components.owner.timer_messages import (
    QueueDue,
    SuspectDue,
)
from snipejunction.components.owner.upstream_messages import DispatchRequest
from snipejunction.components.owner.work import Work
from snipejunction.const import CODE_DEADLINE, CODE_OVERLOAD
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.timers import NEVER
from snipejunction.verdict import Refusal, not_run_refusal


def enqueue(
    node: Node,
    searcher: Searcher,
    work: Work,
    now: float,
) -> Iterator[Command]:
    """Queue work or refuse it.

    The caller must call ``dispatch_queued`` afterwards.
    """
    refusal = find_refusal(node, searcher, now)
    if refusal is None:
        refusal = _find_delay_refusal(searcher, work, now)
    if refusal is None and len(searcher.queue) >= searcher.queue_limit:
        evicted = searcher.queue.find_eviction_candidate(work.caller)
        overload = _overload_refusal('its queue is full', searcher, now)
        if evicted is None:
            refusal = overload
        else:
            searcher.queue.remove(evicted)
            yield from refuse(evicted, overload, node, now)
    if refusal is not None:
        node.owner.count('owner.refused')
        yield from refuse(work, refusal, node, now)
        return
    work.queue_deadline = now + _queue_timeout(work, now)
    searcher.queue.push(work)
    node.owner.active[searcher.key] = searcher


def dispatch_queued(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    """Dispatch as much queued work as the limits allow."""
    queue = searcher.queue
    if not len(queue):
        return
    searcher.pool.record_demand(
        searcher.in_flight + min(len(queue), searcher.slots),
        now,
    )
    if may_contact(node, searcher, now) and now >= searcher.backoff_until:
        if not searcher.in_flight:
            searcher.warmth.restrict_if_unconfirmed(now)
        yield from _fill_slots(node, searcher, now)
        yield from open_missing_connections(node, searcher, now)
    _schedule_queue_timer(node, searcher, now)


def repeat_dispatch(
    node: Node,
    searcher: Searcher,
    work: Work,
    now: float,
) -> Iterator[Command]:
    """Dispatch idempotent work again, over another connection.

    The first answer of either dispatch is used. A budget bounds the extra
    load.
    """
    is_finished = work.is_answered or work.is_cancelled
    if is_finished or work.is_repeated or not may_repeat(work):
        return
    if not searcher.repeat_budget.spend():
        return
    work.is_repeated = True
    work.queue_deadline = work.deadline
    node.owner.count('owner.repeated')
    searcher.queue.push_first(work)
    yield from dispatch_queued(node, searcher, now)


def refuse_blocked(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    """Refuse work that overdue requests keep from starting in time."""
    blocked_until = searcher.blocked_until(now)
    if blocked_until <= now:
        return
    refusal = _overload_refusal('silent requests hold its slots', searcher, now)
    for work in searcher.queue:
        if work.queue_deadline < blocked_until:
            searcher.queue.remove(work)
            yield from refuse(work, refusal, node, now)


def refuse_queued(
    node: Node,
    searcher: Searcher,
    refusal: Refusal,
    now: float,
) -> Iterator[Command]:
    """Refuse all queued work of a searcher."""
    for work in searcher.queue.drain():
        yield from refuse(work, refusal, node, now)
    _schedule_queue_timer(node, searcher, now)


def expected_wait(searcher: Searcher, caller: str, now: float) -> float:
    """Return the seconds until a new request of ``caller`` would start."""
    effective_limit = searcher.warmth.effective_limit
    if not effective_limit:
        return NEVER
    queued = searcher.queue.count_ahead(caller)
    ahead = searcher.in_flight + queued
    turns = max(0, ahead + 1 - effective_limit) / effective_limit
    wait = max(
        turns * searcher.latency.mean,
        searcher.rate_limit.wait(queued, now),
    )
    if searcher.free_slots > 0:
        return wait
    return max(wait, searcher.blocked_until(now) - now)


@handle.register
def _handle_queue_due(
    message: QueueDue,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searcher = node.owner.searchers.get(message.key)
    if searcher is None:
        return
    searcher.queue.timer_due = NEVER
    refusal = _overload_refusal('it waited too long', searcher, now)
    for work in searcher.queue.overdue(now):
        searcher.queue.remove(work)
        node.owner.count('owner.overdue')
        yield from refuse(work, refusal, node, now)
    yield from dispatch_queued(node, searcher, now)


def _fill_slots(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    while searcher.free_slots > 0 and searcher.pool.has_idle:
        if searcher.rate_limit.wait(0, now):
            return
        work = searcher.queue.pop()
        if work is None:
            return
        if not work.is_answered:
            yield from _dispatch(node, searcher, work, now)


def _dispatch(
    node: Node,
    searcher: Searcher,
    work: Work,
    now: float,
) -> Iterator[Command]:
    lease_left = node.lease.remaining(now) - LEASE_MARGIN_SECONDS
    timeout = min(work.deadline - now, lease_left)
    if timeout < MIN_TIMEOUT_SECONDS:
        refusal = not_run_refusal(CODE_DEADLINE, 'no time was left to run it')
        yield from refuse(work, refusal, node, now)
        return
    connection = searcher.pool.acquire()
    if connection is None:
        searcher.queue.push(work)
        return
    dispatch_id = node.owner.new_dispatch_id()
    dispatch = Dispatch(
        dispatch_id,
        work,
        searcher,
        connection,
        now,
        now + timeout,
        now + _suspect_timeout(searcher),
    )
    searcher.dispatches[dispatch_id] = dispatch
    if searcher.rate_limit.stated < NEVER:
        searcher.rate_limit.count_request(now)
        node.owner.count('owner.limited')
    if now >= connection.last_active_at + IDLE_SUSPECT_SECONDS:
        dispatch.suspect_at = now + _idle_suspect_timeout(searcher)
        notice = SuspectDue(dispatch_id)
        node.timers.schedule(dispatch.suspect_at, notice)
    node.owner.dispatches[dispatch_id] = dispatch
    work.started_at = now
    work.was_dispatched = True
    work.open_dispatches.append(dispatch_id)
    snapshot, shards, request_id = upstream_request(work)
    yield DispatchRequest(
        dispatch_id,
        connection.connection_id,
        work.service,
        work.caller,
        snapshot,
        shards,
        request_id,
        timeout,
        work.body,
        work.traceparent,
    )


def _suspect_timeout(searcher: Searcher) -> float:
    timeout = SUSPECT_FACTOR * searcher.latency.high_quantile
    return max(timeout, _suspect_floor(searcher, SUSPECT_FLOOR_SECONDS))


def _idle_suspect_timeout(searcher: Searcher) -> float:
    timeout = IDLE_SUSPECT_FACTOR * searcher.latency.high_quantile
    return max(timeout, _suspect_floor(searcher, IDLE_SUSPECT_FLOOR_SECONDS))


def _suspect_floor(searcher: Searcher, reliable_floor: float) -> float:
    if searcher.latency.has_enough_samples:
        return reliable_floor
    return FEW_SAMPLES_SUSPECT_FLOOR_SECONDS


def _find_delay_refusal(
    searcher: Searcher,
    work: Work,
    now: float,
) -> Refusal | None:
    time_left = work.deadline - now
    if time_left < MIN_TIMEOUT_SECONDS:
        return not_run_refusal(CODE_DEADLINE, 'no time was left to run it')
    wait = expected_wait(searcher, work.caller, now)
    is_too_late = wait + searcher.latency.mean > time_left
    if wait and (is_too_late or wait > _queue_timeout(work, now)):
        detail = 'its queue is too long'
        if searcher.rate_limit.stated < NEVER:
            detail = f'it states a limit of {searcher.rate_limit.stated} per s'
        return _overload_refusal(detail, searcher, now)
    return None


def _queue_timeout(work: Work, now: float) -> float:
    """Return the seconds that work may be queued.

    The rest of its time is left for a retry on another replica.
    """
    return min((work.deadline - now) * QUEUE_SHARE, MAX_QUEUE_SECONDS)


def _overload_refusal(detail: str, searcher: Searcher, now: float) -> Refusal:
    wait = expected_wait(searcher, '', now)
    return not_run_refusal(CODE_OVERLOAD, detail, min(wait, MAX_QUEUE_SECONDS))


def _schedule_queue_timer(node: Node, searcher: Searcher, now: float) -> None:
    if not len(searcher.queue):
        return
    due_at = searcher.queue.next_due()
    wait = searcher.rate_limit.wait(0, now)
    if wait:
        due_at = min(due_at, now + wait)
    if due_at >= searcher.queue.timer_due:
        return
    node.timers.cancel(searcher.queue.timer)
    notice = QueueDue(searcher.key)
    searcher.queue.timer = node.timers.schedule(due_at, notice)
    searcher.queue.timer_due = due_at
