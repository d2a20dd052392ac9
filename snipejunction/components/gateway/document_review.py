"""What a valid deployment document holds that cannot be meant."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

from snipejunction.components.gateway.document import (
    CallerLimits,
    Customer,
    Document,
    Route,
)
from snipejunction.helpers.records import Record, field_names

# Field of customers that holds digests.
_KEYS: Final = 'key_digests'


class Remark(Record):
    """A remark on the entry of a document at ``path``."""

    __slots__ = ('path', 'problem')

    def __init__(self, path: str, problem: str) -> None:
        """Create a remark."""
        self.path = path
        self.problem = problem

    def __str__(self) -> str:
        """Return a line of text."""
        return f'{self.path}: {self.problem}'


def review_document(
    document: Document, regions: Collection[str] = ()
) -> Iterator[Remark]:
    """Yield remarks on entries that have no effect or contradict each other.

    ``regions`` are those that have a data centre; without any, the regions of
    routes and customers are not checked.
    """
    for route in document.routes:
        yield from _review_route(route)
        yield from _review_regions(f'routes/{route.name}', route, regions)
    used = {name for route in document.routes for name in route.services}
    for service in document.services:
        if service not in used:
            yield Remark(f'services/{service}', 'no route uses it')
    yield from _review_limits(document.limits)
    for customer in document.customers.values():
        yield from _review_customer(customer, document.routes)
        yield from _review_regions(
            f'customers/{customer.name}', customer, regions
        )


def review_version(old: Document, new: Document) -> Iterator[Remark]:
    """Yield a remark if the version in force would stay."""
    if new.version <= old.version:
        yield Remark(
            'version',
            f'{new.version} is not above {old.version}, which stays in force',
        )


def compare_documents(old: Document, new: Document) -> Iterator[Remark]:
    """Yield what differs between the version in force and a new one."""
    yield from _compare_entries(
        'routes',
        {route.name: route for route in old.routes},
        {route.name: route for route in new.routes},
    )
    yield from _compare_entries('services', old.services, new.services)
    if old.needs_keys != new.needs_keys:
        needed = 'keys' if new.needs_keys else 'no keys'
        yield Remark('customers', f'requests need {needed}')
    yield from _compare_entries('customers', old.customers, new.customers)
    yield from _compare_fields('limits', old.limits, new.limits)


def _review_route(route: Route) -> Iterator[Remark]:
    path = f'routes/{route.name}'
    if route.timeout < route.objective:
        yield Remark(
            path,
            f'the timeout of {route.timeout:g} s is below the objective of '
            f'{route.objective:g} s',
        )
    for target in route.targets:
        if not target.weight:
            yield Remark(path, f'{target.service} has weight 0')
    if len(set(route.services)) < len(route.services):
        yield Remark(path, 'a service stands in it twice')
    if not route.shards:
        return
    if route.min_share > 1:
        yield Remark(path, f'no answer has a share of {route.min_share:g}')
    if not route.top:
        yield Remark(path, 'its answers hold no records')


def _review_customer(
    customer: Customer, routes: Iterable[Route]
) -> Iterator[Remark]:
    path = f'customers/{customer.name}'
    if not customer.key_digests:
        yield Remark(path, 'without keys it can send no request')
    if customer.burst and not customer.rate:
        yield Remark(path, 'a burst without a rate has no effect')
    if customer.rate and customer.burst < 1:
        yield Remark(
            path,
            f'a burst of {customer.burst:g} is below one request and counts '
            'as 1',
        )
    for route in routes:
        # A key counts on public routes, too.
        is_bound = customer.regions and route.regions
        if is_bound and customer.regions.isdisjoint(route.regions):
            yield Remark(
                path,
                f'no region in common with route {route.name}, which can '
                'never serve it',
            )


def _review_regions(
    path: str, entry: Route | Customer, regions: Collection[str]
) -> Iterator[Remark]:
    if not regions:
        return
    for region in sorted(entry.regions.difference(regions)):
        yield Remark(path, f'region {region} has no data centre')


def _review_limits(limits: CallerLimits) -> Iterator[Remark]:
    if not limits.header_seconds:
        yield Remark('limits', 'no time for a request')
    if not limits.idle_seconds:
        yield Remark('limits', 'no time between requests')


def _compare_entries(
    path: str, old: Mapping[str, Record], new: Mapping[str, Record]
) -> Iterator[Remark]:
    for name in sorted(old.keys() - new.keys()):
        yield Remark(f'{path}/{name}', 'removed')
    for added in sorted(new.keys() - old.keys()):
        yield Remark(f'{path}/{added}', 'added')
    for kept in sorted(old.keys() & new.keys()):
        yield from _compare_fields(f'{path}/{kept}', old[kept], new[kept])


def _compare_fields(path: str, old: Record, new: Record) -> Iterator[Remark]:
    for name in field_names(type(new)):
        before, after = getattr(old, name), getattr(new, name)
        if name == _KEYS:
            yield from _compare_keys(path, before, after)
        elif before != after:
            yield Remark(
                f'{path}/{name}',
                f'{_describe(before)} becomes {_describe(after)}',
            )


def _compare_keys(
    path: str, old: Collection[bytes], new: Collection[bytes]
) -> Iterator[Remark]:
    """Yield how many keys differ: nothing that is made from keys is shown."""
    removed = len(set(old).difference(new))
    added = len(set(new).difference(old))
    if removed or added:
        yield Remark(f'{path}/keys', f'{removed} removed, {added} added')


def _describe(field: object) -> str:
    """Return a field as text that is the same in each run."""
    if isinstance(field, frozenset):
        return ', '.join(sorted(field)) or 'all'
    return repr(field)
