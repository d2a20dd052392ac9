"""Reaction to changes of views, settings and the lease."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import EVENT_SEARCHER_RELEASED
from snipejunction.components.owner.searcher import Searcher
from snipejunction.components.owner.systems.connecting import (
    close_unused_connections,
    open_missing_connections,
)
from snipejunction.components.owner.systems.dispatching import (
    dispatch_queued,
    refuse_queued,
)
from snipejunction.components.owner.systems.forwarding import (
    redirect_announcements,
)
from snipejunction.components.owner.systems.handing_over import send_hand_over
from snipejunction.components.owner.systems.rules import (
    find_refusal,
    may_contact,
)
from snipejunction.handling import add_listener
from snipejunction.messages import LeaseLost, SettingsChanged, ViewChanged
from snipejunction.node import Node


def hand_over_drained(node: Node, now: float) -> Iterator[Command]:
    """Hand over the lost searchers that are drained."""
    for key, searcher in list(node.owner.lost.items()):
        if not searcher.is_drained:
            continue
        node.owner.lost.pop(key)
        node.owner.active.pop(key, None)
        owner = node.view.owner_of(key, searcher.data_centre)
        yield LogEvent(EVENT_SEARCHER_RELEASED, searcher=key, owner=owner)
        if owner is not None:
            yield from send_hand_over(node, searcher, owner, now)


def _apply_view(
    notice: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for searcher in list(node.owner.searchers.values()):
        owner = node.view.owner_of(searcher.key, searcher.data_centre)
        if owner == node.name:
            yield from _update_connections(node, searcher, now)
        else:
            yield from _mark_lost(node, searcher, now)
    for regained in list(node.owner.lost.values()):
        owner = node.view.owner_of(regained.key, regained.data_centre)
        if owner == node.name:
            yield from _reclaim(node, regained, now)
    yield from hand_over_drained(node, now)
    yield from redirect_announcements(node, now)


def _apply_settings(
    notice: SettingsChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    returned = _update_out_data_centres(node)
    for searcher in node.owner.searchers.values():
        if searcher.data_centre in returned:
            # All searchers of the data centre are cold and ramp up together.
            searcher.warmth.reset(now)
        searcher.apply_settings(node.settings.service(searcher.service))
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from _update_connections(node, searcher, now)
        yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _handle_lease_lost(
    notice: LeaseLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for searcher in node.owner.searchers.values():
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from close_unused_connections(searcher)


def _update_connections(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    if may_contact(node, searcher, now):
        yield from open_missing_connections(node, searcher, now)
        yield from dispatch_queued(node, searcher, now)
    else:
        yield from close_unused_connections(searcher)


def _mark_lost(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    node.owner.searchers.pop(searcher.key)
    node.owner.lost[searcher.key] = searcher
    node.owner.active[searcher.key] = searcher
    searcher.lost_at_revision = node.view.revision
    refusal = find_refusal(node, searcher, now)
    if refusal is not None:
        yield from refuse_queued(node, searcher, refusal, now)
    yield from close_unused_connections(searcher)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _reclaim(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    # It was not released, so no other host has dispatched to it since.
    node.owner.lost.pop(searcher.key)
    searcher.lost_at_revision = 0
    node.owner.searchers[searcher.key] = searcher
    yield from _update_connections(node, searcher, now)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)


def _update_out_data_centres(node: Node) -> set[str]:
    """Return the data centres that this change put back in service."""
    configured = {
        path.rsplit('/', 1)[-1]
        for path in node.settings.documents
        if path.startswith('/data-centres/')
    }
    now_out = frozenset(
        name for name in configured if node.settings.is_out(name)
    )
    returned = set(node.owner.out_data_centres - now_out)
    node.owner.out_data_centres = now_out
    for name in returned:
        node.owner.hand_overs.returned_at_revision[name] = (
            node.settings.revision
        )
    return returned


add_listener(ViewChanged, _apply_view)
add_listener(SettingsChanged, _apply_settings)
add_listener(LeaseLost, _handle_lease_lost)
