"""Budget for repeats: the retries and hedges that a host may send.

It bounds the load that repeats add to a service.
"""

from __future__ import annotations

from collections import deque

from snipejunction.components.gateway.const import REPEAT_BUDGET_SHARE


class RepeatLimits:
    """Limits on repeats for the whole system in any window.

    Within ``window`` seconds a service may receive up to ``ratio`` times its
    requests plus ``slack`` as repeats.
    """

    __slots__ = ('ratio', 'slack', 'window')

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Create limits."""
        self.ratio = ratio
        self.slack = slack
        self.window = window


class RepeatBudget:
    """Requests and repeats of one service within the last window.

    Each host applies the ratio to its own requests and uses only its share
    of the slack, so that all hosts together keep the limits without any
    coordination.
    """

    __slots__ = ('_limits', '_repeats', '_requests', '_started')

    def __init__(self, limits: RepeatLimits, started: float) -> None:
        """Create an unused budget of a host that started at ``started``."""
        self._limits = limits
        self._started = started
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now)
        self._expire(self._requests, now)

    def record_repeat(self, now: float) -> None:
        """Count a retry or a hedge."""
        self._repeats.append(now)

    def remaining(self, slack_share: float, now: float) -> float:
        """Return how many repeats this host may still send.

        The share of the slack grows from zero over the first window after a
        start, because the previous process of this host may have used it
        within the same window.
        """
        slack_ramp = min(1.0, (now - self._started) / self._limits.window)
        self._expire(self._requests, now)
        self._expire(self._repeats, now)
        allowed = len(self._requests) * self._limits.ratio
        allowed += slack_ramp * self._limits.slack * slack_share
        return allowed * REPEAT_BUDGET_SHARE - len(self._repeats)

    def _expire(self, timestamps: deque[float], now: float) -> None:
        oldest = now - self._limits.window
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
