"""Handling of batches of sub-requests and of cancellations."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import MAX_BATCH_SUBS
from snipejunction.components.owner.messages import (
    SnapshotId,
    SubBatch,
    SubCancel,
    SubResult,
    SubResults,
)
from snipejunction.components.owner.peers import RootPeer
from snipejunction.components.owner.searcher import Searcher, searcher_key
from snipejunction.components.owner.systems.answering import (
    cancel_dispatches,
    enqueue_result,
    refuse,
)
from snipejunction.components.owner.systems.dispatching import (
    dispatch_queued,
    enqueue,
)
from snipejunction.components.owner.work import SubWork
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_CANCELLED,
    CODE_NO_LEASE,
    CODE_NOT_OWNER,
    CODE_SNAPSHOT_NOT_HELD,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, not_run_refusal

_RETRY_SECONDS = 0.2


@handle.register
def _handle_batch(
    message: SubBatch,
    node: Node,
    now: float,
) -> Iterator[Command]:
    refusal = _find_batch_refusal(message, node)
    if refusal is not None:
        yield SendPeer(message.sender, _refuse_all(message, refusal))
        return
    peer = ensure_peer(node, message.sender)
    affected: dict[str, Searcher] = {}
    for position, sub_id in enumerate(message.sub_ids):
        if peer.mark_seen(sub_id):
            yield from _accept_sub(message, position, peer, affected, node, now)
    for searcher in affected.values():
        yield from dispatch_queued(node, searcher, now)
        yield from publish_if_changed(node, searcher.service, searcher.key, now)


@handle.register
def _handle_cancel(
    message: SubCancel,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if message.sender not in node.view.current.hosts:
        return
    peer = ensure_peer(node, message.sender)
    for sub_id in message.sub_ids:
        # Marked as seen so that a batch that arrives later does not run.
        peer.mark_seen(sub_id)
        work = peer.open_work.get(sub_id)
        if work is not None and not work.is_cancelled:
            yield from _cancel_work(work, node, now)


def ensure_peer(node: Node, root: str) -> RootPeer:
    """Return the entry of a root in the view, creating it if needed."""
    incarnation = node.view.current.hosts[root].incarnation
    peer = node.owner.peers.get(root)
    if peer is None:
        peer = RootPeer(incarnation)
        node.owner.peers[root] = peer
    elif peer.incarnation != incarnation:
        peer.restart(incarnation)
    return peer


def _find_batch_refusal(message: SubBatch, node: Node) -> Refusal | None:
    if message.sender not in node.view.current.hosts:
        detail = f'host {message.sender} is not in the view'
        return not_run_refusal(CODE_NO_LEASE, detail, _RETRY_SECONDS)
    sizes = {
        len(message.sub_ids),
        len(message.searchers),
        len(message.shards),
    }
    if len(sizes) != 1 or max(sizes) > MAX_BATCH_SUBS:
        detail = f'a batch has up to {MAX_BATCH_SUBS} entries in each list'
        return not_run_refusal(CODE_BAD_REQUEST, detail, -1)
    return None


def _refuse_all(message: SubBatch, refusal: Refusal) -> SubResults:
    return SubResults(
        [
            _refused_result(sub_id, searcher, refusal)
            for sub_id, searcher in zip(
                message.sub_ids,
                message.searchers,
                strict=False,
            )
        ],
    )


def _accept_sub(
    message: SubBatch,
    position: int,
    peer: RootPeer,
    affected: dict[str, Searcher],
    node: Node,
    now: float,
) -> Iterator[Command]:
    sub_id = message.sub_ids[position]
    key = searcher_key(message.service, message.searchers[position])
    searcher = node.owner.searchers.get(key)
    if searcher is None:
        refusal = not_run_refusal(CODE_NOT_OWNER, 'it is not known here')
        answer = _refused_result(sub_id, message.searchers[position], refusal)
        yield from enqueue_result(node, message.sender, answer, now)
        return
    work = SubWork(
        message.sender,
        sub_id,
        message.service,
        key,
        message.caller,
        message.body,
        message.traceparent,
        now,
        now + message.remaining,
    )
    work.snapshot = message.snapshot
    work.shards = message.shards[position]
    peer.open_work[sub_id] = work
    if not _holds_snapshot(searcher, message.snapshot):
        refusal = not_run_refusal(
            CODE_SNAPSHOT_NOT_HELD, 'it does not announce it'
        )
        yield from refuse(work, refusal, node, now)
        return
    affected[key] = searcher
    yield from enqueue(node, searcher, work, now)


def _holds_snapshot(searcher: Searcher, snapshot: SnapshotId) -> bool:
    # Fields are compared one by one, because this runs per sub-request.
    for entry in searcher.announcement.snapshots:
        held = entry.snapshot
        if held.version == snapshot.version and held.layout == snapshot.layout:
            return True
    return False


def _cancel_work(
    work: SubWork,
    node: Node,
    now: float,
) -> Iterator[Command]:
    work.is_cancelled = True
    node.owner.count('owner.cancelled')
    searcher = node.owner.searchers.get(work.searcher)
    if searcher is not None and searcher.queue.remove(work):
        refusal = not_run_refusal(CODE_CANCELLED, 'the root cancelled it', -1)
        yield from refuse(work, refusal, node, now)
    yield from cancel_dispatches(work, node)


def _refused_result(sub_id: int, searcher: str, refusal: Refusal) -> SubResult:
    return SubResult(
        sub_id,
        searcher,
        refusal,
        b'',
        None,
        [],
        0,
        0,
        was_dispatched=False,
    )
