"""Pool of a coordinator for a caller's limit at a service."""

from __future__ import annotations

from snipejunction.components.admission.const import (
    BURST_SECONDS,
    HEADROOM_SHARE,
    IDLE_SECONDS,
    MIN_HEADROOM_SHARE,
)
from snipejunction.components.admission.messages import ShareRequest
from snipejunction.components.control.service_settings import CallerLimit


class HostShare:
    """Upper bound of the share that an incarnation of a host may use.

    While a grant is in flight, the host may use either the share that it
    claimed in its request or the granted one, so the larger one counts.
    """

    __slots__ = (
        '_claimed_rate',
        '_claimed_slots',
        '_claimed_until',
        '_granted_rate',
        '_granted_slots',
        '_granted_until',
        'open_requests',
        'request_number',
        'requested_at',
        'wanted_rate',
        'wanted_slots',
    )

    def __init__(self) -> None:
        """Create the share of a host without share requests."""
        self.request_number = 0
        self.requested_at = 0.0
        self.open_requests = 0
        self.wanted_rate = 0.0
        self.wanted_slots = 0
        self._claimed_rate = 0.0
        self._claimed_slots = 0
        self._claimed_until = 0.0
        self._granted_rate = 0.0
        self._granted_slots = 0
        self._granted_until = 0.0

    @property
    def claimed_rate(self) -> float:
        """Return the rate that the host held at its last request."""
        return self._claimed_rate

    @property
    def claimed_slots(self) -> int:
        """Return the concurrency that the host held at its last request."""
        return self._claimed_slots

    def record_request(
        self, request: ShareRequest, now: float, margin: float
    ) -> None:
        """Record the share that a host holds and the demand it reports.

        The claimed share expires ``margin`` seconds later than the host states,
        to allow for clock drift.
        """
        self.request_number = request.number
        self.requested_at = now
        self.open_requests = request.opened
        self.wanted_rate = request.wanted_rate
        self.wanted_slots = request.wanted_slots
        self._claimed_rate = request.held_rate
        self._claimed_slots = max(request.held_slots, request.opened)
        self._claimed_until = now + request.held_seconds + margin
        # The host applies only the grant for its last request.
        self.record_grant(0, 0, now)

    def record_grant(self, rate: float, slots: int, until: float) -> None:
        """Record the share that is granted to the host."""
        self._granted_rate = rate
        self._granted_slots = slots
        self._granted_until = until

    def rate_at(self, now: float) -> float:
        """Return the maximum rate that the host may use now."""
        claimed = self._claimed_rate if now < self._claimed_until else 0
        granted = self._granted_rate if now < self._granted_until else 0
        return max(claimed, granted)

    def slots_at(self, now: float, hold_seconds: float) -> int:
        """Return the maximum number of requests the host may have open.

        Requests may stay open for up to ``hold_seconds`` after the share
        expired.
        """
        claimed = 0
        granted = 0
        if now < self._claimed_until + hold_seconds:
            claimed = self._claimed_slots
        if now < self._granted_until + hold_seconds:
            granted = self._granted_slots
        return max(claimed, granted)

    def is_expired(self, now: float, hold_seconds: float) -> bool:
        """Return whether no part of the share can still be in use."""
        end = max(self._claimed_until, self._granted_until)
        return now >= end + hold_seconds

    def is_active(self, now: float) -> bool:
        """Return whether the host requested a share recently."""
        return now < self.requested_at + IDLE_SECONDS


