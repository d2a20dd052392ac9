"""Subscriptions of a root to the routes of services."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.directory.const import (
    INITIAL_RENEW_SECONDS,
    RENEW_SECONDS,
    REORDER_WAIT_SECONDS,
    RETAINED_ENTRY_SECONDS,
    SUBSCRIPTION_IDLE_SECONDS,
)
from snipejunction.components.directory.messages import (
    RouteDelta,
    RouteEntry,
    RoutesChanged,
    SubscribeRoutes,
)
from snipejunction.components.directory.reordering import (
    PartialTables,
    ReorderBuffer,
)
from snipejunction.components.directory.subscription import Subscription
from snipejunction.components.directory.systems.finding import find_registrars
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import PeerLost, ViewChanged
from snipejunction.node import Node


def subscribe_to_routes(
    node: Node, service: str, now: float
) -> Iterator[Command]:
    """Subscribe to the routes of a service or keep the subscription.

    ``RoutesChanged`` is delivered when the routes change.
    """
    subscription = node.directory.subscriptions.get(service)
    if subscription is None:
        subscription = Subscription(service, now)
        node.directory.subscriptions[service] = subscription
        yield from _renew(subscription, node, now)
    subscription.last_used_at = now


@handle.register
def _handle_delta(
    message: RouteDelta,
    node: Node,
    now: float,
) -> Iterator[Command]:
    subscription = node.directory.subscriptions.get(message.service)
    if subscription is None or subscription.registrar is None:
        return
    if not _is_from_registrar(subscription, message, node):
        return
    subscription.has_reply = True
    known = node.routing.version(message.service)
    if message.base:
        if subscription.has_table and message.version <= known:
            return
        subscription.out_of_order.put(message.base, message)
        is_changed = False
    else:
        is_changed = _add_table_part(subscription, message, node, now)
    if _apply_buffered_deltas(subscription, node) or is_changed:
        yield Deliver(RoutesChanged(message.service))
    elif message.base:
        # The preceding delta may only be late.
        due = min(subscription.renew_at, now + REORDER_WAIT_SECONDS)
        subscription.renew_at = due


def _add_table_part(
    subscription: Subscription,
    message: RouteDelta,
    node: Node,
    now: float,
) -> bool:
    """Add a part of a full table; return whether it is complete."""
    entries = subscription.layouts.restore_layouts(
        message.entries, message.layouts
    )
    table = subscription.partial_tables.add(
        message.version,
        message.part,
        message.parts,
        entries,
    )
    if table is None:
        return False
    _replace_table(subscription, message, table, node, now)
    return True


def _apply_buffered_deltas(subscription: Subscription, node: Node) -> bool:
    """Apply buffered deltas that are next; return whether there were any."""
    if not subscription.has_table:
        return False
    service = subscription.service
    known = node.routing.version(service)
    next_delta = subscription.out_of_order.pop(known)
    is_changed = next_delta is not None
    while next_delta is not None:
        _apply_delta(subscription, next_delta, node)
        next_delta = subscription.out_of_order.pop(
            node.routing.version(service)
        )
    return is_changed


@on_tick
def renew_subscriptions(node: Node, now: float) -> Iterator[Command]:
    """Renew subscriptions, end idle ones and remove expired entries."""
    subscriptions = node.directory.subscriptions
    for service, subscription in list(subscriptions.items()):
        if now - subscription.last_used_at >= SUBSCRIPTION_IDLE_SECONDS:
            subscriptions.pop(service)
            node.routing.replace(service, 0, [])
            continue
        if now >= subscription.renew_at:
            yield from _renew(subscription, node, now)
        if _remove_expired_entries(subscription, node, now):
            yield Deliver(RoutesChanged(service))


def _handle_view_changed(
    notice: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for subscription in node.directory.subscriptions.values():
        registrars = find_registrars(node, subscription.service)
        if subscription.registrar not in registrars:
            yield from _switch_registrar(subscription, node, now)


def _handle_peer_lost(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for subscription in node.directory.subscriptions.values():
        registrar = subscription.registrar
        if registrar is not None and registrar[0] == notice.host:
            yield from _switch_registrar(subscription, node, now)


def _switch_registrar(
    subscription: Subscription,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Subscribe to the other registrar, or to the primary one at first.

    The routing table keeps its entries until a new table replaces them.
    """
    registrars = find_registrars(node, subscription.service)
    others = [
        registrar
        for registrar in registrars
        if registrar != subscription.registrar
    ]
    lost = node.control.lost_peers
    reachable = [registrar for registrar in others if registrar[0] not in lost]
    new_registrar = next(iter(reachable or others), None)
    if new_registrar is not None or subscription.registrar not in registrars:
        subscription.registrar = new_registrar
        subscription.has_table = False
        subscription.partial_tables = PartialTables()
        subscription.out_of_order = ReorderBuffer()
    yield from _send_subscription(subscription, node, now)


