"""Check for open queries before the process stops."""

from __future__ import annotations

from snipejunction.node import Node


def is_idle(node: Node) -> bool:
    """Return whether no query is open."""
    return not node.root.queries
