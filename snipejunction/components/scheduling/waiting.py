"""Queue of the requests that wait for room at searchers.

Answers bursts of requests and customers that send many times their usual: it
is bounded, and a customer with many waiting requests waits behind itself.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from snipejunction.components.scheduling.const import (
    MAX_WAITING,
    SERVED_HALF_LIFE_SECONDS,
)
from snipejunction.components.scheduling.orders import rank_by_value

if TYPE_CHECKING:
    from snipejunction.components.scheduling.run import ScheduledRun

_HALF = 0.5
# Customers whose served work is remembered.
_MAX_CUSTOMERS = 256


class Waiting:
    """A request that waits; times are in monotonic seconds.

    ``services`` are those with a part to send. ``work`` is the time that its
    parts need at searchers, in seconds.
    """

    __slots__ = (
        'customer',
        'priority',
        'run',
        'services',
        'since',
        'work',
    )

    def __init__(
        self,
        run: ScheduledRun,
        customer: str,
        priority: int,
        services: frozenset[str],
        work: float,
        since: float,
    ) -> None:
        """Create an entry of a request."""
        self.run = run
        self.customer = customer
        self.priority = priority
        self.services = services
        self.work = work
        self.since = since


class ServedWork:
    """Work that each customer was served lately, in seconds of searchers."""

    __slots__ = ('_work',)

    def __init__(self) -> None:
        """Create the record of a host that served nobody."""
        self._work: dict[str, tuple[float, float]] = {}

    def of(self, customer: str, now: float) -> float:
        """Return the work of a customer; it halves with time."""
        work, since = self._work.get(customer, (0, now))
        return float(work * _HALF ** ((now - since) / SERVED_HALF_LIFE_SECONDS))

    def add(self, customer: str, work: float, now: float) -> None:
        """Count work that is sent now."""
        total = self.of(customer, now) + work
        self._work.pop(customer, None)
        if len(self._work) >= _MAX_CUSTOMERS:
            self._work.pop(next(iter(self._work)))
        self._work[customer] = (total, now)


class WaitingQueue:
    """The waiting requests of one host, one entry for each."""

    __slots__ = ('_by_run', 'served')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._by_run: dict[ScheduledRun, Waiting] = {}
        self.served = ServedWork()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_run)

    def add(self, waiting: Waiting) -> None:
        """Add a request, or replace its entry."""
        self._by_run[waiting.run] = waiting

    def remove(self, run: ScheduledRun) -> None:
        """Remove a request if it waits."""
        self._by_run.pop(run, None)

    def has_place(self, customer: str) -> bool:
        """Return whether one more request of a customer may wait.

        A customer leaves as many places to others as it takes itself.
        """
        if len(self._by_run) >= MAX_WAITING:
            return False
        if not customer:
            return True
        counts = Counter(entry.customer for entry in self._by_run.values())
        others = len(counts.keys() - {customer})
        return counts[customer] < MAX_WAITING // (others + 2)

    def is_wanted(self, service: str, run: ScheduledRun) -> bool:
        """Return whether others than ``run`` wait for a service."""
        return any(
            service in entry.services
            for entry in self._by_run.values()
            if entry.run is not run
        )

    def count_ahead(self, waiting: Waiting, now: float) -> int:
        """Return how many requests for the same services go first."""
        entries = {**self._by_run, waiting.run: waiting}
        ahead = 0
        for entry in self._order(list(entries.values()), now):
            if entry is waiting:
                break
            ahead += not entry.services.isdisjoint(waiting.services)
        return ahead

    def ordered(self, now: float) -> Iterator[ScheduledRun]:
        """Yield the waiting requests, the first to be sent first."""
        for waiting in self._order(list(self._by_run.values()), now):
            yield waiting.run

    def _order(self, entries: list[Waiting], now: float) -> list[Waiting]:
        """Order requests; those of a customer go behind each other."""
        ranks = {entry: rank_by_value(entry, now) for entry in entries}
        places: Counter[str] = Counter()
        keys = {}
        for entry in sorted(entries, key=ranks.__getitem__):
            places[entry.customer] += bool(entry.customer)
            rank = ranks[entry]
            served = self.served.of(entry.customer, now)
            place = places[entry.customer]
            keys[entry] = (rank[0], place, served, *rank[1:])
        return sorted(keys, key=keys.__getitem__)
