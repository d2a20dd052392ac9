"""Selection of the entry host addresses that a caller receives."""

from __future__ import annotations

from snipejunction.components.gateway.const import MAX_ADDRESSES
from snipejunction.components.gateway.tables import GatewayTable


def find_addresses(
    table: GatewayTable,
    data_centre: str,
    region: str,
    asked_host: str = '',
) -> list[str]:
    """Return the addresses of the entry hosts nearest to a caller.

    Hosts in the data centre of the caller are preferred, then those in its
    region, then those in regions that all routes of ``asked_host`` allow,
    then all.
    """
    entries = list(table.active.values())
    nearest = [entry for entry in entries if entry.data_centre == data_centre]
    if not nearest:
        nearest = [entry for entry in entries if entry.region == region]
    if not nearest:
        homes = table.routes.common_regions(asked_host) or frozenset()
        nearest = [entry for entry in entries if entry.region in homes]
    return sorted(entry.address for entry in nearest or entries)[:MAX_ADDRESSES]
