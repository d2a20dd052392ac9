"""Parser for the platform's configuration."""

from __future__ import annotations

from hashlib import sha256
from typing import Final

from snipejunction.components.gateway.document import (
    CallerLimits,
    Customer,
    Document,
    Route,
    Service,
    Target,
)
from snipejunction.errors import SettingsError
from snipejunction.platform.fields import Fields, parse_json

# Requests of routes of this kind may run more than once.
_KIND_SAFE: Final = 'safe'
_KINDS: Final = frozenset((_KIND_SAFE, 'unsafe'))
_DEFAULT_HEADER_BYTES: Final = 16384
_DEFAULT_BODY_BYTES: Final = 262144
_DEFAULT_HEADER_MS: Final = 3000
_DEFAULT_IDLE_MS: Final = 15000


def read_document(content: bytes) -> Document:
    """Parse the body of a configuration into a deployment document.

    Raises:
        SettingsError: if it is not valid; the error names the field.
    """
    fields = parse_json(content)
    document = _read_fields(fields)
    for route in fields.tables('routes'):
        _check_unused(route, document.services)
    _check_unique_prefixes(document.routes)
    _check_unique_customers(
        [_read_customer(customer) for customer in fields.tables('tenants')]
    )
    return document


def read_accepted_document(content: bytes) -> Document:
    """Parse a configuration that was accepted, maybe by an earlier release.

    What is checked has become stricter, but what was accepted is in force.

    Raises:
        SettingsError: if it cannot be obeyed.
    """
    return _read_fields(parse_json(content, takes_constants=True))


def _read_fields(fields: Fields) -> Document:
    services = {
        service.name: service
        for service in map(_read_service, fields.tables('services'))
    }
    routes = tuple(
        _read_route(route, services) for route in fields.tables('routes')
    )
    customers = None
    if fields.has('tenants'):
        customers = tuple(map(_read_customer, fields.tables('tenants')))
    return Document(
        fields.integer('version', lowest=1),
        routes,
        services,
        _read_limits(fields.table('limits')),
        customers,
    )


def _read_service(fields: Fields) -> Service:
    return Service(
        fields.string('name'),
        fields.integer('maxConns', 1, 1),
        fields.number('coldStartS', 0),
        fields.number('coldPerS', 0),
    )


def _read_route(fields: Fields, services: dict[str, Service]) -> Route:
    kind = fields.string('kind')
    if kind not in _KINDS:
        raise fields.error('kind', 'unknown')
    timeout = fields.seconds('timeoutMs')
    if timeout <= 0:
        raise fields.error('timeoutMs', 'not above 0')
    shards = fields.strings('gather')
    targets = () if shards else _read_targets(fields)
    if not shards and not targets:
        raise fields.error('service', 'missing')
    _check_known(fields, shards, targets, services)
    prefix = fields.string('pathPrefix')
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise fields.error('pathPrefix', 'not between slashes')
    return Route(
        fields.string('name'),
        fields.string('host'),
        prefix,
        # Requests for parts of a merged answer have no side effects.
        is_idempotent=kind == _KIND_SAFE or bool(shards),
        timeout=timeout,
        # sloMs is the latency up to which an answer has its full value.
        objective=fields.seconds('sloMs', timeout * 1000) or timeout,
        priority=fields.integer('priority', 0),
        attempts=fields.integer('attempts', 1, 1),
        shards=shards,
        targets=targets,
        top=fields.integer('topK', 0),
        min_share=fields.number('minShare', 0),
        regions=frozenset(fields.strings('homeRegions')),
        is_public=fields.boolean('public', default=False),
    )


def _read_customer(fields: Fields) -> Customer:
    name = fields.string('name')
    # The name is sent in a header.
    if not name.isprintable() or name != name.strip():
        raise fields.error('name', 'not printable text')
    digests = (
        sha256(key.encode()).digest() for key in fields.strings('apiKeys')
    )
    has_priority = fields.has('priority')
    return Customer(
        name,
        frozenset(digests),
        rate=fields.number('ratePerS', 0),
        burst=fields.number('burst', 0),
        priority=fields.integer('priority') if has_priority else None,
        regions=frozenset(fields.strings('homeRegions')),
    )


def _check_unique_customers(customers: list[Customer]) -> None:
    numbers: dict[str, int] = {}
    names_by_digest: dict[bytes, str] = {}
    for number, customer in enumerate(customers):
        path = f'/tenants/{customer.name}'
        first = numbers.setdefault(customer.name, number)
        if first != number:
            raise SettingsError(
                path, f'entries {first} and {number} have the same name'
            )
        for digest in customer.key_digests:
            holder = names_by_digest.setdefault(digest, customer.name)
            if holder != customer.name:
                raise SettingsError(
                    path, f'a key is also one of tenant {holder}'
                )


def _read_targets(fields: Fields) -> tuple[Target, ...]:
    targets = tuple(
        Target(backend.string('service'), backend.number('weight'))
        for backend in fields.tables('backends')
    )
    if targets and sum(target.weight for target in targets) <= 0:
        raise fields.error('backends', 'the weights add up to 0')
    if targets:
        return targets
    service = fields.string('service', '')
    return (Target(service, 1),) if service else ()


def _check_unused(fields: Fields, services: dict[str, Service]) -> None:
    """Check a service and backends that stand beside those in use."""
    targets = _read_targets(fields)
    service = fields.string('service', '')
    names = (service,) if service else ()
    _check_known(fields, names, targets, services)


def _check_known(
    fields: Fields,
    names: tuple[str, ...],
    targets: tuple[Target, ...],
    services: dict[str, Service],
) -> None:
    for name in (*names, *(target.service for target in targets)):
        if name not in services:
            raise fields.error('service', f'unknown service {name}')


def _check_unique_prefixes(routes: tuple[Route, ...]) -> None:
    seen_prefixes: set[tuple[str, str]] = set()
    for route in routes:
        prefix_key = (route.host.lower(), route.path_prefix)
        if prefix_key in seen_prefixes:
            raise SettingsError(
                f'/routes/{route.name}',
                'another route has the same host and prefix',
            )
        seen_prefixes.add(prefix_key)


def _read_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        fields.integer('maxHeaderBytes', _DEFAULT_HEADER_BYTES, 1),
        fields.integer('maxBodyBytes', _DEFAULT_BODY_BYTES, 1),
        fields.seconds('headerTimeoutMs', _DEFAULT_HEADER_MS),
        fields.seconds('idleTimeoutMs', _DEFAULT_IDLE_MS),
    )
