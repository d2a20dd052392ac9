"""Selection of the control host for a searcher."""

from __future__ import annotations

from collections.abc import Collection

from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.node import Node


def find_control_ip(
    node: Node,
    data_centre: str,
    connected: Collection[str],
) -> str | None:
    """Return the IP address of a control host in a data centre.

    Returns None if no control host there is known and in ``connected``.
    """
    if data_centre == node.identity.data_centre:
        return node.identity.ip
    addresses = (
        member.ip
        for member in node.consensus.members_of(GROUP_DEPLOYMENT)
        if member.data_centre == data_centre and member.name in connected
    )
    return next(addresses, None)
