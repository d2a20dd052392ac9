"""Handling of reads that the leader confirmed for this host."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.deployment.const import MAX_PENDING_CALLS
from snipejunction.components.deployment.messages import (
    ReadConfirmed,
    ReadResult,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _handle_confirmed_read(
    message: ReadConfirmed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Answer the read once this host has applied the leader's index."""
    table = node.deployment
    if len(table.confirmed_reads) >= MAX_PENDING_CALLS:
        yield ReadResult(message.call_id, 0, None)
        return
    table.confirmed_reads[message.call_id] = message.index
    yield from answer_reads(node)


def answer_reads(node: Node) -> Iterator[Command]:
    """Answer the confirmed reads whose index has been applied."""
    table = node.deployment
    state = table.state
    for call_id, index in list(table.confirmed_reads.items()):
        if index <= state.index:
            table.confirmed_reads.pop(call_id)
            content = unpack_document(state.content)
            yield ReadResult(call_id, state.version, content)
