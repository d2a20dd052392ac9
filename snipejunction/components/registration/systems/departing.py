"""Departures of searchers: replicated first, acknowledged afterwards.

What is acknowledged to a searcher that leaves has to survive the restart of
any control host, so it is an entry of the deployment log. All hosts learn of
it at once, without waiting for the log.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from functools import singledispatch

from snipejunction.commands import Command
from snipejunction.components.deployment.messages import OrderRequest
from snipejunction.components.registration.const import GONE
from snipejunction.components.registration.messages import (
    DepartureEntry,
    DepartureRequest,
    SearcherAnnounced,
    SearcherLeft,
    SearcherRecord,
)
from snipejunction.components.registration.systems.announcing import (
    apply_record,
    report_state,
)
from snipejunction.components.registration.tables import KnownSearcher
from snipejunction.handling import handle
from snipejunction.messages import Message
from snipejunction.node import Node


@handle.register
def _handle_departure(
    message: DepartureRequest, node: Node, now: float
) -> Iterator[Command]:
    departure = find_departure(message.notice, node, now)
    yield from handle(message.notice, node, now)
    order = OrderRequest(message.call_id, DepartureEntry(departure))
    yield from handle(order, node, now)


@handle.register
def _handle_leave(
    message: SearcherLeft, node: Node, now: float
) -> Iterator[Command]:
    departure = find_departure(message, node, now)
    yield from apply_record(departure, node.name, node, now)


@singledispatch
def find_departure(notice: Message, node: Node, now: float) -> SearcherRecord:
    """Return the record of the start that a notice is about."""
    raise TypeError(f'{type(notice).__name__} is not about a departure')


@find_departure.register
def _find_announced(
    notice: SearcherAnnounced, node: Node, now: float
) -> SearcherRecord:
    # The systems change the record of the notice.
    return copy(notice.searcher)


@find_departure.register
def _find_left(notice: SearcherLeft, node: Node, now: float) -> SearcherRecord:
    """Return the record of the start that has ended.

    If this host does not hear that start, the record has no service, and its
    ``born_ms`` bounds the time of the start.
    """
    known = node.registration.searchers.get(notice.searcher_id)
    if known is not None and _is_heard(known, notice):
        return known.to_record(GONE, now)
    latest_ms = notice.born_ms
    if latest_ms is None:
        known_ms = 0 if known is None else known.record.born_ms
        latest_ms = max(notice.received_ms, known_ms)
    return SearcherRecord(
        notice.searcher_id, '', '', '', 0, 0, latest_ms, 0, GONE
    )


def _is_heard(known: KnownSearcher, notice: SearcherLeft) -> bool:
    if known.is_silent or not known.record.service:
        return False
    return notice.born_ms in {None, known.record.born_ms}


def apply_departure(
    departure: SearcherRecord, node: Node, now: float
) -> Iterator[Command]:
    """Apply a committed departure to the searcher if it is listed."""
    known = node.registration.searchers.get(departure.searcher_id)
    if known is not None:
        yield from _apply_to_listed(known, node, now)


def apply_all_departures(node: Node, now: float) -> Iterator[Command]:
    """Apply the committed departures to all searchers that are listed."""
    for known in node.registration.searchers.values():
        yield from _apply_to_listed(known, node, now)


def _apply_to_listed(
    known: KnownSearcher, node: Node, now: float
) -> Iterator[Command]:
    if known.apply_departure(node.deployment.state.departures):
        known.updated_at = now
        yield from report_state(known, node, now)
