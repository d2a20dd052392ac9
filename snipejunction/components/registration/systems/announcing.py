"""What announcements change, and who is told of it.

Each control host tells the other control hosts what it hears itself, and its
entry hosts what any control host hears.
"""

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
    SILENT,
    STATE_NAMES,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
    SearcherNews,
    SearcherRecord,
)
from snipejunction.components.registration.tables import KnownSearcher
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle, listen, on_tick
from snipejunction.messages import PeerLost
from snipejunction.node import Node

_SWEEP_SECONDS: Final = 0.5


def news_for_entry(name: str, node: Node, now: float) -> Iterator[Command]:
    """Send all that is known to an entry host that is new here."""
    searchers = node.registration.searchers.values()
    records = [known.describe(_state_of(known), now) for known in searchers]
    if records:
        yield SendPeer(name, SearcherNews(records))


def news_for_control(name: str, node: Node, now: float) -> Iterator[Command]:
    """Send all that this host heard itself to another control host."""
    records = [
        known.describe(_own_state_of(known, node), now)
        for known in node.registration.searchers.values()
        if node.name in known.silent_by_sender
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
    known = node.registration.searchers.get(record.searcher_id)
    if known is not None and _is_stale(record, known):
        yield LogEvent(
            EVENT_ANNOUNCEMENT_STALE,
            searcher=record.searcher_id,
            sequence=record.sequence,
            known=known.record.sequence,
        )
        return
    yield from _hear(record, node.name, node, now)
    known = node.registration.searchers.get(record.searcher_id)
    if known is not None:
        known.heard_at = now


def _is_stale(record: SearcherRecord, known: KnownSearcher) -> bool:
    if known.is_replaced_by(record):
        return False
    if known.record.state == GONE:
        return True
    if record.born_ms != known.record.born_ms:
        return True
    return record.sequence <= known.record.sequence


def _hear(
    record: SearcherRecord,
    sender: str,
    node: Node,
    now: float,
) -> Iterator[Command]:
    searchers = node.registration.searchers
    known = searchers.get(record.searcher_id)
    own_before = None if known is None else _own_silence(known, node)
    is_changed = True
    if known is None or known.is_replaced_by(record):
        if known is None and len(searchers) >= MAX_SEARCHERS:
            return
        known = KnownSearcher(record, sender, now)
        searchers[record.searcher_id] = known
        yield LogEvent(
            EVENT_SEARCHER_NEW,
            searcher=record.searcher_id,
            service=record.service,
            address=record.address,
            cold_left=record.cold_left,
        )
    else:
        is_changed = known.hear(record, sender, now)
        if is_changed:
            yield _state_event(known)
    if is_changed:
        yield from _tell_entries(known, node, now)
    # Others need this host's own report even if it changes nothing here.
    has_own_news = is_changed or _own_silence(known, node) != own_before
    if sender == node.name and has_own_news:
        yield from _tell_controls(known, node, now)


def _own_silence(known: KnownSearcher, node: Node) -> bool | None:
    """Return whether it is silent here, None if it was never heard here."""
    return known.silent_by_sender.get(node.name)


@handle.register
def _take_news(
    message: SearcherNews,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for record in message.searchers:
        yield from _hear(record, message.sender, node, now)


@handle.register
def _take_leave(
    message: SearcherLeft,
    node: Node,
    now: float,
) -> Iterator[Command]:
    known = node.registration.searchers.get(message.searcher_id)
    if known is None:
        # Other hosts may know it.
        gone = SearcherRecord(message.searcher_id, '', '', '', 0, 0, 0, 0, GONE)
    else:
        gone = known.describe(GONE, now)
    yield from _hear(gone, node.name, node, now)


def _state_of(known: KnownSearcher) -> int:
    return SILENT if known.is_silent else known.record.state


def _own_state_of(known: KnownSearcher, node: Node) -> int:
    if known.record.state != GONE and _own_silence(known, node):
        return SILENT
    return known.record.state


def _state_event(known: KnownSearcher) -> LogEvent:
    return LogEvent(
        EVENT_SEARCHER_STATE,
        searcher=known.searcher_id,
        service=known.record.service,
        state=STATE_NAMES[_state_of(known)],
        sequence=known.record.sequence,
    )


def _tell_entries(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    news = SearcherNews([known.describe(_state_of(known), now)])
    for name in node.deployment.listeners:
        yield SendPeer(name, news)


def _tell_controls(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    news = SearcherNews([known.describe(_own_state_of(known, node), now)])
    for name in node.consensus.other_names(GROUP_DEPLOYMENT, node.name):
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
        if _is_forgotten(known, now):
            table.searchers.pop(searcher_id)
        elif _is_watched(known, node):
            age = now - known.heard_at
            if age > silent_after:
                yield from _fall_silent(known, age, node, now)


def _is_forgotten(known: KnownSearcher, now: float) -> bool:
    is_over = known.is_silent or known.record.state == GONE
    return is_over and now > known.learned_at + GONE_SECONDS


def _is_watched(known: KnownSearcher, node: Node) -> bool:
    """Return whether this host heard it and has to notice its silence."""
    if known.record.state == GONE:
        return False
    return _own_silence(known, node) is False


def _fall_silent(
    known: KnownSearcher,
    age: float,
    node: Node,
    now: float,
) -> Iterator[Command]:
    yield LogEvent(
        EVENT_SEARCHER_SILENT,
        searcher=known.searcher_id,
        service=known.record.service,
        age=round(age, 3),
    )
    # A leaving searcher that nobody hears has ended.
    is_last = all(
        is_silent
        for sender, is_silent in known.silent_by_sender.items()
        if sender != node.name
    )
    has_ended = is_last and known.record.state == LEAVING
    state = GONE if has_ended else SILENT
    yield from _hear(known.describe(state, now), node.name, node, now)
    known.learned_at = now


def _lose_control(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Take over the searchers that only a lost control host heard."""
    for known in node.registration.searchers.values():
        if known.silent_by_sender.pop(notice.host, None) is not False:
            continue
        if False not in known.silent_by_sender.values():
            known.silent_by_sender[node.name] = False
            known.heard_at = now
    return iter(())


listen(PeerLost, _lose_control)
