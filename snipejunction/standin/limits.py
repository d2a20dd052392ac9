"""Limits of a stand-in searcher and counts of their breaches."""

from __future__ import annotations

from collections import Counter
from typing import Final

from snipejunction.standin.stated_rate import StatedRate

# Kinds of breaches.
BREACH_SLOTS: Final = 'slots'
BREACH_CONNECTIONS: Final = 'connections'
BREACH_COLD: Final = 'cold'
BREACH_AFTER_LEAVING: Final = 'after_leaving'
BREACH_REPEATED_RUN: Final = 'doubled_run'
BREACH_RATE: Final = 'rate'

# Requests in a window above a stated rate that are no breach: several hosts
# learn of it at different times, and some may be delayed on their way.
RATE_FACTOR: Final = 1.5
RATE_MARGIN: Final = 5

# Served requests after which the capacity of a cold searcher grows by one.
WARM_STEP_REQUESTS: Final = 8


class Limits:
    """Limits and counters of one searcher, independent of its callers."""

    __slots__ = (
        '_cold_served',
        '_is_cold',
        '_running',
        'breaches',
        'cold_capacity',
        'connections',
        'has_failed',
        'runs',
        'served',
        'slots',
        'stated_rate',
        'max_running',
    )

    def __init__(
        self,
        slots: int,
        connections: int,
        cold_capacity: int,
    ) -> None:
        """Create the limits and counters of a warm searcher."""
        self.slots = slots
        self.connections = connections
        self.cold_capacity = cold_capacity
        self.breaches: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.max_running = 0
        self.stated_rate = StatedRate(RATE_FACTOR, RATE_MARGIN)
        self.has_failed = False
        self._is_cold = False
        self._cold_served = 0
        self._running = 0

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self._running

    @property
    def current_capacity(self) -> int:
        """Return how many concurrent requests the searcher handles now."""
        if not self._is_cold:
            return self.slots
        extra_capacity = self._cold_served // WARM_STEP_REQUESTS
        return min(self.slots, self.cold_capacity + extra_capacity)

    def reset_warm_up(self) -> None:
        """Reduce the capacity to that of a cold start."""
        self._is_cold = True
        self._cold_served = 0
        self.has_failed = False

    def count_arrival(self, now: float) -> None:
        """Count a request that the searcher received."""
        if not self.stated_rate.count_arrival(now):
            self.breaches[BREACH_RATE] += 1

    def start_request(self) -> bool:
        """Count a started request and return whether it is within limits.

        A cold searcher above its capacity fails all requests from then on.
        """
        self._running += 1
        self.max_running = max(self.max_running, self._running)
        if self._running > self.slots:
            self.breaches[BREACH_SLOTS] += 1
            return False
        if self._running > self.current_capacity:
            self.breaches[BREACH_COLD] += 1
            self.has_failed = True
        return not self.has_failed

    def end_request(self) -> None:
        """Count the end of a started request."""
        self._running -= 1

    def count_served(self) -> None:
        """Count an answered request, which warms up a cold searcher."""
        self.served += 1
        self._cold_served += 1

    def check_connections(self, open_connections: int) -> bool:
        """Return whether ``open_connections`` is within the limit."""
        if open_connections <= self.connections:
            return True
        self.breaches[BREACH_CONNECTIONS] += 1
        return False

    def count_run(self, request_id: str) -> None:
        """Count a run of a request that must run at most once."""
        self.runs[request_id] += 1
        if self.runs[request_id] > 1:
            self.breaches[BREACH_REPEATED_RUN] += 1
