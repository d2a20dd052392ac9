"""Selection of relays: entry hosts that get parts in other data centres.

A relay merges the parts of its data centre, so that one small response is
sent between data centres instead of many. Its open connections to the
searchers save a round trip.
"""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.gateway.const import (
    PENALTY_SECONDS,
    RELAY_OVERHEAD_SECONDS,
    REMOTE_RELAY_OVERHEAD_SECONDS,
)
from snipejunction.components.gateway.parts import Attempt
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.helpers.rendezvous import choose, rank


def relays_to_connect(table: GatewayTable) -> set[str]:
    """Return the entry hosts to keep a stream to, one per data centre."""
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
    """Group attempts by the relay that sends them.

    Attempts that this host sends itself are under the empty name. Only hosts
    that have a stream to this one and were not late recently are relays.
    """
    candidates: dict[str, list[str]] = {}
    for name in table.active.keys() & table.relays.connected_names:
        if not _was_late_recently(name, table, now):
            data_centre = table.active[name].data_centre
            candidates.setdefault(data_centre, []).append(name)
    relays = {
        data_centre: choose(table.name, names) or ''
        for data_centre, names in candidates.items()
    }
    relays[table.data_centre] = ''
    groups: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        data_centre = attempt.upstream.record.data_centre
        groups.setdefault(relays.get(data_centre, ''), []).append(attempt)
    return groups


def relay_delay(relay: str, table: GatewayTable) -> float:
    """Return the latency that a relay adds to a part, in seconds."""
    record = table.active[relay]
    if record.region == table.region:
        return RELAY_OVERHEAD_SECONDS
    return REMOTE_RELAY_OVERHEAD_SECONDS


def _was_late_recently(name: str, table: GatewayTable, now: float) -> bool:
    late_at = table.relays.last_late_at.get(name)
    return late_at is not None and now < late_at + PENALTY_SECONDS
