"""Open work that delays a planned stop."""

from __future__ import annotations

from snipejunction.components.consensus.systems import idle as consensus_idle
from snipejunction.components.journal.systems import idle as journal_idle
from snipejunction.components.owner.systems import idle as owner_idle
from snipejunction.components.root.systems import idle as root_idle
from snipejunction.node import Node


def is_idle(node: Node) -> bool:
    """Return whether no work is open that a caller or host waits for."""
    if node.control.open_changes:
        return False
    if not root_idle.is_idle(node) or not journal_idle.is_idle(node):
        return False
    return owner_idle.is_idle(node)


def is_log_idle(node: Node) -> bool:
    """Return whether no log needs a leader transfer or has open writes."""
    return consensus_idle.is_idle(node)
