"""The coordinator's side of a caller's limit at a service."""

from __future__ import annotations

from snipejunction.components.admission.const import (
    BURST_SECONDS,
    HEADROOM_SHARE,
    IDLE_SECONDS,
    LEAST_HEADROOM_SHARE,
)
from snipejunction.components.admission.messages import ShareAsk
from snipejunction.components.control.service_settings import CallerLimit


class HostShare:
    """What one incarnation of a host may hold of the limit.

    While a grant is on its way the host may use the share that it held at
    its ask or the granted one, so the larger of the two counts.
    """

    __slots__ = (
        '_claimed_rate',
        '_claimed_slots',
        '_claimed_until',
        '_granted_rate',
        '_granted_slots',
        '_granted_until',
        'heard_at',
        'number',
        'opened',
        'wanted_rate',
        'wanted_slots',
    )

    def __init__(self) -> None:
        """Create the share of a host that never asked."""
        self.number = 0
        self.heard_at = 0.0
        self.opened = 0
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
        """Return the rate that the host held when it asked."""
        return self._claimed_rate

    @property
    def claimed_slots(self) -> int:
        """Return the concurrency that the host held when it asked."""
        return self._claimed_slots

    def take_ask(self, ask: ShareAsk, now: float, margin: float) -> None:
        """Note what a host holds and wants."""
        self.number = ask.number
        self.heard_at = now
        self.opened = ask.opened
        self.wanted_rate = ask.wanted_rate
        self.wanted_slots = ask.wanted_slots
        self._claimed_rate = ask.held_rate
        self._claimed_slots = max(ask.held_slots, ask.opened)
        self._claimed_until = now + ask.held_seconds + margin
        # Grants of earlier asks are void: the host takes the last one only.
        self.note_grant(0, 0, now)

    def note_grant(self, rate: float, slots: int, until: float) -> None:
        """Note the share that goes out to the host."""
        self._granted_rate = rate
        self._granted_slots = slots
        self._granted_until = until

    def rate_at(self, now: float) -> float:
        """Return the highest rate that the host may use now."""
        claimed = self._claimed_rate if now < self._claimed_until else 0
        granted = self._granted_rate if now < self._granted_until else 0
        return max(claimed, granted)

    def slots_at(self, now: float, hold: float) -> int:
        """Return the most requests that the host may have open now.

        Requests stay open for up to ``hold`` seconds after the share.
        """
        claimed = 0
        granted = 0
        if now < self._claimed_until + hold:
            claimed = self._claimed_slots
        if now < self._granted_until + hold:
            granted = self._granted_slots
        return max(claimed, granted)

    def is_over(self, now: float, hold: float) -> bool:
        """Return whether nothing of the share can be in use."""
        last = max(self._claimed_until, self._granted_until)
        return now >= last + hold

    def is_active(self, now: float) -> bool:
        """Return whether the host lately had demand."""
        return now < self.heard_at + IDLE_SECONDS


class Pool:
    """The shares of all hosts, which never add up to more than the limit.

    The rate that no host holds fills a bucket; its tokens serve hosts whose
    requests wait while their share is on its way. Until ``unknown_until``
    an earlier coordinator's shares may be in use that no host has claimed
    yet: hosts then get no more than they claim.
    """

    __slots__ = ('_shares', '_tokens', '_unknown_until', '_updated_at')

    def __init__(self, since: float, unknown_until: float) -> None:
        """Create a pool whose bucket fills since the time ``since``."""
        self._shares: dict[tuple[str, str], HostShare] = {}
        self._tokens = 0.0
        self._updated_at = since
        self._unknown_until = unknown_until

    @property
    def shares(self) -> dict[tuple[str, str], HostShare]:
        """Return the shares by host and incarnation."""
        return self._shares

    def share_of(self, host: str, incarnation: str) -> HostShare:
        """Return the share of an incarnation of a host."""
        place = (host, incarnation)
        share = self._shares.get(place)
        if share is None:
            share = HostShare()
            self._shares[place] = share
        return share

    def refill(self, limit: CallerLimit, now: float) -> None:
        """Add the rate that no host held since the last call."""
        held = sum(share.rate_at(now) for share in self._shares.values())
        passed = max(0, now - self._updated_at)
        free = max(0, limit.rate - held)
        burst = max(1, limit.rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + free * passed)
        self._updated_at = now

    def forget_over(self, now: float, hold: float) -> None:
        """Drop the shares that are certainly over."""
        self._shares = {
            place: share
            for place, share in self._shares.items()
            if share.is_active(now) or not share.is_over(now, hold)
        }

    def forget_gone(self, alive: set[tuple[str, str]]) -> None:
        """Drop the shares of processes that are in no view any more."""
        for place in list(self._shares):
            if place not in alive:
                self._shares.pop(place)

    def take_tokens(self, wanted: float) -> float:
        """Take up to ``wanted`` tokens out of the bucket."""
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def rate_for(
        self,
        share: HostShare,
        limit: CallerLimit,
        now: float,
    ) -> float:
        """Return the rate to grant to a host that just asked."""
        if not share.wanted_rate:
            return 0
        others = [other for other in self._shares.values() if other != share]
        free = limit.rate - sum(other.rate_at(now) for other in others)
        if now < self._unknown_until:
            free = min(free, share.claimed_rate)
        wants = [other.wanted_rate for other in others if other.is_active(now)]
        fair = fair_part(share.wanted_rate, wants, limit.rate)
        return max(0, min(fair, free))

    def slots_for(
        self,
        share: HostShare,
        limit: CallerLimit,
        now: float,
        hold: float,
    ) -> int:
        """Return the concurrency to grant to a host that just asked."""
        if not share.wanted_slots:
            return 0
        others = [other for other in self._shares.values() if other != share]
        taken = sum(other.slots_at(now, hold) for other in others)
        free = limit.concurrency - taken
        if now < self._unknown_until:
            free = min(free, share.claimed_slots)
        wants: list[float] = [
            other.wanted_slots for other in others if other.is_active(now)
        ]
        fair = int(fair_part(share.wanted_slots, wants, limit.concurrency))
        # A limit below the number of hosts goes to those who come first.
        return max(0, min(max(1, fair), free))

    def is_short(self, limit: CallerLimit, now: float) -> bool:
        """Return whether the hosts together want more than the limit."""
        active = [one for one in self._shares.values() if one.is_active(now)]
        if sum(share.wanted_rate for share in active) > limit.rate:
            return True
        return sum(share.wanted_slots for share in active) > limit.concurrency


def fair_part(wanted: float, others: list[float], limit: float) -> float:
    """Return the max-min fair part of one that wants ``wanted``.

    If all together want less than the limit, a part of the rest is split
    among them as headroom, to each about as much as it wants: what a host
    holds is out of use for a while if the host is lost.
    """
    rest = limit - wanted - sum(others)
    if rest >= 0:
        headroom = HEADROOM_SHARE * rest / (len(others) + 1)
        return wanted + min(headroom, wanted + LEAST_HEADROOM_SHARE * limit)
    left = limit
    claims = sorted([wanted, *others])
    for served, claim in enumerate(claims):
        part = left / (len(claims) - served)
        if claim > part:
            return min(wanted, part)
        if claim == wanted:
            return wanted
        left -= claim
    return wanted
