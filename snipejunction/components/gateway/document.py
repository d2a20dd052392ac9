"""The deployment document as typed, checked data.

Times are in seconds. All records are immutable by convention: a newer
document replaces the whole.
"""

from __future__ import annotations

from typing import Final

from snipejunction.helpers.records import Record

_ALL_REGIONS: Final[frozenset[str]] = frozenset()


class Target(Record):
    """A service that takes a share of a route's requests."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        """Create a target; weights of a route need not add up to one."""
        self.service = service
        self.weight = weight


class Route(Record):
    """How requests of one host and path prefix are served.

    A route has either ``shards``, all of which take part in each request,
    or ``targets``, one of which takes it. ``timeout`` bounds how long a
    caller waits, ``objective`` is the time within which an answer is worth
    most. ``attempts`` bounds the searchers of a service that one request
    reaches. ``top`` is the number of records in a merged answer, and
    ``min_share`` the share of the shards that it needs.
    """

    __slots__ = (
        'attempts',
        'host',
        'is_idempotent',
        'min_share',
        'name',
        'objective',
        'path_prefix',
        'priority',
        'regions',
        'shards',
        'targets',
        'timeout',
        'top',
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        *,
        is_idempotent: bool,
        timeout: float,
        objective: float,
        priority: int = 0,
        attempts: int = 1,
        shards: tuple[str, ...] = (),
        targets: tuple[Target, ...] = (),
        top: int = 0,
        min_share: float = 0,
        regions: frozenset[str] = _ALL_REGIONS,
    ) -> None:
        """Create a route; empty ``regions`` allow all regions."""
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.is_idempotent = is_idempotent
        self.timeout = timeout
        self.objective = objective
        self.priority = priority
        self.attempts = attempts
        self.shards = shards
        self.targets = targets
        self.top = top
        self.min_share = min_share
        self.regions = regions

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services of its shards, or else of its targets."""
        return self.shards or tuple(one.service for one in self.targets)


class Service(Record):
    """What holds for all searchers of a service.

    ``max_connections`` of one searcher are shared by all hosts. A searcher
    that starts is cold for ``cold_seconds`` and bears ``cold_rate`` requests
    a second meanwhile.
    """

    __slots__ = ('cold_rate', 'cold_seconds', 'max_connections', 'name')

    def __init__(
        self,
        name: str,
        max_connections: int,
        cold_seconds: float,
        cold_rate: float,
    ) -> None:
        """Create a service."""
        self.name = name
        self.max_connections = max_connections
        self.cold_seconds = cold_seconds
        self.cold_rate = cold_rate


class CallerLimits(Record):
    """What a caller may send, and how long it may take or stay idle."""

    __slots__ = (
        'header_seconds',
        'idle_seconds',
        'max_body_bytes',
        'max_header_bytes',
    )

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        header_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Create limits."""
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds


class Document(Record):
    """One version of the deployment document."""

    __slots__ = ('limits', 'routes', 'services', 'version')

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: CallerLimits,
    ) -> None:
        """Create a document; services are by name."""
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
