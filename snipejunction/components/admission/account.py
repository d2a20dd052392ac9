"""Account of a host for a caller's limit at a service."""

from __future__ import annotations

from collections import deque
from typing import Final

from snipejunction.components.admission.const import (
    BURST_SECONDS,
    QUEUED_SHARE_REQUEST_SECONDS,
    SHARE_REQUEST_SECONDS,
    SHARE_REQUEST_TIMEOUT_SECONDS,
)
from snipejunction.components.admission.messages import (
    AdmissionReply,
    ShareGrant,
)

_DEMAND_DECREASE_WEIGHT: Final = 0.5
# Just below one, so that rounding errors do not delay a request whose token is
# due.
_MIN_WHOLE_TOKEN: Final = 0.999999


class QueuedRequest:
    """Request that is queued for a share until ``due``."""

    __slots__ = ('due', 'reply')

    def __init__(self, reply: AdmissionReply, due: float) -> None:
        """Create a queue entry."""
        self.reply = reply
        self.due = due


class Account:
    """Share that this host holds and the requests that use it.

    Times are monotonic seconds, rates are requests per second.
    """

    __slots__ = (
        '_arrivals',
        '_demand',
        '_demand_updated_at',
        '_expires_at',
        '_rate',
        '_refilled_at',
        '_request_number',
        '_requested_at',
        '_slots',
        '_tokens',
        'caller',
        'coordinator',
        'is_request_pending',
        'is_short',
        'last_request_at',
        'open_requests',
        'queued',
        'service',
    )

    def __init__(self, caller: str, service: str, now: float) -> None:
        """Create an account without a share."""
        self.caller: Final = caller
        self.service: Final = service
        self.queued: Final[deque[QueuedRequest]] = deque()
        self.coordinator = ''
        self.open_requests = 0
        self.last_request_at = now
        self.is_short = False
        self.is_request_pending = False
        self._request_number = 0
        self._requested_at = now - SHARE_REQUEST_SECONDS
        self._rate = 0.0
        self._slots = 0
        self._expires_at = now
        self._tokens = 0.0
        self._refilled_at = now
        self._arrivals = 0
        self._demand_updated_at = now
        self._demand = 0.0

    @property
    def request_number(self) -> int:
        """Return the number of the last share request."""
        return self._request_number

    @property
    def rate(self) -> float:
        """Return the rate of the last granted share."""
        return self._rate

    @property
    def slots(self) -> int:
        """Return the concurrency of the last granted share."""
        return self._slots

    @property
    def demand(self) -> float:
        """Return the recent rate of requests, including refused ones."""
        return self._demand

    def remaining_seconds(self, now: float) -> float:
        """Return the remaining validity of the share in seconds."""
        return max(0, self._expires_at - now)

    def record_arrival(self, now: float) -> None:
        """Record a request of the caller."""
        self._arrivals += 1
        self.last_request_at = now

    def update_demand(self, now: float) -> None:
        """Update the demand from the requests since the last update."""
        elapsed = now - self._demand_updated_at
        if elapsed < SHARE_REQUEST_SECONDS / 2:
            return
        change = self._arrivals / elapsed - self._demand
        # Only decreases are smoothed, so that the share follows an increase
        # quickly.
        self._demand += (
            change if change > 0 else _DEMAND_DECREASE_WEIGHT * change
        )
        self._arrivals = 0
        self._demand_updated_at = now

    def try_admit(self, now: float) -> bool:
        """Admit a request if the share allows it; return whether it does."""
        self._refill(now)
        if self._tokens < _MIN_WHOLE_TOKEN or self.open_requests >= self._slots:
            return False
        self._tokens = max(0, self._tokens - 1)
        self.open_requests += 1
        return True

    def has_slot(self, now: float) -> bool:
        """Return whether the concurrency allows another request."""
        return now < self._expires_at and self.open_requests < self._slots

    def seconds_to_token(self, now: float) -> float:
        """Return the seconds until the rate allows the next request.

        Without a share they are infinite.
        """
        self._refill(now)
        if self._tokens >= _MIN_WHOLE_TOKEN:
            return 0
        if not self._rate:
            return float('inf')
        return (1 - self._tokens) / self._rate

    def can_request_share(self, now: float) -> bool:
        """Return whether no share request is pending or it timed out."""
        if not self.is_request_pending:
            return True
        return now >= self._requested_at + SHARE_REQUEST_TIMEOUT_SECONDS

    def is_share_request_due(self, now: float) -> bool:
        """Return whether it is time for the next share request."""
        pause = (
            QUEUED_SHARE_REQUEST_SECONDS
            if self.queued
            else SHARE_REQUEST_SECONDS
        )
        return self.can_request_share(now) and now >= self._requested_at + pause

    def begin_share_request(self, request_number: int, now: float) -> int:
        """Record that a share request is sent; return its number."""
        self._request_number = request_number
        self._requested_at = now
        self.is_request_pending = True
        return self._request_number

    def expire_by(self, until: float) -> None:
        """Let the share expire at ``until`` if that is earlier."""
        self._expires_at = min(self._expires_at, until)

    def release(self, now: float) -> None:
        """Release the share before it expires."""
        self._expires_at = now
        self._refill(now)

    def apply_grant(self, grant: ShareGrant, now: float) -> bool:
        """Replace the share; ignore a grant for an earlier request."""
        if not self.is_request_pending or grant.number != self._request_number:
            return False
        self._refill(now)
        self.is_request_pending = False
        self.is_short = grant.is_short
        self._rate = grant.rate
        self._slots = grant.slots
        self._expires_at = self._requested_at + grant.seconds
        if now < self._expires_at:
            self._tokens = min(self._tokens, self._burst()) + grant.tokens
        return True

    def _refill(self, now: float) -> None:
        if now >= self._expires_at:
            # The expired share may already be granted to another host.
            self._tokens = 0
            self._rate = 0
            self._slots = 0
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = now
        if self._tokens < self._burst():
            refilled = self._tokens + self._rate * elapsed
            self._tokens = min(refilled, self._burst())

    def _burst(self) -> float:
        return max(1, self._rate * BURST_SECONDS)
