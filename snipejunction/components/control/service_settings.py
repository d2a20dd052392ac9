"""Typed settings of services and the limits of their callers."""

from __future__ import annotations

from snipejunction.const import PREFER_LATENCY
from snipejunction.helpers.records import Record


class CallerLimit(Record):
    """Limit of a caller's requests to a service over all hosts.

    ``rate`` is in requests per second, ``concurrency`` in open requests.
    """

    __slots__ = ('concurrency', 'rate')

    def __init__(self, rate: float, concurrency: int) -> None:
        """Create a limit."""
        self.rate = rate
        self.concurrency = concurrency


class ServiceSettings(Record):
    """Settings of a service; ``name`` is ``team/service``.

    Times are in seconds, budgets in extra sub-requests per needed one.
    ``slots``, ``connections`` and ``cold_capacity`` cap what a searcher
    announces; zero means no cap.
    """

    __slots__ = (
        'callers',
        'cold_capacity',
        'connections',
        'deadline',
        'hedge_budget',
        'max_deadline',
        'name',
        'prefer',
        'queue_limit',
        'retry_budget',
        'slots',
    )

    def __init__(
        self,
        name: str,
        callers: dict[str, CallerLimit],
        prefer: str = PREFER_LATENCY,
        deadline: float = 0.5,
        max_deadline: float = 10,
        hedge_budget: float = 0.05,
        retry_budget: float = 0.1,
        slots: int = 0,
        connections: int = 0,
        cold_capacity: int = 0,
        queue_limit: int = 64,
    ) -> None:
        """Create settings."""
        self.name = name
        self.callers = callers
        self.prefer = prefer
        self.deadline = deadline
        self.max_deadline = max_deadline
        self.hedge_budget = hedge_budget
        self.retry_budget = retry_budget
        self.slots = slots
        self.connections = connections
        self.cold_capacity = cold_capacity
        self.queue_limit = queue_limit
