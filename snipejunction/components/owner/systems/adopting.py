"""Taking searchers into the tables of their owner."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import note_change
from snipejunction.components.owner.const import (
    EVENT_SEARCHER_JOINED,
    EXPIRY_SECONDS,
    REFERENCE_SECONDS,
)
from snipejunction.components.owner.latency import LatencyEstimate
from snipejunction.components.owner.messages import Announcement
from snipejunction.components.owner.peer_messages import LearnedState
from snipejunction.components.owner.searcher import Searcher, searcher_key
from snipejunction.components.owner.systems.connecting import (
    close_unused,
    keep_connections,
)
from snipejunction.components.owner.systems.dispatching import pump
from snipejunction.components.owner.systems.leaving import mark_leaving
from snipejunction.components.owner.systems.rebooting import handle_restart
from snipejunction.components.owner.systems.rules import may_reach
from snipejunction.const import SEARCHER_LEAVING
from snipejunction.node import Node


def take_announcement(
    node: Node,
    facts: Announcement,
    now: float,
) -> Iterator[Command]:
    """Take an announcement unless a newer one of the boot is known."""
    key = searcher_key(facts.service, facts.searcher)
    searcher = node.owner.searchers.get(key)
    if searcher is None:
        searcher = _add(node, key, facts, now)
        yield LogEvent(
            EVENT_SEARCHER_JOINED,
            searcher=key,
            boot_id=facts.boot_id,
        )
        yield from _apply_note(node, searcher, now)
    elif searcher.is_replaced_boot(facts.boot_id, now):
        return
    else:
        yield from _renew(node, searcher, facts, now)
    searcher.expires_at = now + EXPIRY_SECONDS
    is_leaving = facts.state == SEARCHER_LEAVING
    if is_leaving and facts.boot_id == searcher.boot_id:
        # Even a late one counts: a boot that leaves never comes back.
        yield from mark_leaving(node, searcher, now)
    yield from _settle(node, searcher, now)


def adopt(node: Node, learned: LearnedState, now: float) -> Iterator[Command]:
    """Go on with what an earlier owner learned, if it is owned here."""
    facts = learned.announcement
    key = searcher_key(facts.service, facts.searcher)
    owner = node.view.owner_of(key, facts.data_centre)
    if owner != node.name or key in node.owner.lost:
        return
    searcher = node.owner.searchers.get(key)
    if searcher is None:
        searcher = _add(node, key, facts, now)
        searcher.expires_at = now + min(learned.expires_in, EXPIRY_SECONDS)
        yield LogEvent(
            EVENT_SEARCHER_JOINED,
            searcher=key,
            boot_id=facts.boot_id,
        )
    yield from _apply(node, searcher, learned, now)
    yield from _settle(node, searcher, now)


def _add(
    node: Node,
    key: str,
    facts: Announcement,
    now: float,
) -> Searcher:
    searcher = Searcher(facts, now + EXPIRY_SECONDS)
    searcher.warmth.seed_baseline(_reference(node, facts.service, now))
    node.owner.searchers[key] = searcher
    searcher.apply_settings(node.settings.service(facts.service))
    return searcher


def _reference(node: Node, service: str, now: float) -> float | None:
    """Return the service time that the service's warm searchers show.

    It is kept for a short time: many searchers may register at once.
    """
    kept = node.owner.references.get(service)
    if kept is not None and now < kept[0]:
        return kept[1]
    reference = _find_reference(node, service)
    kept_until = now + REFERENCE_SECONDS
    node.owner.references[service] = (kept_until, reference)
    return reference


def _find_reference(node: Node, service: str) -> float | None:
    bases = sorted(
        searcher.warmth.baseline
        for searcher in node.owner.searchers.values()
        if searcher.service == service and searcher.warmth.baseline is not None
    )
    return bases[len(bases) // 2] if bases else None


def _renew(
    node: Node,
    searcher: Searcher,
    facts: Announcement,
    now: float,
) -> Iterator[Command]:
    known = searcher.announcement
    if facts.boot_id != searcher.boot_id:
        yield from handle_restart(node, searcher, facts.boot_id, now)
        searcher.announcement = facts
    elif facts.boot_id != known.boot_id or facts.sequence > known.sequence:
        has_moved = (facts.ip, facts.port) != (known.ip, known.port)
        searcher.announcement = facts
        if has_moved:
            yield from close_unused(searcher)


def _apply_note(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    learned = node.owner.learned.find(searcher.key, now)
    if learned is not None:
        yield from _apply(node, searcher, learned, now)


def _apply(
    node: Node,
    searcher: Searcher,
    learned: LearnedState,
    now: float,
) -> Iterator[Command]:
    facts = learned.announcement
    if facts.boot_id != searcher.boot_id:
        return
    if facts.sequence > searcher.announcement.sequence:
        searcher.announcement = facts
    if learned.is_leaving:
        yield from mark_leaving(node, searcher, now)
    returned_at = node.owner.learned.returned_at.get(facts.data_centre, 0)
    if learned.settings_revision < returned_at:
        # The data centre came back since: what was proven no longer holds.
        return
    if searcher.warmth.is_initial:
        searcher.warmth.restore(learned.limit, learned.base or None)
        searcher.latency = LatencyEstimate(learned.mean, learned.high)


def _settle(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    searcher.apply_settings(node.settings.service(searcher.service))
    if may_reach(node, searcher, now):
        yield from keep_connections(node, searcher, now)
    yield from pump(node, searcher, now)
    yield from note_change(node, searcher.service, searcher.key, now)