class Pool:
    """Shares of all hosts, whose sum never exceeds the limit.

    The unassigned rate fills a token bucket for hosts with requests that are
    queued for a share. Until ``claim_deadline``, shares of an earlier
    coordinator that no host has claimed yet may be in use; until then a host
    gets at most the share that it claims.
    """

    __slots__ = ('_claim_deadline', '_shares', '_tokens', '_updated_at')

    def __init__(self, since: float, claim_deadline: float) -> None:
        """Create a pool whose bucket is empty at the time ``since``."""
        self._shares: dict[tuple[str, str], HostShare] = {}
        self._tokens = 0.0
        self._updated_at = since
        self._claim_deadline = claim_deadline

    @property
    def shares(self) -> dict[tuple[str, str], HostShare]:
        """Return the shares by host and incarnation."""
        return self._shares

    def get_share(self, host: str, incarnation: str) -> HostShare:
        """Return the share of an incarnation, created on first use."""
        key = (host, incarnation)
        share = self._shares.get(key)
        if share is None:
            share = HostShare()
            self._shares[key] = share
        return share

    def refill(self, limit: CallerLimit, now: float) -> None:
        """Fill the bucket at the unassigned rate since the last call."""
        held = sum(share.rate_at(now) for share in self._shares.values())
        elapsed = max(0, now - self._updated_at)
        free = max(0, limit.rate - held)
        burst = max(1, limit.rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + free * elapsed)
        self._updated_at = now

    def remove_expired(self, now: float, hold_seconds: float) -> None:
        """Remove the shares of idle hosts that are certainly expired."""
        self._shares = {
            key: share
            for key, share in self._shares.items()
            if share.is_active(now) or not share.is_expired(now, hold_seconds)
        }

    def remove_stopped(self, alive: set[tuple[str, str]]) -> None:
        """Remove the shares of processes that are not in ``alive``."""
        for key in list(self._shares):
            if key not in alive:
                self._shares.pop(key)

    def take_tokens(self, wanted: float) -> float:
        """Remove up to ``wanted`` tokens from the bucket; return the number."""
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def rate_to_grant(
        self,
        share: HostShare,
        limit: CallerLimit,
        now: float,
    ) -> float:
        """Return the rate to grant for a share request."""
        if not share.wanted_rate:
            return 0
        others = [other for other in self._shares.values() if other != share]
        free = limit.rate - sum(other.rate_at(now) for other in others)
        if now < self._claim_deadline:
            free = min(free, share.claimed_rate)
        other_demands = [
            other.wanted_rate for other in others if other.is_active(now)
        ]
        fair = max_min_fair_share(share.wanted_rate, other_demands, limit.rate)
        return max(0, min(fair, free))

    def slots_to_grant(
        self,
        share: HostShare,
        limit: CallerLimit,
        now: float,
        hold_seconds: float,
    ) -> int:
        """Return the concurrency to grant for a share request."""
        if not share.wanted_slots:
            return 0
        others = [other for other in self._shares.values() if other != share]
        taken = sum(other.slots_at(now, hold_seconds) for other in others)
        free = limit.concurrency - taken
        if now < self._claim_deadline:
            free = min(free, share.claimed_slots)
        other_demands: list[float] = [
            other.wanted_slots for other in others if other.is_active(now)
        ]
        fair = int(
            max_min_fair_share(
                share.wanted_slots, other_demands, limit.concurrency
            )
        )
        # A limit below the number of hosts is granted in order of request.
        return max(0, min(max(1, fair), free))

    def is_short(self, limit: CallerLimit, now: float) -> bool:
        """Return whether the total demand exceeds the limit."""
        active = [
            other for other in self._shares.values() if other.is_active(now)
        ]
        if sum(share.wanted_rate for share in active) > limit.rate:
            return True
        return sum(share.wanted_slots for share in active) > limit.concurrency


def max_min_fair_share(
    wanted: float, others: list[float], limit: float
) -> float:
    """Return the max-min fair share of a host with the demand ``wanted``.

    ``others`` are the demands of the other hosts. If the total demand is
    below the limit, part of the rest is granted as headroom. A host gets
    headroom of about its own demand at most, because the share of a lost
    host stays unusable until it expires.
    """
    unused = limit - wanted - sum(others)
    if unused >= 0:
        headroom = HEADROOM_SHARE * unused / (len(others) + 1)
        return wanted + min(headroom, wanted + MIN_HEADROOM_SHARE * limit)
    remaining = limit
    demands = sorted([wanted, *others])
    for satisfied, demand in enumerate(demands):
        fair = remaining / (len(demands) - satisfied)
        if demand > fair:
            return min(wanted, fair)
        if demand == wanted:
            return wanted
        remaining -= demand
    return wanted
