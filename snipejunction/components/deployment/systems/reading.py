"""Reads of operators that a leader confirmed for another host."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.deployment.const import MAX_OPEN_ORDERS
from snipejunction.components.deployment.messages import (
    ReadAnswered,
    ReadSettled,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _take_settled_read(
    message: ReadSettled,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Answer once this host has applied what the leader had applied."""
    table = node.deployment
    if len(table.settled_reads) >= MAX_OPEN_ORDERS:
        yield ReadAnswered(message.call_id, 0, None)
        return
    table.settled_reads[message.call_id] = message.index
    yield from answer_reads(node)


def answer_reads(node: Node) -> Iterator[Command]:
    """Answer the reads whose index is applied here."""
    table = node.deployment
    state = table.state
    for call_id, index in list(table.settled_reads.items()):
        if index <= state.index:
            table.settled_reads.pop(call_id)
            content = unpack_document(state.content)
            yield ReadAnswered(call_id, state.version, content)
