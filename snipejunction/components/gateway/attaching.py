"""Which control hosts an entry host keeps a stream to."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from snipejunction.components.gateway.const import NEARBY_SECONDS
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.helpers.rendezvous import rank

# Control hosts elsewhere that stand in for one nearby: two, so that the loss
# of one more is noticed by the other.
_STAND_INS: Final = 2


def wanted_controls(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts to announce this host to.

    One in the own data centre suffices while it hears a leader. Otherwise
    two elsewhere do; until they are found, all that are known are tried.
    """
    sound = _sound_controls(table, connected)
    nearby = _nearby_controls(table)
    if sound & nearby:
        return sound & nearby
    if len(sound) >= _STAND_INS:
        return nearby.union(rank(table.name, sound)[:_STAND_INS])
    return set(table.controls) | set(seeds)


def feeding_controls(
    table: GatewayTable,
    connected: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts that are asked for news.

    Those nearby are, even if they are cut off: they hear searchers. Whole
    documents and all searchers are sent to a host that asks, so one that
    just started waits for the control host nearby before it asks others.
    """
    sound = _sound_controls(table, connected)
    nearby = _nearby_controls(table)
    feeding = nearby.intersection(connected)
    if sound & nearby:
        return feeding
    since = now if table.controls_at is None else table.controls_at
    if nearby and now < since + NEARBY_SECONDS:
        return feeding
    return feeding.union(rank(table.name, sound)[:_STAND_INS])


def told_controls(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts that hear how this host is.

    A stream that is about to be closed belongs to them: its other end would
    go on naming this host while it stops.
    """
    return wanted_controls(table, connected, seeds).union(connected)


def needless_controls(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts whose streams can be closed."""
    wanted = wanted_controls(table, connected, seeds)
    return set(connected) - wanted if wanted & set(connected) else set()


def _sound_controls(
    table: GatewayTable,
    connected: Collection[str],
) -> set[str]:
    """Return the control hosts with a stream that hear a leader."""
    known = table.controls
    return {
        name
        for name in connected
        if name in known and not _is_cut_off(name, table)
    }


def _nearby_controls(table: GatewayTable) -> set[str]:
    return {
        name
        for name, data_centre in table.controls.items()
        if data_centre == table.data_centre
    }


def _is_cut_off(name: str, table: GatewayTable) -> bool:
    fed = table.hosts_by_sender.get(name)
    return fed is None or fed.is_cut_off
