"""Deployments on which the scenarios run."""

from __future__ import annotations

from typing import Final

from snipejunction.helpers.records import Record

HOST_COUNT: Final = 11
WARM_UP_SECONDS: Final = 6.0
# Searches count from this time, when all roots know the services.
MEASUREMENT_BEGIN_SECONDS: Final = 8.0

_AYO_DEADLINE_SECONDS: Final = 0.4
_BEREKET_DEADLINE_SECONDS: Final = 0.8
_SMALL_RATE: Final = 60
_ROSTER_RATE: Final = 40
_LARGE_RATE: Final = 30


class BenchService(Record):
    """A service; ``options`` is the text of its line in the script.

    ``rate`` is in searches per second, ``deadline`` in seconds.
    """

    __slots__ = ('deadline', 'name', 'options', 'rate')

    def __init__(
        self,
        name: str,
        options: str,
        rate: float,
        deadline: float,
    ) -> None:
        """Create a service."""
        self.name = name
        self.options = options
        self.rate = rate
        self.deadline = deadline


class Deployment(Record):
    """Regions, services and load of a deployment."""

    __slots__ = ('client_delay', 'name', 'regions', 'services')

    def __init__(
        self,
        name: str,
        regions: tuple[str, ...],
        client_delay: str,
        services: tuple[BenchService, ...],
    ) -> None:
        """Create a deployment."""
        self.name = name
        self.regions = regions
        self.client_delay = client_delay
        self.services = services

    def script_header(self) -> str:
        """Return the first lines of the script of a scenario."""
        regions = ', '.join(self.regions)
        return (
            f'hosts {HOST_COUNT} in {regions}\n'
            'voters h1, h2, h3, h4, h5\n'
            f'delays client {self.client_delay}\n'
        )


# Each data centre holds every shard once, so that one can be drained.
_SMALL: Final = (
    'searchers 3, shards 12, replicas 3, slots 3, connections 30, cold 1, '
    'open 6 ms, time 10 ms, spread 0.3, prefer latency'
)
_MEMBER: Final = (
    'searchers 3, shards 20, replicas 3, slots 6, connections 130, cold 2, '
    'open 1 ms, time 10 ms, spread 0.3, prefer latency'
)
_COUNTING: Final = (
    'searchers 3, shards 12, replicas 3, slots 6, connections 50, cold 1, '
    'open 6 ms, time 10 ms, spread 0.3, prefer coverage'
)
_ARCHIVE: Final = (
    'searchers 24, shards 48, replicas 3, slots 2, connections 40, cold 1, '
    'open 1 ms, time 10 ms, spread 0.3, prefer coverage'
)
_DONOR: Final = (
    'searchers 15, shards 30, replicas 3, slots 2, connections 40, cold 1, '
    'open 1 ms, time 10 ms, spread 0.3, prefer coverage'
)

# Only two of the 25 small services are simulated: services share no
# searchers, so the others would give the same figures.
AYO: Final = Deployment(
    'ayo',
    ('lagos', 'kano', 'enugu'),
    '3 ms',
    (
        BenchService(
            'ayo/catalogue', _SMALL, _SMALL_RATE, _AYO_DEADLINE_SECONDS
        ),
        BenchService('ayo/roster', _SMALL, _ROSTER_RATE, _AYO_DEADLINE_SECONDS),
        BenchService('ayo/member', _MEMBER, _SMALL_RATE, _AYO_DEADLINE_SECONDS),
    ),
)
BEREKET: Final = Deployment(
    'bereket',
    ('marmara', 'ege', 'ic-anadolu'),
    '1 ms',
    (
        BenchService(
            'bereket/counting',
            _COUNTING,
            _SMALL_RATE,
            _BEREKET_DEADLINE_SECONDS,
        ),
        BenchService(
            'bereket/archive', _ARCHIVE, _LARGE_RATE, _BEREKET_DEADLINE_SECONDS
        ),
        BenchService(
            'bereket/donor', _DONOR, _LARGE_RATE, _BEREKET_DEADLINE_SECONDS
        ),
    ),
)
DEPLOYMENTS: Final = (AYO, BEREKET)
