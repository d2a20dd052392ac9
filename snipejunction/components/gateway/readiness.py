"""Readiness of an entry host to serve requests."""

from __future__ import annotations

from snipejunction.components.gateway.const import (
    MIN_SERVED_ROUTE_SHARE,
    PREPARE_TIMEOUT_SECONDS,
)
from snipejunction.components.gateway.document import Document, Route
from snipejunction.components.gateway.tables import GatewayTable


def is_prepared(table: GatewayTable, now: float) -> bool:
    """Return whether the host knows enough searchers for its routes.

    A host stays prepared once it was: losing searchers later is not a fault
    of this host.
    """
    document = table.document
    if table.is_prepared or document is None:
        return table.is_prepared
    if now >= table.first_document_at + PREPARE_TIMEOUT_SECONDS:
        table.is_prepared = True
    else:
        table.is_prepared = _has_enough_searchers(document, table)
    return table.is_prepared


def _has_enough_searchers(document: Document, table: GatewayTable) -> bool:
    merged = [route for route in document.routes if route.shards]
    if not all(_has_searchers(route, table) for route in merged):
        return False
    single = [route for route in document.routes if not route.shards]
    served = sum(_has_searchers(route, table) for route in single)
    return served >= len(single) * MIN_SERVED_ROUTE_SHARE


def _has_searchers(route: Route, table: GatewayTable) -> bool:
    searchers = table.upstreams_by_service
    has_searchers = [bool(searchers.get(name)) for name in route.services]
    return sum(has_searchers) >= len(has_searchers) * route.min_share and any(
        has_searchers
    )
