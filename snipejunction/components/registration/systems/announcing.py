"""Handling of announcements and distribution of searcher updates.

Each control host sends the status of the searchers that announce themselves
to it to the other control hosts, and the status merged from all control hosts
to its entry hosts. Ends of searchers are sent at once. Other changes are sent
once a tick: after a power failure all searchers announce themselves within
about a second, and one message for each of them to each host would occupy the
control hosts for longer than the election that takes place meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.registration.const import (
    EVENT_ANNOUNCEMENT_DEPARTED,
    EVENT_ANNOUNCEMENT_STALE,
    EVENT_SEARCHER_NEW,
    EVENT_SEARCHER_SILENT,
    EVENT_SEARCHER_STATE,
    GONE,
    GONE_RETENTION_SECONDS,
    LEAVING,
    MAX_ANNOUNCEMENT_DELAY_SECONDS,
    MAX_MISSED_ANNOUNCEMENTS,
    MAX_SEARCHERS,
    MAX_SENT_DEPARTURES,
    MAX_UPDATE_RECORDS,
    SILENT,
    STATE_NAMES,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherRecord,
    SearcherUpdate,
)
from snipejunction.components.registration.tables import (
    KnownSearcher,
    RegistrationTable,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import PeerLost
from snipejunction.node import Node

_SWEEP_INTERVAL_SECONDS: Final = 0.5
# States after which a searcher must get no more work.
_URGENT_STATES: Final = frozenset((LEAVING, GONE))


def send_searchers_to_entry(
    name: str, node: Node, now: float
) -> Iterator[Command]:
    """Send all searchers to an entry host that subscribed.

    Another control host may not know yet that a searcher has left, so recent
    departures are sent, too.
    """
    searchers = node.registration.searchers
    records = [
        known.to_record(_merged_state(known), now)
        for known in searchers.values()
    ]
    departures = node.deployment.state.departures.newest(MAX_SENT_DEPARTURES)
    records.extend(
        departure.with_state(GONE)
        for departure in departures
        if departure.searcher_id not in searchers
    )
    for update in _make_updates(records):
        yield SendPeer(name, update)


def send_searchers_to_control(
    name: str, node: Node, now: float
) -> Iterator[Command]:
    """Send the searchers reported by this host to another control host."""
    records = [
        known.to_record(_local_state(known, node), now)
        for known in node.registration.searchers.values()
        if node.name in known.silent_by_sender
    ]
    for update in _make_updates(records):
        yield SendPeer(name, update)


def _make_updates(records: list[SearcherRecord]) -> Iterator[SearcherUpdate]:
    for start in range(0, len(records), MAX_UPDATE_RECORDS):
        yield SearcherUpdate(records[start : start + MAX_UPDATE_RECORDS])


@handle.register
def _handle_announcement(
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
    yield from apply_record(record, node.name, node, now)
    known = node.registration.searchers.get(record.searcher_id)
    if known is not None:
        known.announced_at = now


def _is_stale(record: SearcherRecord, known: KnownSearcher) -> bool:
    if known.is_superseded_by(record):
        return False
    if known.record.state == GONE:
        return True
    if record.born_ms != known.record.born_ms:
        return True
    return record.sequence <= known.record.sequence


def apply_record(
    record: SearcherRecord,
    sender: str,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Apply a record that a control host reports; send what changed."""
    departures = node.deployment.state.departures
    searchers = node.registration.searchers
    known = searchers.get(record.searcher_id)
    if known is None and departures.state_of(record) == GONE:
        yield LogEvent(
            EVENT_ANNOUNCEMENT_DEPARTED,
            searcher=record.searcher_id,
            sequence=record.sequence,
        )
        return
    was_silent_here = None if known is None else _is_silent_here(known, node)
    is_changed = True
    if known is None or known.is_superseded_by(record):
        if known is None and len(searchers) >= MAX_SEARCHERS:
            return
        known = KnownSearcher(record, sender, now)
        known.apply_departure(departures)
        searchers[record.searcher_id] = known
        yield LogEvent(
            EVENT_SEARCHER_NEW,
            searcher=record.searcher_id,
            service=record.service,
            address=record.address,
            cold_left=record.cold_left,
        )
    else:
        is_changed = known.apply_record(record, sender, now)
        is_changed = known.apply_departure(departures) or is_changed
        if is_changed:
            yield _state_event(known)
    if is_changed:
        yield from _notify_entries(known, node, now)
    # A change of the local status matters to the other control hosts even if
    # the merged status stays the same.
    has_local_change = (
        is_changed or _is_silent_here(known, node) != was_silent_here
    )
    if sender == node.name and has_local_change:
        yield from _notify_controls(known, node, now)


def _is_silent_here(known: KnownSearcher, node: Node) -> bool | None:
    """Return whether announcements to this host stopped, None if none came."""
    return known.silent_by_sender.get(node.name)


