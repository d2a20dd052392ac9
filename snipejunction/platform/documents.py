"""The platform's configuration as a deployment document."""

from __future__ import annotations

from typing import Final

from snipejunction.components.gateway.document import (
    CallerLimits,
    Document,
    Route,
    Service,
    Target,
)
from snipejunction.errors import SettingsError
from snipejunction.platform.fields import Fields, parse_json

# A request of this kind may run more than once.
_KIND_SAFE: Final = 'safe'
_KINDS: Final = frozenset((_KIND_SAFE, 'unsafe'))
_DEFAULT_HEADER_BYTES: Final = 16384
_DEFAULT_BODY_BYTES: Final = 262144
_DEFAULT_HEADER_MS: Final = 3000
_DEFAULT_IDLE_MS: Final = 15000


def read_document(content: bytes) -> Document:
    """Return the document in the body of a configuration.

    Raises:
        SettingsError: if it is not valid; names the field.
    """
    fields = parse_json(content)
    services = {
        service.name: service
        for service in map(_service, fields.tables('services'))
    }
    routes = tuple(_route(route, services) for route in fields.tables('routes'))
    _check_places(routes)
    return Document(
        fields.whole('version', lowest=1),
        routes,
        services,
        _limits(fields.table('limits')),
    )


def _service(fields: Fields) -> Service:
    return Service(
        fields.text('name'),
        fields.whole('maxConns', 1, 1),
        fields.number('coldStartS', 0),
        fields.number('coldPerS', 0),
    )


def _route(fields: Fields, services: dict[str, Service]) -> Route:
    kind = fields.text('kind')
    if kind not in _KINDS:
        raise fields.error('kind', 'unknown')
    timeout = fields.seconds('timeoutMs')
    if timeout <= 0:
        raise fields.error('timeoutMs', 'not above 0')
    shards = fields.texts('gather')
    targets = () if shards else _targets(fields)
    for name in (*shards, *(target.service for target in targets)):
        if name not in services:
            raise fields.error('service', f'unknown service {name}')
    if not shards and not targets:
        raise fields.error('service', 'missing')
    prefix = fields.text('pathPrefix')
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise fields.error('pathPrefix', 'not between slashes')
    return Route(
        fields.text('name'),
        fields.text('host'),
        prefix,
        # Parts of one answer are never asked for with side effects.
        is_idempotent=kind == _KIND_SAFE or bool(shards),
        timeout=timeout,
        # sloMs is the time within which an answer earns its full worth.
        objective=fields.seconds('sloMs', timeout * 1000) or timeout,
        priority=fields.whole('priority', 0),
        attempts=fields.whole('attempts', 1, 1),
        shards=shards,
        targets=targets,
        top=fields.whole('topK', 0),
        min_share=fields.number('minShare', 0),
        regions=frozenset(fields.texts('homeRegions')),
    )


def _targets(fields: Fields) -> tuple[Target, ...]:
    if not fields.has('backends'):
        return (Target(fields.text('service'), 1),)
    targets = tuple(
        Target(one.text('service'), one.number('weight'))
        for one in fields.tables('backends')
    )
    if sum(target.weight for target in targets) <= 0:
        raise fields.error('backends', 'the weights add up to 0')
    return targets


def _check_places(routes: tuple[Route, ...]) -> None:
    places: set[tuple[str, str]] = set()
    for route in routes:
        place = (route.host, route.path_prefix)
        if place in places:
            raise SettingsError(
                f'/routes/{route.name}',
                'another route has the same host and prefix',
            )
        places.add(place)


def _limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        fields.whole('maxHeaderBytes', _DEFAULT_HEADER_BYTES, 1),
        fields.whole('maxBodyBytes', _DEFAULT_BODY_BYTES, 1),
        fields.seconds('headerTimeoutMs', _DEFAULT_HEADER_MS),
        fields.seconds('idleTimeoutMs', _DEFAULT_IDLE_MS),
    )
