"""What an entry host keeps about requests that wait or were refused."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set as AbstractSet

from snipejunction.components.scheduling.refusing import RefusalTurns
from snipejunction.components.scheduling.throttling import RouteThrottle
from snipejunction.components.scheduling.waiting import WaitingQueue


class SchedulingTable:
    """The waiting requests of an entry host and what it refused.

    ``refused`` counts refusals by reason, ``given_up`` the requests that
    ended early because too many parts were lost.
    """

    __slots__ = ('given_up', 'queue', 'refused', 'throttles', 'turns')

    def __init__(self) -> None:
        """Create a table of a host where nothing waits."""
        self.queue = WaitingQueue()
        self.turns = RefusalTurns()
        self.refused: Counter[str] = Counter()
        self.given_up = 0
        self.throttles: dict[str, RouteThrottle] = {}

    def drop_other_routes(self, kept: AbstractSet[str]) -> None:
        """Drop what is known of routes that are not ``kept``."""
        self.turns.drop_other_routes(kept)
        for route in self.throttles.keys() - kept:
            self.throttles.pop(route)

    def throttle(self, route: str, now: float) -> RouteThrottle:
        """Return the throttle of a route, creating it if needed."""
        throttle = self.throttles.get(route)
        if throttle is None:
            throttle = RouteThrottle(now)
            self.throttles[route] = throttle
        return throttle
