"""Check for open work of the owner."""

from __future__ import annotations

from snipejunction.node import Node


def is_idle(node: Node) -> bool:
    """Return whether this host has no open work, result or hand-over."""
    owner = node.owner
    if owner.dispatches or owner.lost or owner.pending:
        return False
    if owner.learned.outgoing:
        return False
    if any(len(searcher.queue) for searcher in owner.searchers.values()):
        return False
    return not any(peer.active or peer.outbox for peer in owner.peers.values())
