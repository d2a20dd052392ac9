"""What an entry host takes over from control hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final, TypeAlias

from snipejunction.commands import Command, LogEvent
from snipejunction.components.deployment.messages import (
    DeploymentFed,
    HostsFed,
)
from snipejunction.components.gateway.const import (
    EVENT_DOCUMENT_TAKEN,
    EVENT_DOCUMENT_UNREADABLE,
    EVENT_DRAIN_LEARNED,
    EVENT_SEARCHER_LEARNED,
)
from snipejunction.components.gateway.document import Document
from snipejunction.components.gateway.routing import RouteIndex
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.const import GONE, SILENT
from snipejunction.components.registration.messages import (
    SearcherNews,
    SearcherRecord,
)
from snipejunction.errors import SettingsError

_STATE_NAMES: Final = ('ready', 'leaving', 'silent', 'gone')
ReadDocument: TypeAlias = Callable[[bytes], Document]


def take_deployment(
    message: DeploymentFed,
    table: GatewayTable,
    read: ReadDocument,
    now: float,
) -> Iterator[Command]:
    """Put a newer deployment in force; older ones change nothing."""
    if message.index <= table.index:
        return
    held = 0 if table.document is None else table.document.version
    if message.version > held:
        try:
            document = read(message.content)
        except SettingsError as error:
            yield LogEvent(
                EVENT_DOCUMENT_UNREADABLE,
                version=message.version,
                reason=str(error),
            )
            return
        if table.document is None:
            table.document_at = now
        table.document = document
        table.routes = RouteIndex(document.routes)
        _forget_routes(table, document)
        yield LogEvent(
            EVENT_DOCUMENT_TAKEN,
            version=message.version,
            index=message.index,
            source=message.sender,
        )
    table.index = message.index
    for data_centre, is_out in message.out.items():
        yield from _take_drain(data_centre, is_out, table, now)


def _forget_routes(table: GatewayTable, document: Document) -> None:
    names = {route.name for route in document.routes}
    for name in list(table.times):
        if name not in names:
            table.times.pop(name)


def _take_drain(
    data_centre: str,
    is_out: bool,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    if table.out.get(data_centre, False) == is_out:
        return
    table.out[data_centre] = is_out
    yield LogEvent(
        EVENT_DRAIN_LEARNED,
        data_centre=data_centre,
        is_out=is_out,
    )
    if is_out:
        return
    # Searchers of a data centre that returns may have turned cold while
    # nobody asked them.
    for upstream in table.upstreams.values():
        if upstream.record.data_centre == data_centre:
            service = table.service(upstream.record.service)
            cold_seconds = 0.0 if service is None else service.cold_seconds
            upstream.cold_until = max(upstream.cold_until, now + cold_seconds)


def take_hosts(message: HostsFed, table: GatewayTable) -> None:
    """Note which hosts the sender knows."""
    table.controls_by_sender[message.sender] = message.controls
    table.entries_by_sender[message.sender] = message.entries


def control_connected(name: str, table: GatewayTable) -> None:
    """Drop what a control host said before; it tells all it knows anew."""
    for upstream in table.upstreams.values():
        if len(upstream.silent_by_sender) > 1:
            upstream.silent_by_sender.pop(name, None)


def lose_control(name: str, table: GatewayTable) -> None:
    """Forget what a lost control host knew, unless it was the last one."""
    if len(table.controls_by_sender) > 1:
        table.controls_by_sender.pop(name, None)
        table.entries_by_sender.pop(name, None)


def take_searchers(
    message: SearcherNews,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    """Take what control hosts heard of searchers; the newest news hold."""
    for record in message.searchers:
        if _take_searcher(record, message.sender, table, now):
            yield LogEvent(
                EVENT_SEARCHER_LEARNED,
                searcher=record.searcher_id,
                service=record.service,
                state=_STATE_NAMES[record.state],
                sequence=record.sequence,
            )


def _take_searcher(
    record: SearcherRecord,
    sender: str,
    table: GatewayTable,
    now: float,
) -> bool:
    known = table.upstreams.get(record.searcher_id)
    if known is None:
        if not record.service:
            return False
        known = Upstream(record, now)
        _add(known, table)
        known.silent_by_sender[sender] = record.state == SILENT
        return True
    if record.born_ms == known.record.born_ms:
        was_silent = known.is_silent
        known.silent_by_sender[sender] = record.state == SILENT
        if record.state == SILENT:
            # Another control host may hear it: the record stays as it is.
            return known.is_silent != was_silent
    if not _is_news(record, known.record):
        return False
    if not record.service:
        # The sender knows only that it is gone.
        known.record.state = record.state
        return True
    if record.born_ms != known.record.born_ms:
        fresh = Upstream(record, now)
        fresh.silent_by_sender[sender] = record.state == SILENT
        _add(fresh, table)
        return True
    if record.service != known.record.service:
        table.upstreams_by_service[known.record.service].pop(
            record.searcher_id,
            None,
        )
        _add(known, table, record.service)
    known.record = record
    known.learned_at = now
    if record.cold_left:
        known.cold_until = now + record.cold_left
    return True


def _is_news(record: SearcherRecord, known: SearcherRecord) -> bool:
    if record.service and record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.state == GONE:
        return False
    if record.state == GONE:
        return True
    return record.sequence > known.sequence


def _add(upstream: Upstream, table: GatewayTable, service: str = '') -> None:
    name = service or upstream.record.service
    table.upstreams[upstream.searcher_id] = upstream
    of_service = table.upstreams_by_service.setdefault(name, {})
    of_service[upstream.searcher_id] = upstream


def forget_gone(table: GatewayTable) -> None:
    """Drop searchers that are gone and have nothing in flight."""
    for searcher_id, upstream in list(table.upstreams.items()):
        if upstream.record.state == GONE and not upstream.in_flight:
            service = upstream.record.service
            table.upstreams_by_service[service].pop(searcher_id, None)
