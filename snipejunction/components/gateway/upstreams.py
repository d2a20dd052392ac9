"""Searchers as one entry host sees them."""

from __future__ import annotations

from snipejunction.components.gateway.const import (
    FAILURE_WEIGHT,
    PENALTY_SECONDS,
    LATENCY_WEIGHT,
    MAX_REFUSED_BACKOFF_SECONDS,
    REFUSED_BACKOFF_SECONDS,
    SLOW_WEIGHT,
)
from snipejunction.components.gateway.replies import OutcomeKind, Outcome
from snipejunction.components.registration.belief import SearcherBelief
from snipejunction.components.registration.const import GONE
from snipejunction.components.registration.messages import SearcherRecord

_HALF = 0.5


class Upstream(SearcherBelief):
    """What is known and learned of one searcher; times are monotonic.

    ``slowness`` is the moving average of its time over the usual time of
    the same route, ``failure`` that of its failures; both return to normal
    while nothing is sent. ``stalled_at`` is when an attempt grew late
    without any answer since.
    """

    __slots__ = (
        '_failure',
        '_refusals',
        '_sampled_at',
        '_slowness',
        'in_flight',
        'last_cold_send',
        'refused_until',
        'stalled_at',
    )

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create the state of a searcher that ``sender`` told of."""
        super().__init__(record, sender, now)
        self.in_flight = 0
        self.last_cold_send = 0.0
        self.stalled_at: float | None = None
        self.refused_until = 0.0
        self._refusals = 0
        self._slowness = 1.0
        self._failure = 0.0
        self._sampled_at = now

    def slowness(self, now: float) -> float:
        """Return its time over the usual one, 1 where nothing is known."""
        return 1.0 + (self._slowness - 1.0) * self._decay(now)

    def failure_rate(self, now: float) -> float:
        """Return the share of its attempts that failed lately."""
        return self._failure * self._decay(now)

    def record_latency(self, ratio: float, now: float) -> None:
        """Take the time of an answer over the usual one."""
        self._apply_decay(now)
        self._refusals = 0
        weight = SLOW_WEIGHT if ratio > self._slowness else LATENCY_WEIGHT
        self._slowness += (ratio - self._slowness) * weight
        self._failure -= self._failure * FAILURE_WEIGHT
        self.stalled_at = None

    def record_outcome(self, outcome: Outcome, now: float) -> None:
        """Take how an attempt ended; the time of a good one goes apart."""
        if outcome.kind is OutcomeKind.MISDIRECTED:
            self.record.state = GONE
        elif outcome.kind is OutcomeKind.REFUSED:
            self._back_off(now)
            self.record_failure(now)
        elif (
            outcome.kind is not OutcomeKind.UNSENT
            and outcome.valid_reply is None
        ):
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Take an attempt that failed."""
        self._apply_decay(now)
        self._failure += (1 - self._failure) * FAILURE_WEIGHT

    def record_late(self, now: float) -> bool:
        """Take an attempt that is late; return whether it is the first."""
        if self.stalled_at is not None:
            return False
        self.stalled_at = now
        return True

    def is_stalled(self, now: float) -> bool:
        """Return whether it answers nothing at present."""
        if self.stalled_at is None:
            return False
        return now < self.stalled_at + PENALTY_SECONDS

    def _back_off(self, now: float) -> None:
        pause = min(
            MAX_REFUSED_BACKOFF_SECONDS,
            REFUSED_BACKOFF_SECONDS * 2**self._refusals,
        )
        self._refusals += 1
        self.refused_until = now + pause

    def _decay(self, now: float) -> float:
        return float(_HALF ** ((now - self._sampled_at) / PENALTY_SECONDS))

    def _apply_decay(self, now: float) -> None:
        self._slowness = self.slowness(now)
        self._failure = self.failure_rate(now)
        self._sampled_at = now
