"""Application of settings and views to the tables of this host.

Voters apply entries of their log, all other hosts those of their feeder.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from functools import singledispatch

from snipejunction.commands import Command, Deliver, LogEvent
from snipejunction.components.control.const import (
    EVENT_SNAPSHOT_TAKEN,
    EVENT_VIEW_APPLIED,
    HISTORY_ENTRIES,
)
from snipejunction.components.control.replication.codec import (
    unpack_documents,
)
from snipejunction.components.control.replication.messages import (
    FeedEntry,
    HostSnapshot,
    SettingsEntry,
    ViewEntry,
)
from snipejunction.components.control.replication.state import (
    make_history_entry,
)
from snipejunction.components.control.replication.view_changes import (
    apply_host_changes,
)
from snipejunction.components.control.systems.feeding import push_feed
from snipejunction.components.control.view import View
from snipejunction.helpers.wire import decode
from snipejunction.messages import SettingsChanged, ViewChanged
from snipejunction.node import Node


def apply_entries(
    entries: Iterable[FeedEntry],
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Apply the entries that follow this host's revision.

    Skips older entries and stops at the first gap.

    Raises:
        WireError: if an entry cannot be decoded.
    """
    previous_revision = node.settings.revision
    for entry in entries:
        if entry.revision <= node.settings.revision:
            continue
        if entry.previous != node.settings.revision:
            break
        record = decode(entry.payload)
        yield from apply_record(record, entry.revision, node)
        node.control.feed_log.append(entry)
    if node.settings.revision > previous_revision:
        yield from push_feed(node)


@singledispatch
def apply_record(
    record: object,
    revision: int,
    node: Node,
) -> Iterator[Command]:
    """Apply the effect of one log entry.

    Raises:
        TypeError: if the record is of a type that the log does not hold.
    """
    raise TypeError(f'{type(record).__name__} is not a settings log entry')


@apply_record.register
def _apply_settings(
    record: SettingsEntry,
    revision: int,
    node: Node,
) -> Iterator[Command]:
    written = unpack_documents(record.written)
    node.settings.apply(revision, written)
    node.control.history.append(make_history_entry(revision, record, written))
    yield Deliver(SettingsChanged(revision, sorted(written)))


@apply_record.register
def _apply_view(
    record: ViewEntry,
    revision: int,
    node: Node,
) -> Iterator[Command]:
    hosts = apply_host_changes(node.view.current.hosts, record)
    node.view.apply(View(revision, hosts))
    node.settings.apply(revision, {})
    yield LogEvent(EVENT_VIEW_APPLIED, revision=revision, hosts=len(hosts))
    yield Deliver(ViewChanged(revision))


def apply_snapshot(
    snapshot: HostSnapshot,
    feeder: str,
    node: Node,
) -> Iterator[Command]:
    """Apply a snapshot of a higher revision; ignore any other.

    Raises:
        WireError: if its documents are malformed.
    """
    if snapshot.revision <= node.settings.revision:
        return
    documents = unpack_documents(snapshot.documents)
    written = dict.fromkeys(set(node.settings.documents) - set(documents))
    for path, document in documents.items():
        if node.settings.documents.get(path) != document:
            written[path] = document
    node.settings.apply(snapshot.revision, written)
    node.control.history = deque(snapshot.history, maxlen=HISTORY_ENTRIES)
    node.control.feed_log.restart(snapshot.revision)
    yield LogEvent(
        EVENT_SNAPSHOT_TAKEN,
        revision=snapshot.revision,
        feeder=feeder,
    )
    yield from _apply_snapshot_view(snapshot, node)
    yield Deliver(SettingsChanged(snapshot.revision, sorted(written)))
    yield from push_feed(node)


def settle_views(revision: int, node: Node) -> Iterator[Command]:
    """Apply the leader's notice that views up to ``revision`` are settled."""
    if node.view.settle(revision):
        yield Deliver(ViewChanged(revision))
        yield from push_feed(node)


def _apply_snapshot_view(
    snapshot: HostSnapshot, node: Node
) -> Iterator[Command]:
    revision = snapshot.view_revision
    if revision <= node.view.revision:
        return
    # The skipped views may have had other owners. An empty view in their
    # place prevents exclusive ownership until the new view is settled.
    node.view.apply(View(revision - 1, {}))
    hosts = {entry.name: entry for entry in snapshot.hosts}
    node.view.apply(View(revision, hosts))
    yield Deliver(ViewChanged(revision))
