"""Registrar: collects publications and forwards routes to subscribers."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.directory.const import (
    LOAD_FORWARD_DELAY_SECONDS,
    MAX_SERVICES,
    REPUBLISH_REQUEST_SECONDS,
    SUBSCRIBER_EXPIRY_SECONDS,
)
from snipejunction.components.directory.layouts import extract_layouts
from snipejunction.components.directory.messages import (
    ForwardDue,
    PublishRoutes,
    RepublishRequest,
    RouteDelta,
    RouteLoad,
    SubscribeRoutes,
)
from snipejunction.components.directory.parts import split_entries
from snipejunction.components.directory.registry import (
    Publisher,
    Registry,
    Subscriber,
)
from snipejunction.components.directory.systems.finding import is_registrar
from snipejunction.handling import add_listener, handle
from snipejunction.messages import ViewChanged
from snipejunction.node import Node


@handle.register
def _handle_publication(
    message: PublishRoutes,
    node: Node,
    now: float,
) -> Iterator[Command]:
    registry = _get_registry(node, message.service, message.sender)
    if registry is None:
        return
    publisher = _get_publisher(node, registry, message.sender)
    if message.sequence <= publisher.sequence:
        return
    if message.is_full:
        yield from _add_table_part(registry, publisher, message, node, now)
        return
    publisher.out_of_order.put(message.sequence, message)
    if not publisher.sequence or message.sequence != publisher.sequence + 1:
        if now >= publisher.republish_requested_at + REPUBLISH_REQUEST_SECONDS:
            publisher.republish_requested_at = now
            yield SendPeer(message.sender, RepublishRequest(message.service))
        return
    yield from _apply_buffered_changes(registry, publisher, node, now)


def _add_table_part(
    registry: Registry,
    publisher: Publisher,
    message: PublishRoutes,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Add a part of a full publication; apply it once it is complete."""
    number = message.sequence
    entries = registry.layouts.restore_layouts(message.entries, message.layouts)
    table = publisher.partial_tables.add(
        number, message.part, message.parts, entries
    )
    if table is None:
        # The remaining parts are in flight: do not request them again.
        publisher.republish_requested_at = now
        return
    publisher.sequence = number
    kept = frozenset(entry.searcher for entry in table)
    registry.remove_owner_entries(message.sender, kept)
    for entry in table:
        registry.set_entry(entry)
    yield from _apply_buffered_changes(registry, publisher, node, now)
    yield from _schedule_forward(registry, node, now, is_urgent=True)


