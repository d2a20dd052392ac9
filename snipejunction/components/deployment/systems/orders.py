"""Orders and reads of operators on their way through the log."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, LogEvent, SendPeer
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.proposals import (
    confirm,
    propose,
)
from snipejunction.components.deployment.const import (
    EVENT_ORDER_PASSED_ON,
    EVENT_ORDER_UNPLACED,
    MAX_OPEN_ORDERS,
)
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderAbandoned,
    OrderAnswered,
    OrderAsked,
    OrderForwarded,
    OrderSettled,
    ReadAnswered,
    ReadAsked,
    ReadForwarded,
)
from snipejunction.components.deployment.packing import pack_document
from snipejunction.components.deployment.tables import PendingOrder
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle
from snipejunction.helpers.wire import encode
from snipejunction.node import Node


@handle.register
def _take_order(
    message: OrderAsked,
    node: Node,
    now: float,
) -> Iterator[Command]:
    entry = _packed(message.entry)
    replica = _replica(node)
    if _is_held(entry, node):
        # Committed state already holds this version or a higher one.
        yield OrderAnswered(message.call_id, True)
    elif _propose(replica, encode(entry), message.call_id, '', node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))
    elif _other_leader(replica, node):
        forwarded = OrderForwarded(message.call_id, encode(entry))
        yield from _pass_on(forwarded, replica)
    else:
        yield LogEvent(EVENT_ORDER_UNPLACED, call_id=message.call_id)
        yield OrderAnswered(message.call_id, False)


@handle.register
def _take_forwarded(
    message: OrderForwarded,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None:
        return
    if _propose(
        replica,
        message.payload,
        message.call_id,
        message.sender,
        node,
    ):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))


@handle.register
def _take_settled(
    message: OrderSettled,
    node: Node,
    now: float,
) -> Iterator[Command]:
    yield OrderAnswered(message.call_id, True)


@handle.register
def _take_read(
    message: ReadAsked,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = _replica(node)
    if _confirm(replica, message.call_id, '', node):
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))
    elif _other_leader(replica, node):
        yield from _pass_on(ReadForwarded(message.call_id), replica)
    else:
        yield LogEvent(EVENT_ORDER_UNPLACED, call_id=message.call_id)
        yield ReadAnswered(message.call_id, 0, None)


@handle.register
def _take_forwarded_read(
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
def _forget(
    message: OrderAbandoned,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # A committed entry stays; only nobody is told.
    table = node.deployment
    for index, order in list(table.orders.items()):
        if order.call_id == message.call_id and not order.origin:
            table.orders.pop(index)
    for token, read in list(table.reads.items()):
        if read == (message.call_id, ''):
            table.reads.pop(token)
    table.settled_reads.pop(message.call_id, None)
    return iter(())


def _other_leader(replica: Replica, node: Node) -> bool:
    """Return whether another host is known to lead."""
    return replica.leader_name not in {None, node.name}


def _pass_on(
    message: OrderForwarded | ReadForwarded,
    replica: Replica,
) -> Iterator[Command]:
    leader = str(replica.leader_name)
    yield LogEvent(
        EVENT_ORDER_PASSED_ON,
        call_id=message.call_id,
        leader=leader,
    )
    yield SendPeer(leader, message)


def _packed(entry: DocumentEntry | DrainEntry) -> DocumentEntry | DrainEntry:
    if not isinstance(entry, DocumentEntry):
        return entry
    return DocumentEntry(entry.version, pack_document(entry.content))


def _is_held(entry: DocumentEntry | DrainEntry, node: Node) -> bool:
    if not isinstance(entry, DocumentEntry):
        return False
    return entry.version <= node.deployment.state.version


def _replica(node: Node) -> Replica:
    return node.consensus.replicas[GROUP_DEPLOYMENT]


def _propose(
    replica: Replica,
    payload: bytes,
    call_id: int,
    origin: str,
    node: Node,
) -> bool:
    if len(node.deployment.orders) >= MAX_OPEN_ORDERS:
        return False
    proposal = propose(replica, payload)
    if proposal is None:
        return False
    order = PendingOrder(call_id, origin, proposal.term)
    node.deployment.orders[proposal.index] = order
    return True


def _confirm(replica: Replica, call_id: int, origin: str, node: Node) -> bool:
    if not replica.is_ready or len(node.deployment.reads) >= MAX_OPEN_ORDERS:
        return False
    return confirm(replica, node.deployment.add_read(call_id, origin))
