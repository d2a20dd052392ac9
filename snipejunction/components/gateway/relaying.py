"""Which entry host gets the parts of another data centre.

A host there merges them, so that one small answer travels in place of many,
and it has connections to its searchers open, which save a round trip.
"""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.gateway.const import (
    PENALTY_SECONDS,
    REMOTE_RELAY_OVERHEAD_SECONDS,
    RELAY_OVERHEAD_SECONDS,
)
from snipejunction.components.gateway.parts import Attempt
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.helpers.rendezvous import rank


def relays_to_connect(table: GatewayTable) -> set[str]:
    """Return the entry hosts to keep a stream to, one in a data centre."""
    if not table.is_active:
        return set()
    by_data_centre: dict[str, list[str]] = {}
    for name, record in table.active.items():
        by_data_centre.setdefault(record.data_centre, []).append(name)
    by_data_centre.pop(table.data_centre, None)
    return {rank(table.name, names)[0] for names in by_data_centre.values()}


def group_by_relay(
    attempts: Iterable[Attempt],
    table: GatewayTable,
    now: float,
) -> dict[str, list[Attempt]]:
    """Return the attempts by the host that sends them.

    Those that this host sends itself are under the empty name. A relay has
    a stream to this host and was not late a moment ago.
    """
    relays = {
        record.data_centre: record.name
        for record in table.active.values()
        if record.name in table.relays.connected_names
        and not _is_late(record.name, table, now)
    }
    relays[table.data_centre] = ''
    groups: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        place = attempt.upstream.record.data_centre
        groups.setdefault(relays.get(place, ''), []).append(attempt)
    return groups


def relay_delay(relay: str, table: GatewayTable) -> float:
    """Return what merging at a relay adds to a part, in seconds."""
    record = table.active[relay]
    if record.region == table.region:
        return RELAY_OVERHEAD_SECONDS
    return REMOTE_RELAY_OVERHEAD_SECONDS


def _is_late(name: str, table: GatewayTable, now: float) -> bool:
    late_at = table.relays.last_late_at.get(name)
    return late_at is not None and now < late_at + PENALTY_SECONDS
