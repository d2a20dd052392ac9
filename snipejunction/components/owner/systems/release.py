"""The view revision up to which this host has released searchers."""

from __future__ import annotations

from snipejunction.node import Node


def released_revision(node: Node) -> int:
    """Return the newest view revision that this host conforms to.

    This host has no open request or connection to any searcher that it owned
    in an earlier view and that this revision assigns to another host.
    """
    lost_revisions = [
        searcher.lost_at_revision for searcher in node.owner.lost.values()
    ]
    return min([node.view.revision, *[lost - 1 for lost in lost_revisions]])
