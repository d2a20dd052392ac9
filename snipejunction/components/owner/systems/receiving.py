"""Handling of hand-overs from other hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.owner.peer_messages import (
    HandOver,
    HandOverAcknowledged,
)
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.owner.systems.adopting import (
    apply_hand_over_entry,
)
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _handle_hand_over(
    message: HandOver,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # The state of a host that is no longer in any view may be outdated.
    views = node.view.views_since_settled
    if not any(message.sender in view.hosts for view in views):
        return
    for learned in message.entries:
        announcement = learned.announcement
        key = searcher_key(announcement.service, announcement.searcher)
        node.owner.hand_overs.store(key, learned, now)
        yield from apply_hand_over_entry(node, learned, now)
    yield SendPeer(message.sender, HandOverAcknowledged(message.number))
