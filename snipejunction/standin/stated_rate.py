"""The request rate that a stand-in states, and a check of what it receives."""

from __future__ import annotations

from collections import deque

from snipejunction.helpers.rates import LIMIT_WINDOW_SECONDS
from snipejunction.timers import NEVER


class StatedRate:
    """A rate in requests per second, ``NEVER`` for none.

    ``factor`` and ``margin`` bound the requests of one window: ``factor``
    times what the rate allows, and ``margin`` more. Windows are checked that
    begin ``learn_seconds`` or more after the first answer with the rate.
    """

    __slots__ = (
        '_arrivals',
        '_factor',
        '_learn_seconds',
        '_margin',
        '_stated_at',
        'rate',
    )

    def __init__(
        self, factor: float, margin: float, learn_seconds: float = 0.5
    ) -> None:
        """Create the state of a stand-in that states no rate."""
        self._factor = factor
        self._margin = margin
        self._learn_seconds = learn_seconds
        self._arrivals: deque[float] = deque()
        self._stated_at = NEVER
        self.rate = NEVER

    @property
    def allowed(self) -> float:
        """Return the most requests in ``LIMIT_WINDOW_SECONDS``."""
        return self.rate * LIMIT_WINDOW_SECONDS * self._factor + self._margin

    def replace(self, rate: float) -> None:
        """Replace the rate; the next answer is the first to state it."""
        self.rate = rate
        self._stated_at = NEVER

    def count_answer(self, now: float) -> None:
        """Count an answer, which states the rate."""
        if self._stated_at == NEVER and self.rate < NEVER:
            self._stated_at = now

    def count_arrival(self, now: float) -> bool:
        """Count a request; return whether it is within the rate."""
        arrivals = self._arrivals
        arrivals.append(now)
        while arrivals[0] <= now - LIMIT_WINDOW_SECONDS:
            arrivals.popleft()
        learned_at = self._stated_at + self._learn_seconds
        is_checked = now >= learned_at + LIMIT_WINDOW_SECONDS
        return not is_checked or len(arrivals) <= self.allowed
