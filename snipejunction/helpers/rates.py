"""Request rates that upstreams state, and what hosts may send under them.

Rates are in requests per second; ``NEVER`` stands for no limit. Times are
monotonic seconds.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from snipejunction.timers import NEVER

# Window in which the requests of all hosts to an upstream stay within the
# limit that it states, in seconds.
LIMIT_WINDOW_SECONDS: Final = 4.0
# Least time between two requests of a host, as a share of the mean time: the
# upstream does not get what a window allows at once.
MIN_SPACING_SHARE: Final = 0.5
# Longest time between two requests to an upstream, however low its limit, in
# seconds: only an answer can tell that the limit has ended.
MAX_INTERVAL_SECONDS: Final = 30.0
# Rate from which on a limit bounds nothing: more than one searcher can get, in
# requests per second.
UNREACHABLE_RATE: Final = 1e6
# Requests that a log of a share that counts as used holds at most.
MAX_FILLED_REQUESTS: Final = 100
# Rounding errors of rates, in requests, and of times, in seconds.
_ROUNDING_ERROR: Final = 1e-6


class RateShare:
    """What one host may send: ``requests`` in any span of ``seconds``."""

    __slots__ = ('requests', 'seconds')

    def __init__(self, requests: int, seconds: float) -> None:
        """Create a share."""
        self.requests = requests
        self.seconds = seconds

    @property
    def interval(self) -> float:
        """Return the mean time between two requests, in seconds."""
        return self.seconds / self.requests if self.requests else NEVER


NO_SHARE: Final = RateShare(0, LIMIT_WINDOW_SECONDS)


def parse_rate(text: str) -> float:
    """Return the rate in a header, ``NEVER`` for an empty text.

    The rate is not a number if the text is neither zero nor a positive one,
    and ``NEVER`` above ``UNREACHABLE_RATE``.
    """
    if not text:
        return NEVER
    try:
        rate = float(text)
    except ValueError:
        return math.nan
    if not 0 <= rate < NEVER:
        return math.nan
    return NEVER if rate > UNREACHABLE_RATE else rate


def requests_per_window(limit: float) -> int:
    """Return the whole requests that a limit allows in each window."""
    return int(limit * LIMIT_WINDOW_SECONDS + _ROUNDING_ERROR)


def share_of_host(limit: float, hosts: int, position: int) -> RateShare:
    """Return what one of some hosts may send under a limit.

    Each host gets whole requests of a window; the first ones get the rest. If
    the limit allows less than one request in a window, only the host at
    position 0 sends, and not less than one in ``MAX_INTERVAL_SECONDS``.
    """
    requests = requests_per_window(limit)
    if not requests:
        interval = 1 / max(limit, 1 / MAX_INTERVAL_SECONDS)
        return NO_SHARE if position else RateShare(1, interval)
    share, rest = divmod(requests, hosts)
    return RateShare(share + (position < rest), LIMIT_WINDOW_SECONDS)


class SendLog:
    """Times of the requests that one host sent under a limit."""

    __slots__ = ('_sent_at',)

    def __init__(self) -> None:
        """Create an empty log."""
        self._sent_at: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of requests in the log."""
        return len(self._sent_at)

    def fill(self, share: RateShare, phase: float, now: float) -> None:
        """Replace the log by one of a host that has used its share evenly.

        ``phase`` is how much of an interval is left until the next request
        may be sent, above 0 and up to 1. Only the last requests are logged.
        """
        first = max(0, share.requests - MAX_FILLED_REQUESTS)
        self._sent_at = deque(
            now - share.seconds + (number + phase) * share.interval
            for number in range(first, share.requests)
        )

    def count(self, now: float) -> None:
        """Count a request that is sent now."""
        self._sent_at.append(now)

    def wait(self, share: RateShare, ahead: int, now: float) -> float:
        """Return the seconds until a request behind ``ahead`` may be sent."""
        if not share.requests:
            return NEVER
        sent_at = self._sent_at
        while sent_at and now >= sent_at[0] + share.seconds - _ROUNDING_ERROR:
            sent_at.popleft()
        spacing = share.interval * MIN_SPACING_SHARE
        due = now + ahead * spacing
        if sent_at:
            due = max(due, sent_at[-1] + (ahead + 1) * spacing)
        excess = len(sent_at) + ahead - share.requests
        if excess >= 0:
            rounds, oldest = divmod(excess, share.requests)
            start = sent_at[oldest] if oldest < len(sent_at) else now
            due = max(due, start + (rounds + 1) * share.seconds)
        return due - now if due > now + _ROUNDING_ERROR else 0

    def may_send(self, share: RateShare, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.wait(share, 0, now) == 0
