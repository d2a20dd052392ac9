"""Selection of the host that coordinates a caller's limit at a service."""

from __future__ import annotations

from snipejunction.components.control.view import HostEntry, View, ViewTable
from snipejunction.const import HOST_ACTIVE
from snipejunction.helpers import rendezvous


def coordinator_in(view: View, caller: str, service: str) -> str | None:
    """Return the coordinator in a view, None if no host is active.

    If possible, it is not the primary entry host of the caller in any
    region. The loss of one host then affects either the share that the
    caller uses or its coordinator, but not both.
    """
    active = [host for host in view.hosts.values() if host.state == HOST_ACTIVE]
    names = {host.name for host in active}
    others = names - _primary_entry_hosts(active, caller)
    return rendezvous.choose(f'limit {caller} {service}', others or names)


def is_only_coordinator(
    views: ViewTable,
    caller: str,
    service: str,
    name: str,
    incarnation: str,
) -> bool:
    """Return whether no other host can still coordinate the limit."""
    return all(
        coordinator_in(view, caller, service) == name
        and view.hosts[name].incarnation == incarnation
        for view in views.views_since_settled
    )


def _primary_entry_hosts(active: list[HostEntry], caller: str) -> set[str]:
    """Return the first host of the caller's address list in each region."""
    by_region: dict[str, list[str]] = {}
    for host in active:
        by_region.setdefault(host.region, []).append(host.name)
    # Address lists are ranked by the same key.
    firsts = [
        rendezvous.choose(f'entry {caller}', names)
        for names in by_region.values()
    ]
    return {name for name in firsts if name is not None}
