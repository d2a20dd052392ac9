"""Which entry hosts callers are told to use."""

from __future__ import annotations

from snipejunction.components.gateway.const import MAX_ADDRESSES
from snipejunction.components.gateway.tables import GatewayTable


def find_addresses(
    table: GatewayTable,
    data_centre: str,
    region: str,
) -> list[str]:
    """Return where a caller of a data centre connects, the nearest only."""
    found = list(table.active.values())
    near = [one for one in found if one.data_centre == data_centre]
    if not near:
        near = [one for one in found if one.region == region]
    return sorted(one.address for one in near or found)[:MAX_ADDRESSES]
