"""The deployment document as typed, checked data.

Times are in seconds. All records are immutable by convention: a newer
document replaces the current one as a whole.
"""

from __future__ import annotations

from typing import Final

from snipejunction.helpers.records import Record

_ALL_REGIONS: Final[frozenset[str]] = frozenset()


class Target(Record):
    """A service that receives a share of the requests of a route."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        """Create a target; the weights of a route need not add up to one."""
        self.service = service
        self.weight = weight


class Route(Record):
    """How requests of one host and path prefix are served.

    A route has either ``shards``, all of which contribute to each request,
    or ``targets``, one of which serves it. ``timeout`` bounds how long a
    caller waits; ``objective`` is the target latency of an answer.
    ``attempts`` bounds the number of searchers of a service that may run one
    request. ``top`` is the number of records in a merged answer, and
    ``min_share`` the share of the shards that it requires. Requests of a
    route that ``is_public`` need no key of a customer.
    """

    __slots__ = (
        'attempts',
        'host',
        'is_idempotent',
        'is_public',
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
        is_public: bool = False,
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
        self.is_public = is_public

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services of the shards, or else of the targets."""
        return self.shards or tuple(target.service for target in self.targets)


class Service(Record):
    """Limits that apply to every searcher of a service.

    ``max_connections`` of one searcher are shared by all hosts. A searcher
    is cold for ``cold_seconds`` after its start and can handle ``cold_rate``
    requests a second meanwhile.
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
    """Limits on the size and the duration of what a caller sends."""

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


class Customer(Record):
    """A customer that may send requests, known by its keys.

    ``key_digests`` holds the SHA-256 of each key. All hosts together admit
    ``rate`` requests per second plus ``burst``; 0 sets no limit.
    ``priority`` goes before that of the route, None keeps the route's.
    ``regions`` are those that may serve it, all if empty.
    """

    __slots__ = ('burst', 'key_digests', 'name', 'priority', 'rate', 'regions')

    def __init__(
        self,
        name: str,
        key_digests: frozenset[bytes],
        *,
        rate: float = 0,
        burst: float = 0,
        priority: int | None = None,
        regions: frozenset[str] = _ALL_REGIONS,
    ) -> None:
        """Create a customer."""
        self.name = name
        self.key_digests = key_digests
        self.rate = rate
        self.burst = burst
        self.priority = priority
        self.regions = regions

    def __repr__(self) -> str:
        """Return the name, without anything that is made from keys."""
        return f'Customer({self.name!r})'


class Document(Record):
    """One version of the deployment document.

    ``shard_services`` holds the services that are shards of any route.
    ``customers`` maps names to customers. A document that lists them, even
    none, ``needs_keys`` in requests.
    ``customers_by_digest`` maps the SHA-256 of each key to its customer.
    Requests wait for room at searchers if there are customers or the document
    ``has_queue``. ``highest_priority`` is the most urgent one of any route.
    """

    __slots__ = (
        'customers',
        'customers_by_digest',
        'has_queue',
        'highest_priority',
        'limits',
        'needs_keys',
        'routes',
        'services',
        'shard_services',
        'version',
    )

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: CallerLimits,
        customers: tuple[Customer, ...] | None = None,
        *,
        has_queue: bool = False,
    ) -> None:
        """Create a document; ``services`` maps names to services.

        ``customers`` is None if it does not list customers.
        """
        self.has_queue = has_queue or bool(customers)
        self.version = version
        self.routes = routes
        self.highest_priority = min(
            (route.priority for route in routes), default=0
        )
        self.services = services
        self.shard_services = frozenset(
            service for route in routes for service in route.shards
        )
        self.limits = limits
        self.needs_keys = customers is not None
        customers = customers or ()
        self.customers = {customer.name: customer for customer in customers}
        self.customers_by_digest = {
            digest: customer
            for customer in customers
            for digest in customer.key_digests
        }

    def __repr__(self) -> str:
        """Return the version, without anything that is made from keys."""
        return f'Document({self.version})'
