"""Publication of the searchers that this host owns to registrars."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.directory.const import (
    HEARTBEAT_SECONDS,
    LATENCY_CHANGE_SHARE,
    LOAD_PUBLISH_DELAY_SECONDS,
    MIN_LOAD_INTERVAL_SECONDS,
    STATE_DOWN,
    USE_CHANGE_SHARE,
)
from snipejunction.components.directory.layouts import extract_layouts
from snipejunction.components.directory.messages import (
    PublishDue,
    PublishRoutes,
    RepublishRequest,
    RouteEntry,
    RouteLoad,
)
from snipejunction.components.directory.parts import split_entries
from snipejunction.components.directory.publication import (
    Publication,
    PublicationTarget,
)
from snipejunction.components.directory.systems.finding import find_registrars
from snipejunction.components.owner.searcher import Searcher
from snipejunction.const import SEARCHER_LEAVING, SEARCHER_READY
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import ViewChanged
from snipejunction.node import Node


class PendingChanges:
    """Changes since the last publication."""

    __slots__ = ('entries', 'loads', 'removed')

    def __init__(self) -> None:
        """Create an empty set of changes."""
        self.entries: list[RouteEntry] = []
        self.loads: list[RouteLoad] = []
        self.removed: list[str] = []


def publish_if_changed(
    node: Node,
    service: str,
    key: str,
    now: float,
) -> Iterator[Command]:
    """Schedule the publication of a searcher if it changed enough.

    Changes that affect whether the searcher is usable are published at
    once, changes of its load after a delay.
    """
    publication = _get_publication(node, service)
    searcher = node.owner.searchers.get(key)
    if _needs_immediate_publish(publication.published.get(key), searcher):
        publication.changed_keys.add(key)
        if not publication.is_publish_queued:
            publication.is_publish_queued = True
            yield Deliver(PublishDue(service))
        return
    if publication.is_load_publish_scheduled or searcher is None:
        return
    if _has_load_changed(publication.published[key], searcher):
        publication.is_load_publish_scheduled = True
        publication.changed_keys.add(key)
        earliest = publication.load_published_at + MIN_LOAD_INTERVAL_SECONDS
        due = max(now + LOAD_PUBLISH_DELAY_SECONDS, earliest)
        node.timers.schedule(due, PublishDue(service))


@handle.register
def _handle_publish_due(
    message: PublishDue,
    node: Node,
    now: float,
) -> Iterator[Command]:
    publication = node.directory.publications.get(message.service)
    if publication is None:
        return
    publication.is_publish_queued = False
    if publication.is_load_publish_scheduled:
        publication.is_load_publish_scheduled = False
        publication.load_published_at = now
    publication.set_registrars(find_registrars(node, message.service))
    if not publication.targets:
        return
    publication.sent_at = now
    if publication.needs_full_table:
        publication.changed_keys.update(
            _published_or_owned_keys(publication, node)
        )
    changes = _collect_changes(publication, node)
    for target in publication.targets:
        messages = (
            _full_messages(publication, target)
            if target.needs_full_table
            else [_delta_message(publication, target, changes)]
        )
        target.needs_full_table = False
        for publish in messages:
            yield SendPeer(target.registrar[0], publish)


@handle.register
def _handle_republish_request(
    message: RepublishRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    publication = _get_publication(node, message.service)
    for target in publication.targets:
        if target.registrar[0] == message.sender:
            target.needs_full_table = True
    yield Deliver(PublishDue(message.service))


@on_tick
def send_heartbeats(node: Node, now: float) -> Iterator[Command]:
    """Publish at least once per interval, to reveal lost messages."""
    publications = node.directory.publications
    for service, publication in list(publications.items()):
        if now < publication.sent_at + HEARTBEAT_SECONDS:
            continue
        if publication.published or publication.changed_keys:
            yield Deliver(PublishDue(service))
        else:
            publications.pop(service)
            last_sequence = max(
                node.directory.last_sequence, publication.sequence
            )
            node.directory.last_sequence = last_sequence


def _handle_view_changed(
    notice: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for service, publication in node.directory.publications.items():
        registrars = find_registrars(node, service)
        known = tuple(target.registrar for target in publication.targets)
        if registrars != known:
            yield Deliver(PublishDue(service))


def _get_publication(node: Node, service: str) -> Publication:
    publications = node.directory.publications
    if service not in publications:
        last = node.directory.last_sequence
        publications[service] = Publication(service, last)
    return publications[service]


def _published_or_owned_keys(publication: Publication, node: Node) -> list[str]:
    """Return the keys of published and of owned searchers."""
    owned = [
        key
        for key, searcher in node.owner.searchers.items()
        if searcher.service == publication.service
    ]
    return [*publication.published, *owned]


def _collect_changes(publication: Publication, node: Node) -> PendingChanges:
    changes = PendingChanges()
    for key in publication.changed_keys:
        known = publication.published.get(key)
        searcher = node.owner.searchers.get(key)
        if searcher is None:
            if known is not None:
                publication.published.pop(key)
                changes.removed.append(known.searcher)
            continue
        entry = _make_entry(node, searcher)
        publication.published[key] = entry
        if known is None or _differs_beyond_load(known, entry):
            changes.entries.append(entry)
        elif known != entry:
            changes.loads.append(_make_load(entry))
    publication.changed_keys.clear()
    return changes


def _full_messages(
    publication: Publication,
    target: PublicationTarget,
) -> list[PublishRoutes]:
    messages: list[PublishRoutes] = []
    parts = split_entries(list(publication.published.values()))
    sequence = publication.next_sequence(target)
    for number, part in enumerate(parts):
        message = _empty_message(publication, sequence)
        message.is_full = True
        entries, layouts = extract_layouts(part)
        message.entries = entries
        message.layouts = layouts
        message.part = number
        message.parts = len(parts)
        messages.append(message)
    return messages


def _delta_message(
    publication: Publication,
    target: PublicationTarget,
    changes: PendingChanges,
) -> PublishRoutes:
    message = _empty_message(publication, publication.next_sequence(target))
    entries, layouts = extract_layouts(changes.entries)
    message.entries = entries
    message.layouts = layouts
    message.loads = changes.loads
    message.removed = changes.removed
    return message


def _empty_message(publication: Publication, sequence: int) -> PublishRoutes:
    return PublishRoutes(
        publication.service,
        sequence,
        is_full=False,
        entries=[],
        loads=[],
        removed=[],
        layouts=[],
    )


def _make_entry(node: Node, searcher: Searcher) -> RouteEntry:
    announcement = searcher.announcement
    return RouteEntry(
        announcement.searcher,
        announcement.service,
        announcement.data_centre,
        node.name,
        announcement.snapshots,
        searcher.slots,
        int(searcher.warmth.limit),
        searcher.in_flight + len(searcher.queue),
        searcher.latency.mean,
        _searcher_state(searcher),
    )


def _searcher_state(searcher: Searcher) -> str:
    if searcher.is_leaving:
        return SEARCHER_LEAVING
    return STATE_DOWN if searcher.health.is_down else SEARCHER_READY


def _make_load(entry: RouteEntry) -> RouteLoad:
    return RouteLoad(
        entry.searcher,
        entry.limit,
        entry.in_use,
        entry.latency,
        entry.state,
    )


def _needs_immediate_publish(
    known: RouteEntry | None, searcher: Searcher | None
) -> bool:
    if known is None or searcher is None:
        return (known is None) != (searcher is None)
    if known.limit != int(searcher.warmth.limit):
        return True
    if known.state != _searcher_state(searcher):
        return True
    if known.slots != searcher.slots:
        return True
    snapshots = searcher.announcement.snapshots
    return known.snapshots is not snapshots and known.snapshots != snapshots


def _has_load_changed(known: RouteEntry, searcher: Searcher) -> bool:
    difference = abs(searcher.latency.mean - known.latency)
    if difference > LATENCY_CHANGE_SHARE * known.latency:
        return True
    in_use = searcher.in_flight + len(searcher.queue)
    return abs(in_use - known.in_use) > USE_CHANGE_SHARE * max(known.limit, 1)


def _differs_beyond_load(known: RouteEntry, entry: RouteEntry) -> bool:
    """Return whether the entries differ in more than their load."""
    return known.slots != entry.slots or known.snapshots != entry.snapshots


add_listener(ViewChanged, _handle_view_changed)
