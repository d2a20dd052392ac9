"""Classification and counts of the answers during a roll-out."""

from __future__ import annotations

from typing import Final

from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.timing import QuantileWindow
from snipejunction.components.rollouts.const import (
    MIN_SLOW_SECONDS,
    SLOW_MEDIANS,
)
from snipejunction.components.rollouts.messages import RouteEvidence
from snipejunction.timers import NEVER

_MEDIAN: Final = 0.5
_FIRST_SERVER_ERROR: Final = 500
# Outcomes that tell nothing of the version of a searcher.
_NO_EVIDENCE: Final = frozenset(
    (OutcomeKind.SHED, OutcomeKind.MISDIRECTED, OutcomeKind.UNSENT)
)
_RECEIVED: Final = frozenset((OutcomeKind.ANSWERED, OutcomeKind.SHED))


class Sending:
    """One attempt at a service with a roll-out.

    ``is_target`` is whether it goes to the target. The time that a searcher
    takes while it ``is_cold`` tells nothing of its version. ``is_counted`` is
    set once the attempt is part of the evidence. ``sent_at`` is in monotonic
    seconds; a relay is silent about its answer for ``silent_seconds``.
    """

    __slots__ = (
        'is_cold',
        'is_counted',
        'is_target',
        'route',
        'sent_at',
        'silent_seconds',
    )

    def __init__(
        self, route: str, sent_at: float, *, is_target: bool, is_cold: bool
    ) -> None:
        """Create an attempt of a request on ``route``."""
        self.route = route
        self.sent_at = sent_at
        self.is_target = is_target
        self.is_cold = is_cold
        self.is_counted = False
        self.silent_seconds = 0.0


class Evidence:
    """Answers of both versions by route, counted since the order."""

    __slots__ = ('_latencies', '_number', 'routes')

    def __init__(self, number: int) -> None:
        """Create the evidence for roll-out ``number``."""
        self._number = number
        self._latencies: dict[str, QuantileWindow] = {}
        self.routes: dict[str, RouteEvidence] = {}

    @property
    def target_total(self) -> int:
        """Return the number of answers of the target."""
        return sum(route.target_total for route in self.routes.values())

    @property
    def target_bad(self) -> int:
        """Return the number of bad answers of the target."""
        return sum(route.target_bad for route in self.routes.values())

    def count(self, sending: Sending, *, is_bad: bool) -> None:
        """Count an attempt unless it is counted already."""
        if sending.is_counted:
            return
        sending.is_counted = True
        counts = self.routes.get(sending.route)
        if counts is None:
            counts = RouteEvidence(self._number, sending.route)
            self.routes[sending.route] = counts
        if sending.is_target:
            counts.target_total += 1
            counts.target_bad += is_bad
        else:
            counts.current_total += 1
            counts.current_bad += is_bad

    def add_latency(self, sending: Sending, seconds: float) -> None:
        """Record a valid answer; those of warm current searchers count."""
        if sending.is_target or sending.is_cold:
            return
        latencies = self._latencies.get(sending.route)
        if latencies is None:
            latencies = QuantileWindow(_MEDIAN)
            self._latencies[sending.route] = latencies
        latencies.add(seconds)

    def slow_bound(self, sending: Sending, route_median: float | None) -> float:
        """Return the seconds after which an attempt is slow.

        ``route_median`` is that of all services of the route; it counts until
        there are enough answers of this one.
        """
        if sending.is_cold:
            return NEVER
        latencies = self._latencies.get(sending.route)
        median = None if latencies is None else latencies.median
        if median is None:
            median = route_median
        if median is None:
            return NEVER
        return max(median * SLOW_MEDIANS, median + MIN_SLOW_SECONDS)


def was_received(outcome: Outcome) -> bool:
    """Return whether the searcher certainly received the request."""
    return outcome.kind in _RECEIVED


def is_bad(outcome: Outcome, *, is_slow: bool, is_relayed: bool) -> bool | None:
    """Return whether an outcome is bad, None if it is no evidence.

    ``is_slow`` is whether the attempt took longer than the slow bound;
    ``is_relayed`` is whether a relay sent it.
    """
    if outcome.kind in _NO_EVIDENCE:
        return None
    if outcome.kind is OutcomeKind.CANCELLED:
        return True if is_slow else None
    if outcome.kind is OutcomeKind.ANSWERED:
        return is_slow or _is_failure(outcome)
    if is_relayed and outcome.seconds is None:
        # The relay was lost, not the searcher.
        return None
    return True


def _is_failure(outcome: Outcome) -> bool:
    reply = outcome.reply
    if reply is None or reply.status >= _FIRST_SERVER_ERROR:
        return True
    return reply.is_success and not reply.signature