def _is_from_registrar(
    subscription: Subscription,
    message: RouteDelta,
    node: Node,
) -> bool:
    """Return whether a message is from the subscribed registrar.

    Before the first table, a part of a table from the other registrar
    switches the subscription to that one.
    """
    if subscription.registrar is None:
        return False
    if message.sender == subscription.registrar[0]:
        return True
    if subscription.has_table or message.base:
        return False
    for registrar in find_registrars(node, message.service):
        if registrar[0] == message.sender:
            subscription.registrar = registrar
            return True
    return False


def _renew(
    subscription: Subscription,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if subscription.has_table or subscription.has_reply:
        if subscription.registrar is not None:
            yield from _send_subscription(subscription, node, now)
            return
    yield from _switch_registrar(subscription, node, now)


def _send_subscription(
    subscription: Subscription,
    node: Node,
    now: float,
) -> Iterator[Command]:
    registrar = subscription.registrar
    subscription.has_reply = False
    version = 0
    pause = INITIAL_RENEW_SECONDS
    if subscription.has_table:
        version = node.routing.version(subscription.service)
        pause = RENEW_SECONDS
    subscription.renew_at = now + pause
    if registrar is not None:
        message = SubscribeRoutes(subscription.service, version)
        yield SendPeer(registrar[0], message)


def _replace_table(
    subscription: Subscription,
    message: RouteDelta,
    entries: list[RouteEntry],
    node: Node,
    now: float,
) -> None:
    """Replace the table, but retain entries that may only be late."""
    table = {entry.searcher: entry for entry in entries}
    hosts = node.view.current.hosts
    if not subscription.has_table:
        until = now + RETAINED_ENTRY_SECONDS
        known = node.routing.entries(message.service)
        subscription.retained = {
            name: until
            for name, entry in known.items()
            if name not in table and entry.owner in hosts
        }
        for name in subscription.retained:
            table[name] = known[name]
    subscription.has_table = True
    merged = list(table.values())
    node.routing.replace(message.service, message.version, merged)


def _apply_delta(
    subscription: Subscription,
    message: RouteDelta,
    node: Node,
) -> None:
    entries = subscription.layouts.restore_layouts(
        message.entries, message.layouts
    )
    changed_by_name = {entry.searcher: entry for entry in entries}
    changed_by_name.update(_entries_with_new_load(message, node))
    for name in (*changed_by_name, *message.removed):
        subscription.retained.pop(name, None)
    node.routing.update(
        message.service,
        message.version,
        list(changed_by_name.values()),
        message.removed,
    )


def _entries_with_new_load(
    message: RouteDelta, node: Node
) -> dict[str, RouteEntry]:
    known = node.routing.entries(message.service)
    return {
        load.searcher: known[load.searcher].with_load(load)
        for load in message.loads
        if load.searcher in known
    }


def _remove_expired_entries(
    subscription: Subscription,
    node: Node,
    now: float,
) -> bool:
    expired = [
        name for name, until in subscription.retained.items() if until <= now
    ]
    if not expired:
        return False
    for name in expired:
        subscription.retained.pop(name)
    service = subscription.service
    version = node.routing.version(service)
    node.routing.update(service, version, [], expired)
    return True


add_listener(ViewChanged, _handle_view_changed)
add_listener(PeerLost, _handle_peer_lost)
