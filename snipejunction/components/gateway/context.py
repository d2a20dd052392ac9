"""What a request brings with it, beside its route."""

from __future__ import annotations

from snipejunction.components.gateway.document import Customer, Route
from snipejunction.helpers.records import Record


class RequestContext(Record):
    """On whose behalf a request is served, and how urgent it is.

    ``customer`` is a name, empty without one. ``priority`` is 0 for the most
    urgent requests. ``regions`` are those that may serve it; None stands for
    all, while an empty set allows none.
    """

    __slots__ = ('customer', 'priority', 'regions')

    def __init__(
        self,
        customer: str,
        priority: int,
        regions: frozenset[str] | None,
    ) -> None:
        """Create a context."""
        self.customer = customer
        self.priority = priority
        self.regions = regions

    def allows_region(self, region: str) -> bool:
        """Return whether searchers of a region may serve the request."""
        return self.regions is None or region in self.regions


def make_context(route: Route, customer: Customer | None) -> RequestContext:
    """Return the context of a request of a customer, None without one."""
    if customer is None:
        return RequestContext('', route.priority, route.regions or None)
    priority = customer.priority
    return RequestContext(
        customer.name,
        route.priority if priority is None else priority,
        _common_regions(route.regions, customer.regions),
    )


def _common_regions(
    of_route: frozenset[str], of_customer: frozenset[str]
) -> frozenset[str] | None:
    """Return the regions that both allow; empty sets allow all."""
    if of_route and of_customer:
        return of_route & of_customer
    return of_route or of_customer or None
