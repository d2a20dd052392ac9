"""Distribution of the limits that searchers state to entry hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.registration.messages import LimitUpdate
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.timers import NEVER


def send_limits(name: str, node: Node) -> Iterator[Command]:
    """Send all limits to an entry host that subscribed."""
    limits = list(node.registration.limits.values())
    if limits:
        yield SendPeer(name, LimitUpdate(limits))


@handle.register
def _handle_limits(
    message: LimitUpdate, node: Node, now: float
) -> Iterator[Command]:
    """Pass limits on; those of an entry host to other control hosts, too."""
    table = node.registration
    for record in message.limits:
        if record.rate == NEVER:
            table.limits.pop(record.searcher_id, None)
        elif record.searcher_id in table.searchers:
            table.limits[record.searcher_id] = record
    receivers = set(node.deployment.subscribers)
    if message.sender in node.deployment.entries:
        receivers.update(
            node.consensus.other_names(GROUP_DEPLOYMENT, node.name)
        )
    receivers.discard(message.sender)
    for name in sorted(receivers):
        yield SendPeer(name, LimitUpdate(message.limits))
