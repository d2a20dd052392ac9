"""Which hosts callers and searchers are told to use."""

from __future__ import annotations

from collections.abc import Collection

from snipejunction.components.deployment.const import (
    MAX_ADDRESSES,
    STALE_ENTRY_SECONDS,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.node import Node


def find_addresses(
    node: Node,
    data_centre: str,
    region: str,
    now: float,
) -> list[str]:
    """Return where a caller of a data centre connects, the nearest only."""
    found = [
        entry.presence
        for entry in node.deployment.entries.values()
        if entry.presence.takes_work
        and now <= entry.heard_at + STALE_ENTRY_SECONDS
    ]
    near = [one for one in found if one.data_centre == data_centre]
    if not near:
        near = [one for one in found if one.region == region]
    return sorted(one.address for one in near or found)[:MAX_ADDRESSES]


def control_near(
    node: Node,
    data_centre: str,
    connected: Collection[str],
) -> str | None:
    """Return the IP number of a control host in a data centre.

    None if none is known there, or none of ``connected`` names it.
    """
    if data_centre == node.identity.data_centre:
        return node.identity.ip
    found = (
        member.ip
        for member in node.consensus.members_of(GROUP_DEPLOYMENT)
        if member.data_centre == data_centre and member.name in connected
    )
    return next(found, None)
