"""Selection of the control hosts that an entry host connects to."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from snipejunction.components.gateway.const import (
    CONTROL_SEARCH_STEP_SECONDS,
    LOCAL_CONTROL_WAIT_SECONDS,
)
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.helpers.rendezvous import rank

# Control hosts in other data centres to use while none in this data centre is
# healthy: two, so that the loss of one is noticed by the other.
_FALLBACK_CONTROLS: Final = 2


def update_control_search(
    table: GatewayTable,
    connected: Collection[str],
    now: float,
) -> None:
    """Record since when this host has lacked usable control hosts."""
    healthy = _healthy_controls(table, connected)
    is_found = healthy & _local_controls(table)
    if is_found or len(healthy) >= _FALLBACK_CONTROLS:
        table.control_search.since = None
    elif table.control_search.since is None:
        table.control_search.since = now


def controls_to_connect(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts to keep a stream to.

    One in the same data centre is enough while it has a leader. Otherwise two
    in other data centres are used. Until these are found, the search widens
    step by step to all known control hosts and the seeds: after a power
    failure all entry hosts search at once, and the handshakes of all of them
    would delay the election that they wait for.
    """
    healthy = _healthy_controls(table, connected)
    local = _local_controls(table)
    if healthy & local:
        return healthy & local
    if len(healthy) >= _FALLBACK_CONTROLS:
        return local.union(rank(table.name, healthy)[:_FALLBACK_CONTROLS])
    since = table.control_search.since
    elapsed = 0 if since is None else now - since
    steps = int(elapsed / CONTROL_SEARCH_STEP_SECONDS)
    candidates = rank(table.name, {*table.controls, *seeds} - local)
    candidates.sort(key=lambda name: name not in connected)
    return local.union(candidates[: 1 + _FALLBACK_CONTROLS * steps])


def controls_to_subscribe(
    table: GatewayTable,
    connected: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts to request updates from.

    Those in the same data centre are included even without a leader, because
    they still receive announcements of searchers. A new subscriber is sent
    the whole document and all searchers, so a host that just started waits
    for a local control host before it subscribes to remote ones.
    """
    healthy = _healthy_controls(table, connected)
    local = _local_controls(table)
    subscribed = local.intersection(connected)
    if healthy & local:
        return subscribed
    known_at = table.control_search.known_at
    since = now if known_at is None else known_at
    if local and now < since + LOCAL_CONTROL_WAIT_SECONDS:
        return subscribed
    return subscribed.union(rank(table.name, healthy)[:_FALLBACK_CONTROLS])


def controls_to_notify(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts to send heartbeats to.

    Hosts whose streams are about to be closed are included: otherwise they
    would keep this host in their address lists while it stops.
    """
    return controls_to_connect(table, connected, seeds, now).union(connected)


def controls_to_disconnect(
    table: GatewayTable,
    connected: Collection[str],
    seeds: Collection[str],
    now: float,
) -> set[str]:
    """Return the control hosts whose streams can be closed."""
    wanted = controls_to_connect(table, connected, seeds, now)
    return set(connected) - wanted if wanted & set(connected) else set()


def _healthy_controls(
    table: GatewayTable,
    connected: Collection[str],
) -> set[str]:
    """Return the connected control hosts that have a leader."""
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
    hosts = table.hosts_by_sender.get(name)
    return hosts is None or hosts.is_cut_off
