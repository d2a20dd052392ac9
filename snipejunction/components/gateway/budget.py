"""Budget for repeats: what one host may add to the load of a service."""

from __future__ import annotations

from collections import deque

from snipejunction.components.gateway.const import REPEAT_BUDGET_SHARE


class RepeatLimits:
    """Bounds for the whole system in any window of ``window`` seconds.

    A service may get ``ratio`` of its requests and ``slack`` more as
    repeats.
    """

    __slots__ = ('ratio', 'slack', 'window')

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Create limits."""
        self.ratio = ratio
        self.slack = slack
        self.window = window


class RepeatBudget:
    """Requests and repeats of one service within the last window.

    Each host keeps to the ratio for its own requests and to its share of
    the slack, so that all hosts together keep the limits without talking.
    """

    __slots__ = ('_limits', '_repeats', '_requests', '_started')

    def __init__(self, limits: RepeatLimits, started: float) -> None:
        """Create the unused budget of a host that started then."""
        self._limits = limits
        self._started = started
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._expire(self._requests, now)

    def record_repeat(self, now: float) -> None:
        """Count any further send."""
        self._repeats.append(now)

    def remaining(self, slack_share: float, now: float) -> float:
        """Return how many repeats are left with a share of the slack.

        A host that just started has none of the slack at first: its last
        process may have used it within the same window.
        """
        age = min(1.0, (now - self._started) / self._limits.window)
        self._expire(self._requests, now)
        self._expire(self._repeats, now)
        allowed = len(self._requests) * self._limits.ratio
        allowed += age * self._limits.slack * slack_share
        return allowed * REPEAT_BUDGET_SHARE - len(self._repeats)

    def _expire(self, times: deque[float], now: float) -> None:
        oldest = now - self._limits.window
        while times and times[0] < oldest:
            times.popleft()
