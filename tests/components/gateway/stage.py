"""Builders for tables, routes and searchers of an entry host."""

from __future__ import annotations

from random import Random
from types import MappingProxyType

from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.gateway.document import (
    CallerLimits,
    Document,
    Route,
    Service,
    Target,
)
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.updates import (
    apply_deployment,
    apply_searcher_updates,
    update_hosts,
)
from snipejunction.components.registration.const import READY
from snipejunction.components.registration.messages import (
    SearcherRecord,
    SearcherUpdate,
)

NAME = '10.0.0.1:7001'
REGIONS = MappingProxyType({'near': 'one', 'beside': 'one', 'far': 'two'})
LIMITS = CallerLimits(16384, 262144, 3, 15)


def make_table(
    name: str = NAME,
    ratio: float = 0.2,
    started: float = -60.0,
) -> GatewayTable:
    """Return the tables of an entry host in the data centre ``near``."""
    limits = RepeatLimits(ratio, 60, 10)
    table = GatewayTable(
        name, 'near', dict(REGIONS), limits, Random(1), started
    )
    set_entries(table, [name])
    return table


def make_route(name: str = 'r', **fields) -> Route:
    """Return a route to one service, or to ``shards``."""
    fields.setdefault('is_idempotent', True)
    fields.setdefault('timeout', 1.0)
    fields.setdefault('objective', 0.2)
    fields.setdefault('attempts', 2)
    if 'shards' not in fields:
        fields.setdefault('targets', (Target('s', 1),))
    return Route(name, 'a.example', '/p/', **fields)


def install_document(table: GatewayTable, *routes: Route, **service) -> None:
    """Apply a document with ``routes`` and their services."""
    names = {name for route in routes for name in route.shards}
    names |= {target.service for route in routes for target in route.targets}
    service.setdefault('max_connections', 30)
    service.setdefault('cold_seconds', 3.0)
    service.setdefault('cold_rate', 0.0)
    services = {name: Service(name, **service) for name in names}
    document = Document(1, routes, services, LIMITS)
    update = DeploymentUpdate(1, 1, b'', {})
    update.sender = 'c1'
    list(apply_deployment(update, table, lambda content: document, 0))


def make_record(
    searcher_id: str,
    service: str = 's',
    *,
    data_centre: str = 'near',
    sequence: int = 1,
    born_ms: int = 1,
    state: int = READY,
    cold: float = 0,
) -> SearcherRecord:
    """Return a record of a searcher with three slots."""
    return SearcherRecord(
        searcher_id,
        service,
        '10.9.0.1:80',
        data_centre,
        3,
        cold,
        born_ms,
        sequence,
        state,
    )


def report_searchers(
    table: GatewayTable,
    *records: SearcherRecord,
    sender: str = 'c1',
    now: float = 0.0,
) -> None:
    """Apply searcher records as if a control host sent them."""
    update = SearcherUpdate(list(records))
    update.sender = sender
    list(apply_searcher_updates(update, table, now))


def set_entries(table: GatewayTable, names: list[str]) -> None:
    """Apply a list of entry hosts in the data centre ``near``."""
    records = [EntryRecord(name, name, 'near', 'one') for name in names]
    update = HostsUpdate({'c1': 'near'}, records, False)
    update.sender = 'c1'
    update_hosts(update, table, 0)
