"""Which control hosts an entry host keeps a stream to."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

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
    controls = table.controls
    sound = {
        name
        for name in connected
        if name in controls and not _is_cut_off(name, table)
    }
    near = {name for name in sound if controls[name] == table.data_centre}
    if near:
        return near
    if len(sound) >= _STAND_INS:
        nearby = {
            name
            for name, data_centre in controls.items()
            if data_centre == table.data_centre
        }
        return nearby.union(rank(table.name, sound)[:_STAND_INS])
    return set(controls) | set(seeds)


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


def _is_cut_off(name: str, table: GatewayTable) -> bool:
    fed = table.hosts_by_sender.get(name)
    return fed is None or fed.is_cut_off
