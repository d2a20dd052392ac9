"""Token buckets; levels are in requests, times in monotonic seconds."""

from __future__ import annotations

from snipejunction.components.gateway.document import Customer
from snipejunction.components.quotas.const import (
    AHEAD_SECONDS,
    OUT_OF_TOUCH_RATE,
    OUT_OF_TOUCH_SHARE,
)


def capacity_of(customer: Customer, share: float = 1) -> float:
    """Return how many requests a share of the bucket of a customer holds.

    It holds a whole request, and beyond the burst what comes in while hosts
    wait for an answer.
    """
    capacity = max(customer.burst, 1) + customer.rate * AHEAD_SECONDS
    return max(capacity * share, 1)


def usable_share(
    customer: Customer, share: float, *, is_in_touch: bool
) -> float:
    """Return what is used of a share, less while out of touch."""
    if is_in_touch or customer.rate <= OUT_OF_TOUCH_RATE:
        return share
    return share * max(OUT_OF_TOUCH_SHARE, OUT_OF_TOUCH_RATE / customer.rate)


class TokenBucket:
    """A bucket that fills with time; debts make its level negative."""

    __slots__ = ('filled_at', 'level')

    def __init__(self, level: float, now: float) -> None:
        """Create a bucket."""
        self.level = level
        self.filled_at = now

    def fill(self, customer: Customer, share: float, now: float) -> None:
        """Fill up to now with a share of the rate, up to its capacity."""
        added = customer.rate * share * max(now - self.filled_at, 0)
        self.level = min(self.level + added, capacity_of(customer, share))
        self.filled_at = now
