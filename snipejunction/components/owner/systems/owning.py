"""Changes of what this host owns and may work for."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import note_change
from snipejunction.components.owner.const import EVENT_SEARCHER_RELEASED
from snipejunction.components.owner.searcher import Searcher
from snipejunction.components.owner.systems.connecting import (
    close_unused,
    keep_connections,
)
from snipejunction.components.owner.systems.dispatching import (
    pump,
    refuse_queued,
)
from snipejunction.components.owner.systems.forwarding import (
    redirect_announcements,
)
from snipejunction.components.owner.systems.handing_over import hand_over
from snipejunction.components.owner.systems.rules import (
    find_refusal,
    may_reach,
)
from snipejunction.handling import listen
from snipejunction.messages import LeaseLost, SettingsChanged, ViewChanged
from snipejunction.node import Node


def release_lost(node: Node, now: float) -> Iterator[Command]:
    """Hand over the lost searchers that nothing of this host reaches."""
    for key, searcher in list(node.owner.lost.items()):
        if not searcher.is_drained:
            continue
        node.owner.lost.pop(key)
        node.owner.active.pop(key, None)
        owner = node.view.owner_of(key, searcher.data_centre)
        yield LogEvent(EVENT_SEARCHER_RELEASED, searcher=key, owner=owner)
        if owner is not None:
            yield from hand_over(node, searcher, owner, now)


def _follow_view(
    notice: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for searcher in list(node.owner.searchers.values()):
        owner = node.view.owner_of(searcher.key, searcher.data_centre)
        if owner == node.name:
            yield from _resume(node, searcher, now)
        else:
            yield from _lose(node, searcher, now)
    for regained in list(node.owner.lost.values()):
        owner = node.view.owner_of(regained.key, regained.data_centre)
        if owner == node.name:
            yield from _regain(node, regained, now)
    yield from release_lost(node, now)
    yield from redirect_announcements(node, now)


def _follow_settings(
    notice: SettingsChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    returned = _note_data_centres(node)
    for searcher in node.owner.searchers.values():
        if searcher.data_centre in returned:
            # All of it is cold: it is ramped as a whole.
            searcher.warmth.reset(now)
        searcher.apply_settings(node.settings.service(searcher.service))
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from _resume(node, searcher, now)
        yield from note_change(node, searcher.service, searcher.key, now)


def _stop_work(
    notice: LeaseLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for searcher in node.owner.searchers.values():
        refusal = find_refusal(node, searcher, now)
        if refusal is not None:
            yield from refuse_queued(node, searcher, refusal, now)
        yield from close_unused(searcher)


def _resume(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    if may_reach(node, searcher, now):
        yield from keep_connections(node, searcher, now)
        yield from pump(node, searcher, now)
    else:
        yield from close_unused(searcher)


def _lose(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    node.owner.searchers.pop(searcher.key)
    node.owner.lost[searcher.key] = searcher
    node.owner.active[searcher.key] = searcher
    searcher.lost_at_revision = node.view.revision
    refusal = find_refusal(node, searcher, now)
    if refusal is not None:
        yield from refuse_queued(node, searcher, refusal, now)
    yield from close_unused(searcher)
    yield from note_change(node, searcher.service, searcher.key, now)


def _regain(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    # It was never released, so no other host has worked for it since.
    node.owner.lost.pop(searcher.key)
    searcher.lost_at_revision = 0
    node.owner.searchers[searcher.key] = searcher
    yield from _resume(node, searcher, now)
    yield from note_change(node, searcher.service, searcher.key, now)


def _note_data_centres(node: Node) -> set[str]:
    """Return the data centres that came back with this change."""
    out = {
        path.rsplit('/', 1)[-1]
        for path in node.settings.documents
        if path.startswith('/data-centres/')
    }
    still_out = frozenset(name for name in out if node.settings.is_out(name))
    returned = set(node.owner.out_data_centres - still_out)
    node.owner.out_data_centres = still_out
    for name in returned:
        node.owner.learned.returned_at[name] = node.settings.revision
    return returned


listen(ViewChanged, _follow_view)
listen(SettingsChanged, _follow_settings)
listen(LeaseLost, _stop_work)
