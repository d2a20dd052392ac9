"""Handling of non-idempotent requests, dispatched at most once."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.messages import RunOnce, RunOnceResult
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.owner.systems.answering import refuse
from snipejunction.components.owner.systems.dispatching import (
    dispatch_queued,
    enqueue,
)
from snipejunction.components.owner.work import OnceWork
from snipejunction.const import CODE_NO_LEASE, CODE_NOT_OWNER, CODE_OVERLOAD
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import not_run_refusal


@handle.register
def _handle_run(
    message: RunOnce,
    node: Node,
    now: float,
) -> Iterator[Command]:
    expected = message.owner_incarnation
    if expected and expected != node.identity.incarnation:
        # An earlier process of this host may have run the request. Any answer
        # could be wrong, so none is sent.
        return
    key = (
        message.sender,
        message.run_id,
        message.service,
        message.caller,
        message.request_id,
    )
    runs = node.owner.runs
    if key in runs:
        outcome = runs.outcome(key)
        if outcome is not None:
            yield SendPeer(message.sender, outcome)
        return
    if message.sender not in node.view.current.hosts:
        detail = f'host {message.sender} is not in the view'
        refusal = not_run_refusal(CODE_NO_LEASE, detail)
        yield SendPeer(
            message.sender,
            RunOnceResult(message.run_id, refusal, b''),
        )
        return
    runs.add(key, now)
    work = _create_work(message, now)
    work.run_key = key
    yield from _enqueue(work, node, now)


def _enqueue(work: OnceWork, node: Node, now: float) -> Iterator[Command]:
    searcher = node.owner.searchers.get(work.searcher)
    if searcher is None:
        refusal = not_run_refusal(CODE_NOT_OWNER, 'it is not known here')
        yield from refuse(work, refusal, node, now)
        return
    if node.owner.runs.is_full:
        refusal = not_run_refusal(
            CODE_OVERLOAD, 'too many requests to remember', 1
        )
        yield from refuse(work, refusal, node, now)
        return
    yield from enqueue(node, searcher, work, now)
    yield from dispatch_queued(node, searcher, now)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _create_work(message: RunOnce, now: float) -> OnceWork:
    work = OnceWork(
        message.sender,
        message.run_id,
        message.service,
        searcher_key(message.service, message.searcher),
        message.caller,
        message.body,
        message.traceparent,
        now,
        now + message.remaining,
    )
    work.request_id = message.request_id
    return work
