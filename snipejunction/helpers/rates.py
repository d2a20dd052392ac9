"""Request rates that upstreams state, and token buckets that keep to them.

Rates are in requests per second; ``NEVER`` stands for no limit.
"""

from __future__ import annotations

import math
from typing import Final

from snipejunction.timers import NEVER

# Window in which the requests of all hosts to an upstream stay within the
# limit that it states, in seconds.
LIMIT_WINDOW_SECONDS: Final = 4.0
# Lower bound of the used share of a limit: below half a request per second one
# token is more than the limit allows in a window.
MIN_LIMIT_SHARE: Final = 0.5
# Rounding errors of a bucket that is refilled often, in tokens: at the time
# that ``wait`` named, the token is there.
_TOKEN_ERROR: Final = 1e-6


def parse_rate(text: str) -> float:
    """Return the rate in a header, ``NEVER`` for an empty text.

    The rate is not a number if the text is neither zero nor a positive one.
    """
    if not text:
        return NEVER
    try:
        rate = float(text)
    except ValueError:
        return math.nan
    return rate if 0 <= rate < NEVER else math.nan


def rate_of_each(limit: float, senders: int) -> float:
    """Return the rate at which each of some hosts may send under a limit.

    The rates of all of them and their full buckets of one token add up to the
    limit in ``LIMIT_WINDOW_SECONDS``.
    """
    total = limit - senders / LIMIT_WINDOW_SECONDS
    return max(total, limit * MIN_LIMIT_SHARE) / senders


class TokenBucket:
    """Bucket of one token; times are monotonic seconds."""

    __slots__ = ('_filled_at', '_tokens')

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self._tokens = 0.0
        self._filled_at = now

    def empty(self, now: float) -> None:
        """Empty the bucket."""
        self._tokens = 0
        self._filled_at = now

    def has_token(self, rate: float, now: float) -> bool:
        """Fill the bucket by ``rate`` per second; return whether it is full."""
        self._fill(rate, now)
        return rate > 0 and self._tokens >= 1 - _TOKEN_ERROR

    def take_token(self, rate: float, now: float) -> None:
        """Take a token, even if the bucket holds less."""
        self._fill(rate, now)
        self._tokens -= 1

    def wait(self, rate: float, tokens: int, now: float) -> float:
        """Return the seconds until ``tokens`` more can have been taken."""
        self._fill(rate, now)
        if self._tokens >= tokens - _TOKEN_ERROR:
            return 0
        return (tokens - self._tokens) / rate if rate > 0 else NEVER

    def _fill(self, rate: float, now: float) -> None:
        filled = self._tokens + rate * (now - self._filled_at)
        self._tokens = min(1.0, filled)
        self._filled_at = now
