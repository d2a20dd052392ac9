"""Handling of orders and reads of operators through the log."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch

from snipejunction.commands import Command, Deliver, LogEvent, SendPeer
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.proposals import (
    confirm,
    propose,
)
from snipejunction.components.deployment.const import (
    EVENT_ORDER_FORWARDED,
    EVENT_ORDER_REFUSED,
    MAX_PENDING_CALLS,
    MAX_PENDING_DEPARTURES,
)
from snipejunction.components.deployment.messages import (
    CallAbandoned,
    DocumentEntry,
    OrderCommitted,
    OrderEntry,
    OrderForwarded,
    OrderRequest,
    OrderResult,
    ReadForwarded,
    ReadRequest,
    ReadResult,
)
from snipejunction.components.deployment.packing import pack_document
from snipejunction.components.deployment.tables import PendingOrder
from snipejunction.components.registration.const import READY
from snipejunction.components.registration.messages import DepartureEntry
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle
from snipejunction.helpers.wire import decode, encode
from snipejunction.node import Node


@handle.register
def _handle_order(
    message: OrderRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    entry = _compress(message.entry)
    replica = _deployment_replica(node)
    order = PendingOrder(message.call_id, '', replica.term)
    payload = encode(entry)
    if _is_already_applied(entry, node):
        yield OrderResult(message.call_id, True)
    elif _propose(replica, payload, order, _pending_limit(entry), node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))
    elif _has_other_leader(replica, node):
        forwarded = OrderForwarded(message.call_id, payload)
        yield from _forward(forwarded, replica)
    else:
        yield LogEvent(EVENT_ORDER_REFUSED, call_id=message.call_id)
        yield OrderResult(message.call_id, False)


@handle.register
def _handle_forwarded_order(
    message: OrderForwarded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None:
        return
    order = PendingOrder(message.call_id, message.sender, replica.term)
    limit = _pending_limit(decode(message.payload))
    if _propose(replica, message.payload, order, limit, node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))


@handle.register
def _handle_committed(
    message: OrderCommitted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    is_accepted = not message.conflict and not message.overtaken_by
    yield OrderResult(
        message.call_id, is_accepted, message.conflict, message.overtaken_by
    )


@handle.register
def _handle_read(
    message: ReadRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = _deployment_replica(node)
    if _confirm(replica, message.call_id, '', node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))
    elif _has_other_leader(replica, node):
        yield from _forward(ReadForwarded(message.call_id), replica)
    else:
        yield LogEvent(EVENT_ORDER_REFUSED, call_id=message.call_id)
        yield ReadResult(message.call_id, 0, None)


@handle.register
def _handle_forwarded_read(
    message: ReadForwarded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None:
        return
    if _confirm(replica, message.call_id, message.sender, node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))


@handle.register
def _handle_abandoned(
    message: CallAbandoned,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # The entry may still be committed; only the answer is dropped.
    table = node.deployment
    for index, order in list(table.orders.items()):
        if order.call_id == message.call_id and not order.origin:
            table.orders.pop(index)
    for token, read in list(table.reads.items()):
        if read == (message.call_id, ''):
            table.reads.pop(token)
    table.confirmed_reads.pop(message.call_id, None)
    return iter(())


def _has_other_leader(replica: Replica, node: Node) -> bool:
    """Return whether another host is known to be the leader."""
    return replica.leader_name not in {None, node.name}


def _forward(
    message: OrderForwarded | ReadForwarded,
    replica: Replica,
) -> Iterator[Command]:
    leader = str(replica.leader_name)
    yield LogEvent(
        EVENT_ORDER_FORWARDED,
        call_id=message.call_id,
        leader=leader,
    )
    yield SendPeer(leader, message)


def _compress(entry: OrderEntry) -> OrderEntry:
    if not isinstance(entry, DocumentEntry):
        return entry
    return DocumentEntry(entry.version, pack_document(entry.content))


@singledispatch
def _is_already_applied(entry: object, node: Node) -> bool:
    return False


@_is_already_applied.register
def _is_document_applied(entry: DocumentEntry, node: Node) -> bool:
    # The committed document has this version or a higher one.
    return entry.version <= node.deployment.state.version


@_is_already_applied.register
def _is_departure_applied(entry: DepartureEntry, node: Node) -> bool:
    departures = node.deployment.state.departures
    return departures.state_of(entry.searcher) != READY


def _deployment_replica(node: Node) -> Replica:
    return node.consensus.replicas[GROUP_DEPLOYMENT]


def _pending_limit(entry: object) -> int:
    # Searchers that leave together must not keep operators out.
    if isinstance(entry, DepartureEntry):
        return MAX_PENDING_DEPARTURES
    return MAX_PENDING_CALLS


def _propose(
    replica: Replica,
    payload: bytes,
    order: PendingOrder,
    limit: int,
    node: Node,
) -> bool:
    """Propose an entry unless ``limit`` orders wait for the log."""
    if len(node.deployment.orders) >= limit:
        return False
    proposal = propose(replica, payload)
    if proposal is None:
        return False
    node.deployment.orders[proposal.index] = order
    return True


def _confirm(replica: Replica, call_id: int, origin: str, node: Node) -> bool:
    if not replica.is_ready or len(node.deployment.reads) >= MAX_PENDING_CALLS:
        return False
    return confirm(replica, node.deployment.add_read(call_id, origin))
