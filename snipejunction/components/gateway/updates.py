"""Application of updates from control hosts to the tables of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final, TypeAlias

from snipejunction.commands import Command, LogEvent
from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    HostsUpdate,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.components.gateway.const import (
    EVENT_DOCUMENT_APPLIED,
    EVENT_DOCUMENT_UNREADABLE,
    EVENT_DRAIN_CHANGED,
    EVENT_SEARCHER_CHANGED,
)
from snipejunction.components.gateway.document import Document
from snipejunction.components.gateway.routing import RouteIndex
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.const import (
    GONE,
    GONE_RETENTION_SECONDS,
    STATE_NAMES,
)
from snipejunction.components.registration.messages import (
    SearcherRecord,
    SearcherUpdate,
)
from snipejunction.errors import SettingsError

# Sender name under which the host list of the last control host that named
# entry hosts is kept once that host is lost.
_LOST_SENDER: Final = ''
ReadDocument: TypeAlias = Callable[[bytes], Document]


def apply_deployment(
    message: DeploymentUpdate,
    table: GatewayTable,
    read: ReadDocument,
    now: float,
) -> Iterator[Command]:
    """Apply a deployment if it is newer than the current one."""
    if message.index <= table.index:
        return
    is_first = table.index == 0
    current = 0 if table.document is None else table.document.version
    if message.version > current:
        try:
            document = read(unpack_document(message.content))
        except SettingsError as error:
            yield LogEvent(
                EVENT_DOCUMENT_UNREADABLE,
                version=message.version,
                reason=str(error),
            )
            return
        if table.document is None:
            table.first_document_at = now
        table.document = document
        table.routes = RouteIndex(document.routes)
        _drop_removed_routes(table, document)
        yield LogEvent(
            EVENT_DOCUMENT_APPLIED,
            version=message.version,
            index=message.index,
            source=message.sender,
        )
    table.index = message.index
    yield from table.rollouts.apply(
        message.rollouts or (),
        message.versions or {},
        message.index,
        now,
        is_first=is_first,
    )
    for data_centre, is_out in message.out.items():
        yield from _apply_drain(data_centre, is_out, table, now)


def _drop_removed_routes(table: GatewayTable, document: Document) -> None:
    names = {route.name for route in document.routes}
    for name in list(table.latencies):
        if name not in names:
            table.latencies.pop(name)
    table.scheduling.drop_other_routes(names)


def _apply_drain(
    data_centre: str,
    is_out: bool,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    if table.drained.get(data_centre, False) == is_out:
        return
    table.drained[data_centre] = is_out
    yield LogEvent(
        EVENT_DRAIN_CHANGED,
        data_centre=data_centre,
        is_out=is_out,
    )
    if is_out:
        return
    # Searchers of a data centre that is no longer drained may have become
    # cold while they received no requests.
    for upstream in table.upstreams.values():
        if upstream.record.data_centre == data_centre:
            service = table.find_service(upstream.record.service)
            cold_seconds = 0.0 if service is None else service.cold_seconds
            upstream.cold_until = max(upstream.cold_until, now + cold_seconds)


def update_hosts(message: HostsUpdate, table: GatewayTable, now: float) -> None:
    """Store the list of hosts that the sender knows."""
    if message.controls and table.control_search.known_at is None:
        table.control_search.known_at = now
    table.hosts_by_sender[message.sender] = message
    if message.entries:
        table.hosts_by_sender.pop(_LOST_SENDER, None)
    table.refresh_active(now)


def remove_control(name: str, table: GatewayTable, now: float) -> None:
    """Drop what a lost control host reported.

    If no other control host names any entry hosts, its list of hosts is kept
    until one does.
    """
    lost = table.hosts_by_sender.pop(name, None)
    others = table.hosts_by_sender.values()
    if lost is not None and not any(update.entries for update in others):
        table.hosts_by_sender[_LOST_SENDER] = lost
    table.refresh_active(now)
    for upstream in table.upstreams.values():
        upstream.remove_sender(name)


def apply_searcher_updates(
    message: SearcherUpdate,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    """Apply records of searchers; older ones change nothing."""
    for record in message.searchers:
        if _apply_searcher(record, message.sender, table, now):
            yield LogEvent(
                EVENT_SEARCHER_CHANGED,
                searcher=record.searcher_id,
                service=record.service,
                state=STATE_NAMES[record.state],
                sequence=record.sequence,
            )


def _apply_searcher(
    record: SearcherRecord,
    sender: str,
    table: GatewayTable,
    now: float,
) -> bool:
    known = table.upstreams.get(record.searcher_id)
    if known is None or known.is_superseded_by(record):
        if record.service:
            _add_upstream(Upstream(record, sender, now), table)
        return bool(record.service)
    service = known.record.service
    is_changed = known.apply_record(record, sender, now)
    if known.record.service != service:
        table.upstreams_by_service[service].pop(record.searcher_id, None)
        _add_upstream(known, table)
    return is_changed


def _add_upstream(upstream: Upstream, table: GatewayTable) -> None:
    name = upstream.record.service
    table.upstreams[upstream.searcher_id] = upstream
    service_upstreams = table.upstreams_by_service.setdefault(name, {})
    service_upstreams[upstream.searcher_id] = upstream


def drop_gone_searchers(table: GatewayTable, now: float) -> None:
    """Drop searchers that are gone and have nothing in flight.

    Their ids are kept for ``GONE_RETENTION_SECONDS``, so that late updates
    do not add them again.
    """
    for searcher_id, upstream in list(table.upstreams.items()):
        if upstream.record.state != GONE or upstream.in_flight:
            continue
        service = upstream.record.service
        table.upstreams_by_service[service].pop(searcher_id, None)
        if now > upstream.updated_at + GONE_RETENTION_SECONDS:
            table.upstreams.pop(searcher_id)