@handle.register
def _handle_update(
    message: SearcherUpdate,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for record in message.searchers:
        yield from apply_record(record, message.sender, node, now)


def report_state(
    known: KnownSearcher, node: Node, now: float
) -> Iterator[Command]:
    """Log the state of a searcher and send it to the entry hosts."""
    yield _state_event(known)
    yield from _notify_entries(known, node, now)


def _merged_state(known: KnownSearcher) -> int:
    state = known.record.state
    if not known.is_silent:
        return state
    # A leaving searcher that is silent at all control hosts has ended.
    return GONE if state in _URGENT_STATES else SILENT


def _local_state(known: KnownSearcher, node: Node) -> int:
    if known.record.state != GONE and _is_silent_here(known, node):
        return SILENT
    return known.record.state


def _state_event(known: KnownSearcher) -> LogEvent:
    return LogEvent(
        EVENT_SEARCHER_STATE,
        searcher=known.searcher_id,
        service=known.record.service,
        state=STATE_NAMES[_merged_state(known)],
        sequence=known.record.sequence,
    )


def _notify_entries(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if known.record.state not in _URGENT_STATES:
        node.registration.unsent_to_entries[known.searcher_id] = None
        return
    yield from _send_to_entries(
        [known.to_record(_merged_state(known), now)], node
    )


def _notify_controls(
    known: KnownSearcher,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if known.record.state not in _URGENT_STATES:
        node.registration.unsent_to_controls[known.searcher_id] = None
        return
    yield from _send_to_controls(
        [known.to_record(_local_state(known, node), now)], node
    )


@on_tick
def run_searcher_updates(node: Node, now: float) -> Iterator[Command]:
    """Send the changes of searchers since the last tick in one message."""
    table = node.registration
    merged = [
        known.to_record(_merged_state(known), now)
        for known in _pop_unsent(table.unsent_to_entries, table)
    ]
    yield from _send_to_entries(merged, node)
    local = [
        known.to_record(_local_state(known, node), now)
        for known in _pop_unsent(table.unsent_to_controls, table)
    ]
    yield from _send_to_controls(local, node)


def _send_to_entries(
    records: list[SearcherRecord], node: Node
) -> Iterator[Command]:
    for update in _make_updates(records):
        for name in node.deployment.subscribers:
            yield SendPeer(name, update)


def _send_to_controls(
    records: list[SearcherRecord], node: Node
) -> Iterator[Command]:
    for update in _make_updates(records):
        for name in node.consensus.other_names(GROUP_DEPLOYMENT, node.name):
            yield SendPeer(name, update)


def _pop_unsent(
    unsent: dict[str, None], table: RegistrationTable
) -> list[KnownSearcher]:
    searchers = [
        table.searchers[searcher_id]
        for searcher_id in unsent
        if searcher_id in table.searchers
    ]
    unsent.clear()
    return searchers


@on_tick
def run_sweep(node: Node, now: float) -> Iterator[Command]:
    """Mark searchers without announcements as silent; drop expired ones."""
    table = node.registration
    if now < table.sweep_due or not table.searchers:
        return
    # A host that did not run received no announcements either.
    pause = now - table.sweep_due
    if pause > _SWEEP_INTERVAL_SECONDS:
        for known in table.searchers.values():
            known.announced_at = min(now, known.announced_at + pause)
    table.sweep_due = now + _SWEEP_INTERVAL_SECONDS
    silent_after = (
        table.interval * MAX_MISSED_ANNOUNCEMENTS
        + MAX_ANNOUNCEMENT_DELAY_SECONDS
    )
    for searcher_id, known in list(table.searchers.items()):
        if _is_expired(known, now):
            table.searchers.pop(searcher_id)
            table.limits.pop(searcher_id, None)
        elif _is_monitored(known, node):
            age = now - known.announced_at
            if age > silent_after:
                yield from _mark_silent(known, age, node, now)


def _is_expired(known: KnownSearcher, now: float) -> bool:
    is_over = known.is_silent or known.record.state == GONE
    return is_over and now > known.updated_at + GONE_RETENTION_SECONDS


def _is_monitored(known: KnownSearcher, node: Node) -> bool:
    """Return whether this host has to check for missing announcements."""
    if known.record.state == GONE:
        return False
    return _is_silent_here(known, node) is False


def _mark_silent(
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
    # A leaving searcher that is silent at all control hosts has ended.
    is_silent_elsewhere = all(
        is_silent
        for sender, is_silent in known.silent_by_sender.items()
        if sender != node.name
    )
    has_ended = is_silent_elsewhere and known.record.state == LEAVING
    state = GONE if has_ended else SILENT
    yield from apply_record(known.to_record(state, now), node.name, node, now)
    known.updated_at = now


def _take_over_searchers(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Monitor the searchers that only a lost control host received."""
    for known in node.registration.searchers.values():
        if known.silent_by_sender.pop(notice.host, None) is not False:
            continue
        if False not in known.silent_by_sender.values():
            known.silent_by_sender[node.name] = False
            known.announced_at = now
    return iter(())


add_listener(PeerLost, _take_over_searchers)
