"""Share of the requests of a route that are not worth sending.

Answers an overload of all searchers of a service: where searchers turn parts
away, most gathered queries lose one, and what their other parts did is lost
with it. A host then sends little more than what gets an answer.
"""

from __future__ import annotations

from typing import Final

from snipejunction.components.scheduling.const import (
    MAX_THROTTLE_SHARE,
    THROTTLE_HALF_LIFE_SECONDS,
    THROTTLE_RATIO,
    THROTTLE_SLACK,
)

_HALF: Final = 0.5


class RouteThrottle:
    """Requests of one route that came and that searchers had room for."""

    __slots__ = ('_accepted', '_counted_at', '_received')

    def __init__(self, now: float) -> None:
        """Create a throttle of a route without requests."""
        self._received = 0.0
        self._accepted = 0.0
        self._counted_at = now

    def refused_share(self, now: float) -> float:
        """Return the share of requests to refuse, 0 while there is room."""
        self._apply_decay(now)
        excess = self._received - THROTTLE_RATIO * self._accepted
        excess -= THROTTLE_SLACK
        return min(MAX_THROTTLE_SHARE, max(0.0, excess / (self._received + 1)))

    def count_received(self, now: float) -> None:
        """Count a request, sent or refused."""
        self._apply_decay(now)
        self._received += 1
        self._accepted += 1

    def count_turned_away(self, now: float) -> None:
        """Count a request that was refused or lost for lack of room."""
        self._apply_decay(now)
        self._accepted = max(0.0, self._accepted - 1)

    def _apply_decay(self, now: float) -> None:
        factor = _HALF ** (
            (now - self._counted_at) / THROTTLE_HALF_LIFE_SECONDS
        )
        self._received *= factor
        self._accepted *= factor
        self._counted_at = now
