"""Registration of searchers from announcements and hand-overs."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import (
    ANNOUNCEMENT_TTL_SECONDS,
    BASELINE_TTL_SECONDS,
    EVENT_SEARCHER_REGISTERED,
)
from snipejunction.components.owner.latency import LatencyEstimate
from snipejunction.components.owner.messages import Announcement
from snipejunction.components.owner.peer_messages import LearnedState
from snipejunction.components.owner.searcher import Searcher, searcher_key
from snipejunction.components.owner.systems.connecting import (
    close_unused_connections,
    open_missing_connections,
)
from snipejunction.components.owner.systems.dispatching import dispatch_queued
from snipejunction.components.owner.systems.leaving import mark_leaving
from snipejunction.components.owner.systems.rebooting import handle_restart
from snipejunction.components.owner.systems.rules import may_contact
from snipejunction.const import SEARCHER_LEAVING
from snipejunction.node import Node
from snipejunction.timers import NEVER


def register_announcement(
    node: Node,
    announcement: Announcement,
    now: float,
) -> Iterator[Command]:
    """Register or renew a searcher unless a newer announcement is known."""
    key = searcher_key(announcement.service, announcement.searcher)
    searcher = node.owner.searchers.get(key)
    if searcher is None:
        searcher = _register(node, key, announcement, now)
        yield LogEvent(
            EVENT_SEARCHER_REGISTERED,
            searcher=key,
            boot_id=announcement.boot_id,
        )
        yield from _restore_stored(node, searcher, now)
    elif searcher.is_replaced_boot(announcement.boot_id, now):
        return
    else:
        yield from _renew(node, searcher, announcement, now)
    searcher.expires_at = now + ANNOUNCEMENT_TTL_SECONDS
    is_leaving = announcement.state == SEARCHER_LEAVING
    if is_leaving and announcement.boot_id == searcher.boot_id:
        # This applies to late announcements too: leaving is final for a boot.
        yield from mark_leaving(node, searcher, now)
    yield from _refresh(node, searcher, now)


def apply_hand_over_entry(
    node: Node,
    learned: LearnedState,
    now: float,
) -> Iterator[Command]:
    """Restore the state from an earlier owner if this host is the owner."""
    announcement = learned.announcement
    key = searcher_key(announcement.service, announcement.searcher)
    owner = node.view.owner_of(key, announcement.data_centre)
    if owner != node.name or key in node.owner.lost:
        return
    searcher = node.owner.searchers.get(key)
    if searcher is None:
        searcher = _register(node, key, announcement, now)
        searcher.expires_at = now + min(
            learned.expires_in, ANNOUNCEMENT_TTL_SECONDS
        )
        yield LogEvent(
            EVENT_SEARCHER_REGISTERED,
            searcher=key,
            boot_id=announcement.boot_id,
        )
    yield from _restore_learned(node, searcher, learned, now)
    yield from _refresh(node, searcher, now)


def _register(
    node: Node,
    key: str,
    announcement: Announcement,
    now: float,
) -> Searcher:
    searcher = Searcher(announcement, now + ANNOUNCEMENT_TTL_SECONDS)
    searcher.warmth.seed_baseline(
        _cached_baseline(node, announcement.service, now)
    )
    node.owner.searchers[key] = searcher
    searcher.apply_settings(node.settings.service(announcement.service))
    return searcher


def _cached_baseline(node: Node, service: str, now: float) -> float | None:
    """Return the median baseline of the service's warm searchers.

    It is cached for a short time, because many searchers may register at
    once.
    """
    cached = node.owner.baselines.get(service)
    if cached is not None and now < cached[0]:
        return cached[1]
    baseline = _find_median_baseline(node, service)
    cached_until = now + BASELINE_TTL_SECONDS
    node.owner.baselines[service] = (cached_until, baseline)
    return baseline


def _find_median_baseline(node: Node, service: str) -> float | None:
    baselines = sorted(
        searcher.warmth.baseline
        for searcher in node.owner.searchers.values()
        if searcher.service == service and searcher.warmth.baseline is not None
    )
    return baselines[len(baselines) // 2] if baselines else None


def _renew(
    node: Node,
    searcher: Searcher,
    announcement: Announcement,
    now: float,
) -> Iterator[Command]:
    previous = searcher.announcement
    if announcement.boot_id != searcher.boot_id:
        yield from handle_restart(node, searcher, announcement.boot_id, now)
        searcher.announcement = announcement
    elif (
        announcement.boot_id != previous.boot_id
        or announcement.sequence > previous.sequence
    ):
        has_moved = (announcement.ip, announcement.port) != (
            previous.ip,
            previous.port,
        )
        searcher.announcement = announcement
        if has_moved:
            yield from close_unused_connections(searcher)


def _restore_stored(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    learned = node.owner.hand_overs.find(searcher.key, now)
    if learned is not None:
        yield from _restore_learned(node, searcher, learned, now)


def _restore_learned(
    node: Node,
    searcher: Searcher,
    learned: LearnedState,
    now: float,
) -> Iterator[Command]:
    announcement = learned.announcement
    if announcement.boot_id != searcher.boot_id:
        return
    if announcement.sequence > searcher.announcement.sequence:
        searcher.announcement = announcement
    if learned.is_leaving:
        yield from mark_leaving(node, searcher, now)
    if searcher.rate_limit.stated == NEVER:
        searcher.rate_limit.replace(learned.stated_limit, now)
    returned_at_revision = node.owner.hand_overs.returned_at_revision.get(
        announcement.data_centre,
        0,
    )
    if learned.settings_revision < returned_at_revision:
        # The data centre was out of service since then, so its searchers are
        # cold again.
        return
    if searcher.warmth.is_initial:
        searcher.warmth.restore(learned.limit, learned.base or None)
        searcher.latency = LatencyEstimate(learned.mean, learned.high)


def _refresh(node: Node, searcher: Searcher, now: float) -> Iterator[Command]:
    searcher.apply_settings(node.settings.service(searcher.service))
    if may_contact(node, searcher, now):
        yield from open_missing_connections(node, searcher, now)
    yield from dispatch_queued(node, searcher, now)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)
