"""Hand-overs that come from other owners."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.owner.peer_messages import (
    HandOver,
    HandOverTaken,
)
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.owner.systems.adopting import adopt
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _take_hand_over(
    message: HandOver,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # A host that no view names any more may know what no longer holds.
    views = node.view.unsettled
    if not any(message.sender in view.hosts for view in views):
        return
    for learned in message.entries:
        facts = learned.announcement
        key = searcher_key(facts.service, facts.searcher)
        node.owner.learned.store(key, learned, now)
        yield from adopt(node, learned, now)
    yield SendPeer(message.sender, HandOverTaken(message.number))
