"""What this host has let go of."""

from __future__ import annotations

from snipejunction.node import Node


def released_revision(node: Node) -> int:
    """Return the newest view revision that this host conforms to.

    Nothing that was begun for a searcher of an earlier view, and that the
    view at this revision gives to another host, can still reach it.
    """
    lost_revisions = [
        searcher.lost_at_revision for searcher in node.owner.lost.values()
    ]
    return min([node.view.revision, *[lost - 1 for lost in lost_revisions]])
