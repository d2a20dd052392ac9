"""Which control hosts an entry host keeps a stream to."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from snipejunction.components.gateway.const import LOCAL_CONTROL_WAIT_SECONDS
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.helpers.rendezvous import rank

# Control hosts elsewhere that stand in for one nearby: two, so that the loss
# of one more is noticed by the other.
_FALLBACK_CONTROLS: Final = 2


def controls_to_connect(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts to announce this host to.

    One in the own data centre suffices while it hears a leader. Otherwise
    two elsewhere do; until they are found, all that are known are tried.
    """
    sound = _healthy_controls(table, connected)
    nearby = _local_controls(table)
    if sound & nearby:
        return sound & nearby
    if len(sound) >= _FALLBACK_CONTROLS:
        return nearby.union(rank(table.name, sound)[:_FALLBACK_CONTROLS])
    return set(table.controls) | set(seeds)


def controls_to_subscribe(
    table: GatewayTable,
    connected: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts that are asked for news.

    Those nearby are, even if they are cut off: they hear searchers. Whole
    documents and all searchers are sent to a host that asks, so one that
    just started waits for the control host nearby before it asks others.
    """
    sound = _healthy_controls(table, connected)
    nearby = _local_controls(table)
    feeding = nearby.intersection(connected)
    if sound & nearby:
        return feeding
    since = now if table.controls_known_at is None else table.controls_known_at
    if nearby and now < since + LOCAL_CONTROL_WAIT_SECONDS:
        return feeding
    return feeding.union(rank(table.name, sound)[:_FALLBACK_CONTROLS])


def controls_to_notify(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts that hear how this host is.

    A stream that is about to be closed belongs to them: its other end would
    go on naming this host while it stops.
    """
    return controls_to_connect(table, connected, seeds).union(connected)


def controls_to_disconnect(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
) -> set[str]:
    """Return the control hosts whose streams can be closed."""
    wanted = controls_to_connect(table, connected, seeds)
    return set(connected) - wanted if wanted & set(connected) else set()


def _healthy_controls(
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


def _local_controls(table: GatewayTable) -> set[str]:
    return {
        name
        for name, data_centre in table.controls.items()
        if data_centre == table.data_centre
    }


def _is_cut_off(name: str, table: GatewayTable) -> bool:
    fed = table.hosts_by_sender.get(name)
    return fed is None or fed.is_cut_off
