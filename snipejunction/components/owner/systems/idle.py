"""Check for open work of the owner."""

from __future__ import annotations

from snipejunction.node import Node


def is_idle(node: Node) -> bool:
    """Return whether this host has no open work, result or hand-over."""
    owner = node.owner
    if owner.dispatches or owner.lost or owner.pending_announcements:
        return False
    if owner.hand_overs.outgoing:
        return False
    if any(len(searcher.queue) for searcher in owner.searchers.values()):
        return False
    return not any(
        peer.open_work or peer.outbox for peer in owner.peers.values()
    )
