"""Identification of the customers that send requests."""

from __future__ import annotations

from snipejunction.components.gateway.context import (
    RequestContext,
    make_context,
)
from snipejunction.components.gateway.customers import find_customer
from snipejunction.components.gateway.document import Document, Route
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.header_names import HeaderNames


def identify_request(
    request: CallerRequest,
    route: Route,
    document: Document,
    header_names: HeaderNames,
) -> RequestContext | None:
    """Return the context of a request, None if it lacks a customer's key."""
    keys = request.header_values(header_names.key)
    customer = find_customer(document, keys)
    if document.needs_keys and customer is None and not route.is_public:
        return None
    return make_context(route, customer)
