"""The state machine of the deployment group."""

from __future__ import annotations

from collections.abc import Iterator

import msgpack

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.machine import register_machine
from snipejunction.components.deployment.const import (
    EVENT_DOCUMENT_ACCEPTED,
    EVENT_DRAIN_ACCEPTED,
)
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderCommitted,
    OrderResult,
    ReadConfirmed,
    ReadResult,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.components.deployment.systems.host_updates import (
    send_deployment_to_all,
)
from snipejunction.components.deployment.systems.reading import answer_reads
from snipejunction.components.deployment.tables import DeploymentState
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.helpers.wire import decode
from snipejunction.node import Node


class DeploymentMachine:
    """Applies committed entries and answers the pending calls."""

    __slots__ = ('_state',)

    def __init__(self) -> None:
        """Create a machine in the initial state."""
        self._state = DeploymentState()

    def apply(
        self,
        node: Node,
        index: int,
        term: int,
        payload: bytes,
        now: float,
    ) -> Iterator[Command]:
        """Apply an entry, send it to the entry hosts, then answer calls."""
        self._state.index = index
        node.deployment.state = self._state
        yield from _apply_entry(decode(payload), self._state)
        yield from send_deployment_to_all(node, now)
        yield from answer_reads(node)
        order = node.deployment.orders.pop(index, None)
        if order is None or order.term != term:
            # The entry at this index is from another leader, so the outcome
            # of the order is unknown here.
            return
        if order.origin:
            yield SendPeer(order.origin, OrderCommitted(order.call_id))
        else:
            yield OrderResult(order.call_id, True)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        state = self._state
        fields = [state.index, state.version, state.content, state.drained]
        return bytes(msgpack.packb(fields))

    def restore(
        self,
        node: Node,
        state: bytes,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        """Replace the state and send it to the entry hosts."""
        self._state = DeploymentState()
        if state:
            fields = msgpack.unpackb(state)
            self._state.index = fields[0]
            self._state.version = fields[1]
            self._state.content = fields[2]
            self._state.drained = fields[3]
        node.deployment.state = self._state
        yield from send_deployment_to_all(node, now)
        yield from answer_reads(node)

    def on_confirmed(
        self,
        node: Node,
        token: int,
        now: float,
    ) -> Iterator[Command]:
        """Answer a read once a quorum has confirmed the leader."""
        read = node.deployment.reads.pop(token, None)
        if read is None:
            return
        call_id, origin = read
        state = node.deployment.state
        if origin:
            yield SendPeer(origin, ReadConfirmed(call_id, state.index))
        else:
            content = unpack_document(state.content)
            yield ReadResult(call_id, state.version, content)

    def on_leadership(
        self,
        node: Node,
        is_leader: bool,
        now: float,
    ) -> Iterator[Command]:
        """Drop all pending calls; operators send them again."""
        node.deployment.orders.clear()
        node.deployment.reads.clear()
        return iter(())


def _apply_entry(entry: object, state: DeploymentState) -> Iterator[Command]:
    if isinstance(entry, DocumentEntry):
        if entry.version > state.version:
            state.version = entry.version
            state.content = entry.content
            yield LogEvent(
                EVENT_DOCUMENT_ACCEPTED,
                version=entry.version,
                index=state.index,
            )
    elif isinstance(entry, DrainEntry):
        state.drained[entry.data_centre] = entry.is_out
        yield LogEvent(
            EVENT_DRAIN_ACCEPTED,
            data_centre=entry.data_centre,
            is_out=entry.is_out,
            index=state.index,
        )


register_machine(GROUP_DEPLOYMENT, DeploymentMachine)
