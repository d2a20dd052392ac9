"""Results and refusals that are sent back to the senders of work."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch

from snipejunction.commands import Command, Deliver, EndSpan, SendPeer
from snipejunction.components.owner.const import (
    MAX_BATCH_BYTES,
    RESULT_DELAY_SECONDS,
)
from snipejunction.components.owner.messages import (
    RunOnceResult,
    SubResult,
    SubResults,
)
from snipejunction.components.owner.peers import RootPeer
from snipejunction.components.owner.timer_messages import ResultsDue
from snipejunction.components.owner.upstream_messages import (
    CancelDispatch,
    DispatchEnded,
)
from snipejunction.components.owner.work import OnceWork, SubWork, Work
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, Verdict, may_have_run_refusal


def refuse(
    work: Work,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Refuse work unless it is queued, dispatched or answered already."""
    if work.is_answered or work.open_dispatches or work.is_queued:
        return
    work.is_answered = True
    if work.may_have_run and refusal.verdict is Verdict.NOT_RUN:
        # Only the last dispatch did not run; an earlier one may have.
        refusal = may_have_run_refusal(refusal.code, refusal.detail)
    yield from _send_refusal(work, refusal, node, now)


def complete(
    work: Work,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Answer work with the payload and cancel its other dispatches."""
    if work.is_answered:
        return
    work.is_answered = True
    yield from cancel_dispatches(work, node)
    yield from _send_answer(work, ended, node, now)


def cancel_dispatches(work: Work, node: Node) -> Iterator[Command]:
    """Cancel open dispatches, which hold their slots until they end."""
    for dispatch_id in work.open_dispatches:
        node.owner.dispatches[dispatch_id].is_cancelled = True
        yield CancelDispatch(dispatch_id)


@singledispatch
def _send_refusal(
    work: Work,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Send a refusal in the form that the type of work requires.

    Raises:
        TypeError: for work of an unknown type.
    """
    raise TypeError(f'cannot answer work of type {type(work).__name__}')


@singledispatch
def _send_answer(
    work: Work,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Send the payload in the form that the type of work requires.

    Raises:
        TypeError: for work of an unknown type.
    """
    raise TypeError(f'cannot answer work of type {type(work).__name__}')


@_send_refusal.register
def _refuse_sub(
    work: SubWork,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    started_at = work.started_at if work.was_dispatched else now
    answer = SubResult(
        work.work_id,
        _searcher_name(work),
        refusal,
        b'',
        None,
        [],
        started_at - work.arrived_at,
        now - started_at,
        work.was_dispatched,
    )
    yield from _finish_sub(work, answer, node, now)


@_send_answer.register
def _answer_sub(
    work: SubWork,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # A truncated answer does not cover any shard in full.
    shards = [] if ended.is_truncated else list(ended.shards)
    answer = SubResult(
        work.work_id,
        _searcher_name(work),
        None,
        ended.payload,
        ended.snapshot,
        shards,
        work.started_at - work.arrived_at,
        now - work.started_at,
        was_dispatched=True,
    )
    yield from _finish_sub(work, answer, node, now)


@_send_refusal.register
def _refuse_once(
    work: OnceWork,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    outcome = RunOnceResult(work.work_id, refusal, b'')
    yield from _finish_once(work, outcome, node, now)


@_send_answer.register
def _answer_once(
    work: OnceWork,
    ended: DispatchEnded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    outcome = RunOnceResult(work.work_id, None, ended.payload)
    yield from _finish_once(work, outcome, node, now)


def _finish_once(
    work: OnceWork,
    outcome: RunOnceResult,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.owner.runs.record_outcome(work.run_key, outcome)
    yield from _end_span(work, now)
    yield SendPeer(work.root, outcome)


def _finish_sub(
    work: SubWork,
    answer: SubResult,
    node: Node,
    now: float,
) -> Iterator[Command]:
    yield from _end_span(work, now)
    peer = node.owner.peers[work.root]
    peer.open_work.pop(work.work_id, None)
    yield from enqueue_result(node, work.root, answer, now)


def enqueue_result(
    node: Node,
    root: str,
    answer: SubResult,
    now: float,
) -> Iterator[Command]:
    """Add a result to the next batch for its root."""
    peer = node.owner.peers[root]
    peer.outbox.append(answer)
    if not peer.open_work and not peer.is_flush_immediate:
        # No other results are pending for this root.
        peer.is_flush_immediate = True
        yield Deliver(ResultsDue(root))
    elif not peer.is_flush_scheduled:
        peer.is_flush_scheduled = True
        flush_at = now + RESULT_DELAY_SECONDS
        node.timers.schedule(flush_at, ResultsDue(root))


@handle.register
def _send_results(
    message: ResultsDue,
    node: Node,
    now: float,
) -> Iterator[Command]:
    peer = node.owner.peers.get(message.root)
    if peer is None:
        return
    peer.is_flush_scheduled = False
    peer.is_flush_immediate = False
    for batch in _split_outbox(peer):
        yield SendPeer(message.root, SubResults(batch))


def _split_outbox(peer: RootPeer) -> Iterator[list[SubResult]]:
    batch: list[SubResult] = []
    size = 0
    for answer in peer.outbox:
        size += len(answer.payload)
        if batch and size > MAX_BATCH_BYTES:
            yield batch
            batch = []
            size = len(answer.payload)
        batch.append(answer)
    peer.outbox = []
    if batch:
        yield batch


def _end_span(work: Work, now: float) -> Iterator[Command]:
    if work.traceparent:
        yield EndSpan(
            'owner.work',
            work.traceparent,
            work.arrived_at,
            now,
            searcher=work.searcher,
            was_dispatched=work.was_dispatched,
        )


def _searcher_name(work: Work) -> str:
    return work.searcher[len(work.service) + 1 :]
