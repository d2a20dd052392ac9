"""Selection of the entry hosts that a caller is to use."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from snipejunction.commands import Command
from snipejunction.components.control.const import (
    ADDRESS_TTL_SECONDS,
    UNLEASED_ADDRESS_TTL_SECONDS,
)
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.control.view import HostEntry
from snipejunction.const import HOST_ACTIVE
from snipejunction.handling import add_listener
from snipejunction.helpers import rendezvous
from snipejunction.helpers.records import Record
from snipejunction.messages import PeerConnected, PeerLost
from snipejunction.node import Node

_MAX_ADDRESSES: Final = 16


class AddressAnswer(Record):
    """Hosts in the order in which a caller is to try them.

    ``keep_seconds`` is how long the caller may cache the answer.
    """

    __slots__ = ('hosts', 'keep_seconds')

    def __init__(self, hosts: list[HostEntry], keep_seconds: float) -> None:
        """Create an answer."""
        self.hosts = hosts
        self.keep_seconds = keep_seconds

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Return the IP addresses and HTTP ports."""
        return [(entry.ip, entry.http_port) for entry in self.hosts]


def rank_addresses(
    node: Node,
    caller: str,
    region: str,
    now: float,
) -> AddressAnswer:
    """Return the hosts for a caller, those of its region first.

    An empty ``region`` stands for the region of this host. Callers are
    spread by rendezvous hashing. The other hosts of the view are assumed to
    hold leases; this host is included only if it holds one. Hosts without a
    connection to this one come last. Hosts of a data centre that is out of
    service are included only if there are no others.
    """
    entries = _candidate_hosts(node, now)
    preferred_region = region or node.identity.region
    ranked = [
        entries[name] for name in rendezvous.rank(f'entry {caller}', entries)
    ]
    ranked.sort(key=lambda entry: _rank_key(entry, preferred_region, node))
    hosts = ranked[:_MAX_ADDRESSES]
    is_fresh = node.lease.is_held(now)
    keep_seconds = (
        ADDRESS_TTL_SECONDS if is_fresh else UNLEASED_ADDRESS_TTL_SECONDS
    )
    if any(entry.name == node.name for entry in hosts):
        node.lifecycle.extend_serving(now + keep_seconds)
    return AddressAnswer(hosts, keep_seconds)


def _candidate_hosts(node: Node, now: float) -> dict[str, HostEntry]:
    may_serve = node.lease.is_held(now)
    if node.lifecycle.phase is not Phase.SERVING:
        may_serve = False
    entries = [
        entry
        for entry in node.view.current.hosts.values()
        if entry.state == HOST_ACTIVE and (may_serve or entry.name != node.name)
    ]
    in_service = _exclude_out_of_service(entries, node)
    return {entry.name: entry for entry in in_service or entries}


def _exclude_out_of_service(
    entries: Iterable[HostEntry], node: Node
) -> list[HostEntry]:
    return [
        entry
        for entry in entries
        if not node.settings.is_out(entry.data_centre)
    ]


def _rank_key(
    entry: HostEntry, preferred_region: str, node: Node
) -> tuple[bool, bool]:
    is_lost = entry.name in node.control.lost_peers
    return is_lost, entry.region != preferred_region


def _on_peer_lost(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.control.lost_peers.add(notice.host)
    return iter(())


def _on_peer_connected(
    notice: PeerConnected,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.control.lost_peers.discard(notice.host)
    return iter(())


add_listener(PeerLost, _on_peer_lost)
add_listener(PeerConnected, _on_peer_connected)
