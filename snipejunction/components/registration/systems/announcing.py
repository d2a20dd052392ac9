"""What announcements change, and what entry hosts are told of it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.registration.const import (
    EVENT_ANNOUNCEMENT_STALE,
    EVENT_SEARCHER_NEW,
    EVENT_SEARCHER_SILENT,
    EVENT_SEARCHER_STATE,
    GONE,
    GONE_SECONDS,
    LATENESS_SECONDS,
    LEAVING,
    MAX_SEARCHERS,
    MISSED_ANNOUNCEMENTS,
    READY,
    SILENT,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
    SearcherNews,
    SearcherRecord,
)
from snipejunction.components.registration.tables import KnownSearcher
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node

_SWEEP_SECONDS: Final = 0.5
_STATE_NAMES: Final = ('ready', 'leaving', 'silent', 'gone')
# A cold time that differs by less than this from what is known is no news,
# in seconds.
_COLD_TOLERANCE_SECONDS: Final = 0.5


def news_of_all(name: str, node: Node, now: float) -> Iterator[Command]:
    """Send all that is known to an entry host that is new here."""
    records = [
        known.record_at(now) for known in node.registration.searchers.values()
    ]
    if records:
        yield SendPeer(name, SearcherNews(records))


@handle.register
def _take_announcement(
    message: SearcherAnnounced,
    node: Node,
    now: float,
) -> Iterator[Command]:
    record = message.searcher
    searchers = node.registration.searchers
    known = searchers.get(record.searcher_id)
    if known is None:
        if len(searchers) >= MAX_SEARCHERS:
            return
    elif not _is_newer(record, known):
        known_place = known.record.sequence
        yield LogEvent(
            EVENT_ANNOUNCEMENT_STALE,
            searcher=record.searcher_id,
            sequence=record.sequence,
            known=known_place,
        )
        return
    fresh = KnownSearcher(record, now)
    searchers[record.searcher_id] = fresh
    if known is None or known.record.born_ms != record.born_ms:
        yield LogEvent(
            EVENT_SEARCHER_NEW,
            searcher=record.searcher_id,
            service=record.service,
            address=record.address,
            cold_left=record.cold_left,
        )
        yield from _tell(fresh, node, now)
    elif _differs(known, fresh):
        yield _state_event(record)
        yield from _tell(fresh, node, now)


def _is_newer(record: SearcherRecord, known: KnownSearcher) -> bool:
    if known.record.service and record.born_ms != known.record.born_ms:
        return record.born_ms > known.record.born_ms
    if known.record.state == GONE:
        # Without its start only a first announcement proves a new one.
        is_unknown = not known.record.service
        return is_unknown and record.sequence <= 1
    return record.sequence > known.record.sequence


def _differs(known: KnownSearcher, fresh: KnownSearcher) -> bool:
    old = known.record
    new = fresh.record
    if (old.state, old.service, old.address) != (
        new.state,
        new.service,
        new.address,
    ):
        return True
    if new.cold_left <= 0:
        return False
    drift = abs(fresh.cold_until - known.cold_until)
    return drift > _COLD_TOLERANCE_SECONDS


@handle.register
def _take_leave(
    message: SearcherLeft,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searchers = node.registration.searchers
    known = searchers.get(message.searcher_id)
    if known is None:
        # Another control host may have told the entry hosts of it.
        known = KnownSearcher(_unknown(message.searcher_id), now)
        searchers[message.searcher_id] = known
    elif known.record.state == GONE:
        return
    known.record.state = GONE
    known.heard_at = now
    yield _state_event(known.record)
    yield from _tell(known, node, now)


def _unknown(searcher_id: str) -> SearcherRecord:
    return SearcherRecord(searcher_id, '', '', '', 0, 0, 0, 0)


def _state_event(record: SearcherRecord) -> LogEvent:
    return LogEvent(
        EVENT_SEARCHER_STATE,
        searcher=record.searcher_id,
        service=record.service,
        state=_STATE_NAMES[record.state],
        sequence=record.sequence,
    )


def _tell(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    news = SearcherNews([known.record_at(now)])
    for name in node.deployment.entries:
        yield SendPeer(name, news)


@on_tick
def run_sweep(node: Node, now: float) -> Iterator[Command]:
    """Note searchers that fell silent; forget those that are long gone."""
    table = node.registration
    if now < table.sweep_due or not table.searchers:
        return
    table.sweep_due = now + _SWEEP_SECONDS
    silent_after = table.interval * MISSED_ANNOUNCEMENTS + LATENESS_SECONDS
    for searcher_id, known in list(table.searchers.items()):
        age = now - known.heard_at
        if age > GONE_SECONDS:
            table.searchers.pop(searcher_id)
        elif age > silent_after and known.record.state in {READY, LEAVING}:
            yield from _fall_silent(known, node, now)


def _fall_silent(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    is_leaving = known.record.state == LEAVING
    known.record.state = GONE if is_leaving else SILENT
    yield LogEvent(
        EVENT_SEARCHER_SILENT,
        searcher=known.record.searcher_id,
        service=known.record.service,
        age=round(now - known.heard_at, 3),
    )
    yield from _tell(known, node, now)
