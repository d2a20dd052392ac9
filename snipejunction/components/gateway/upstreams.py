"""Searchers with the statistics that one entry host keeps of them."""

from __future__ import annotations

from snipejunction.components.gateway.const import (
    FAILURE_WEIGHT,
    LATENCY_WEIGHT,
    MAX_REFUSED_BACKOFF_SECONDS,
    PENALTY_SECONDS,
    REFUSED_BACKOFF_SECONDS,
    SLOW_WEIGHT,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.registration.const import GONE
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.components.registration.searcher_status import SearcherStatus
from snipejunction.helpers.rates import SendLog
from snipejunction.timers import NEVER

_HALF = 0.5
# Outcomes without a reply that are not the searcher's doing.
_NO_FAILURES = frozenset((OutcomeKind.UNSENT, OutcomeKind.CANCELLED))


class Allowance(SendLog):
    """What this host sent of its share of the limit that a searcher states.

    ``confirmed_at`` is when a host last got the limit from the searcher,
    ``reported_at`` when a host last told others so, and ``changed_at`` when
    this host last learned of another limit, all in monotonic seconds.
    """

    __slots__ = ('changed_at', 'confirmed_at', 'reported_at')

    def __init__(self, now: float) -> None:
        """Create an empty log."""
        super().__init__()
        self.confirmed_at = now
        self.reported_at = -NEVER
        self.changed_at = -NEVER


class Upstream(SearcherStatus):
    """Status and statistics of one searcher; times are monotonic seconds.

    ``slowness`` is the moving average of its latency relative to the median
    of the route, ``failure_rate`` that of its failures; both decay while
    nothing is sent. ``stalled_at`` is when an attempt became late, None once
    the searcher answered again. ``stated_limit`` is the request rate that it
    states for all hosts together, ``NEVER`` without one. It is taken for full
    until ``full_until``.
    """

    __slots__ = (
        '_failure',
        '_refusals',
        '_sampled_at',
        '_slowness',
        'allowance',
        'full_until',
        'in_flight',
        'last_cold_send',
        'refused_until',
        'stalled_at',
        'stated_limit',
    )

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create the state of a searcher that ``sender`` reported."""
        super().__init__(record, sender, now)
        self.in_flight = 0
        self.last_cold_send = 0.0
        self.stalled_at: float | None = None
        self.refused_until = 0.0
        self.full_until = -NEVER
        self.stated_limit = NEVER
        self.allowance = Allowance(now)
        self._refusals = 0
        self._slowness = 1.0
        self._failure = 0.0
        self._sampled_at = now

    @property
    def states_limit(self) -> bool:
        """Return whether the searcher states a limit."""
        return self.stated_limit < NEVER

    def slowness(self, now: float) -> float:
        """Return the latency relative to the route median, 1 if unknown."""
        return 1.0 + (self._slowness - 1.0) * self._decay_factor(now)

    def failure_rate(self, now: float) -> float:
        """Return the share of recent attempts that failed."""
        return self._failure * self._decay_factor(now)

    def record_latency(self, ratio: float, now: float) -> None:
        """Record an answer; ``ratio`` is its latency over the median."""
        self._apply_decay(now)
        self._refusals = 0
        weight = SLOW_WEIGHT if ratio > self._slowness else LATENCY_WEIGHT
        self._slowness += (ratio - self._slowness) * weight
        self._failure -= self._failure * FAILURE_WEIGHT
        self.stalled_at = None

    def record_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome of an attempt, without its latency."""
        if outcome.kind is OutcomeKind.MISDIRECTED:
            self.record.state = GONE
        elif outcome.kind is OutcomeKind.REFUSED:
            self._back_off(now)
            self.record_failure(now)
        elif outcome.kind not in _NO_FAILURES and outcome.valid_reply is None:
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Record a failed attempt."""
        self._apply_decay(now)
        self._failure += (1 - self._failure) * FAILURE_WEIGHT

    def record_late(self, now: float) -> bool:
        """Record a late attempt; return whether it is the first."""
        if self.stalled_at is not None:
            return False
        self.stalled_at = now
        return True

    def is_stalled(self, now: float) -> bool:
        """Return whether it was late recently and has not answered since."""
        if self.stalled_at is None:
            return False
        return now < self.stalled_at + PENALTY_SECONDS

    def _back_off(self, now: float) -> None:
        backoff = min(
            MAX_REFUSED_BACKOFF_SECONDS,
            REFUSED_BACKOFF_SECONDS * 2**self._refusals,
        )
        self._refusals += 1
        self.refused_until = now + backoff

    def _decay_factor(self, now: float) -> float:
        return float(_HALF ** ((now - self._sampled_at) / PENALTY_SECONDS))

    def _apply_decay(self, now: float) -> None:
        self._slowness = self.slowness(now)
        self._failure = self.failure_rate(now)
        self._sampled_at = now
