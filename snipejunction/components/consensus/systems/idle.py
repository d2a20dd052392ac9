"""Idle check of the consensus component for a planned stop."""

from __future__ import annotations

from snipejunction.node import Node


def is_idle(node: Node) -> bool:
    """Return whether leadership is transferred and all writes are synced.

    Leadership of a group with no other voter cannot be transferred.
    """
    for replica in node.consensus.replicas.values():
        others = replica.membership.current.voter_ids - {replica.voter_id}
        if others and replica.is_leader:
            return False
        if not replica.writer.is_idle:
            return False
    return True