def _apply_buffered_changes(
    registry: Registry,
    publisher: Publisher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Apply buffered changes that are next in sequence."""
    is_urgent = False
    next_change = publisher.out_of_order.pop(publisher.sequence + 1)
    while next_change is not None:
        publisher.sequence = next_change.sequence
        is_urgent = _apply_changes(registry, next_change) or is_urgent
        next_change = publisher.out_of_order.pop(publisher.sequence + 1)
    yield from _schedule_forward(registry, node, now, is_urgent=is_urgent)


@handle.register
def _handle_subscription(
    message: SubscribeRoutes,
    node: Node,
    now: float,
) -> Iterator[Command]:
    registry = _get_registry(node, message.service, message.sender)
    if registry is None:
        return
    expires_at = now + SUBSCRIBER_EXPIRY_SECONDS
    subscriber = Subscriber(message.version, expires_at)
    registry.subscribers[message.sender] = subscriber
    registry.commit_pending()
    yield from _send_updates(registry, message.sender, subscriber, {})


@handle.register
def _handle_forward_due(
    message: ForwardDue,
    node: Node,
    now: float,
) -> Iterator[Command]:
    registry = node.directory.registries.get(message.service)
    if registry is None:
        return
    registry.is_forward_queued = False
    registry.is_forward_scheduled = False
    registry.commit_pending()
    messages_by_base: dict[int, list[RouteDelta]] = {}
    for host, subscriber in list(registry.subscribers.items()):
        if subscriber.expires_at <= now:
            registry.subscribers.pop(host)
        else:
            yield from _send_updates(
                registry,
                host,
                subscriber,
                messages_by_base,
            )


def _handle_view_changed(
    notice: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    view = node.view.current
    for service, registry in list(node.directory.registries.items()):
        if not is_registrar(node, service):
            node.directory.registries.pop(service)
            continue
        for owner, publisher in list(registry.publishers.items()):
            entry = view.hosts.get(owner)
            if entry is None or entry.incarnation != publisher.incarnation:
                registry.publishers.pop(owner)
                registry.remove_owner_entries(owner, frozenset())
        yield from _schedule_forward(registry, node, now, is_urgent=True)


def _get_registry(node: Node, service: str, sender: str) -> Registry | None:
    if sender not in node.view.current.hosts:
        return None
    if not is_registrar(node, service):
        return None
    registries = node.directory.registries
    registry = registries.get(service)
    if registry is None and len(registries) < MAX_SERVICES:
        registry = Registry(service, node.random)
        registries[service] = registry
    return registry


def _get_publisher(node: Node, registry: Registry, owner: str) -> Publisher:
    publisher = registry.publishers.get(owner)
    if publisher is None:
        entry = node.view.current.hosts[owner]
        publisher = Publisher(entry.incarnation)
        registry.publishers[owner] = publisher
    return publisher


def _apply_changes(registry: Registry, message: PublishRoutes) -> bool:
    """Apply changes; return whether to forward them without delay."""
    for searcher in message.removed:
        registry.remove_entry(searcher, message.sender)
    entries = registry.layouts.restore_layouts(message.entries, message.layouts)
    for entry in entries:
        registry.set_entry(entry)
    limit_changes = [
        registry.set_load(load, message.sender) for load in message.loads
    ]
    if entries or message.removed:
        return True
    return any(limit_changes)


def _schedule_forward(
    registry: Registry,
    node: Node,
    now: float,
    *,
    is_urgent: bool,
) -> Iterator[Command]:
    if not registry.has_pending or registry.is_forward_queued:
        return
    if is_urgent:
        registry.is_forward_queued = True
        yield Deliver(ForwardDue(registry.service))
    elif not registry.is_forward_scheduled:
        registry.is_forward_scheduled = True
        due = now + LOAD_FORWARD_DELAY_SECONDS
        node.timers.schedule(due, ForwardDue(registry.service))


def _send_updates(
    registry: Registry,
    host: str,
    subscriber: Subscriber,
    messages_by_base: dict[int, list[RouteDelta]],
) -> Iterator[Command]:
    """Send the changes that a subscriber lacks.

    ``messages_by_base`` caches the messages for subscribers with the same
    base version.
    """
    base = subscriber.version
    if base == registry.version:
        return
    subscriber.version = registry.version
    if base not in messages_by_base:
        messages_by_base[base] = _messages_since(registry, base)
    for message in messages_by_base[base]:
        yield SendPeer(host, message)


def _messages_since(registry: Registry, base: int) -> list[RouteDelta]:
    delta = _delta_since(registry, base)
    return list(_full_table_messages(registry)) if delta is None else [delta]


def _delta_since(registry: Registry, base: int) -> RouteDelta | None:
    change = registry.changes_since(base)
    if change is None:
        return None
    entries = [
        registry.entries[name]
        for name in sorted(change.searchers)
        if name in registry.entries
    ]
    if len(split_entries(entries)) > 1:
        return None
    removed = sorted(change.searchers - registry.entries.keys())
    loads = [
        _make_load(registry, name)
        for name in sorted(change.loads)
        if name in registry.entries
    ]
    stripped, layouts = extract_layouts(entries)
    return RouteDelta(
        registry.service,
        base,
        registry.version,
        stripped,
        loads,
        removed,
        layouts,
    )


def _full_table_messages(registry: Registry) -> Iterator[RouteDelta]:
    parts = split_entries(list(registry.entries.values()))
    for number, part in enumerate(parts):
        entries, layouts = extract_layouts(part)
        yield RouteDelta(
            registry.service,
            0,
            registry.version,
            entries,
            [],
            [],
            layouts,
            number,
            len(parts),
        )


def _make_load(registry: Registry, searcher: str) -> RouteLoad:
    entry = registry.entries[searcher]
    return RouteLoad(
        searcher,
        entry.limit,
        entry.in_use,
        entry.latency,
        entry.state,
    )


add_listener(ViewChanged, _handle_view_changed)
