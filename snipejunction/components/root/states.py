"""Statistics that a root keeps on services, searchers and owners."""

from __future__ import annotations

from typing import Final

from snipejunction.components.owner.messages import SnapshotEntry, SnapshotId
from snipejunction.components.root.budget import (
    INITIAL_HEDGE_TOKENS,
    TokenBudget,
)
from snipejunction.components.root.const import MAX_AVOID_SECONDS
from snipejunction.components.root.index import SnapshotLayout
from snipejunction.components.root.sketch import TimeSketch

# Weights of a new sample in the moving averages of times and of shares.
_TIME_SAMPLE_WEIGHT: Final = 0.2
_SHARE_SAMPLE_WEIGHT: Final = 0.02
_MAX_AVOID_DOUBLINGS: Final = 8


class ServiceState:
    """Statistics and token budgets of a service.

    ``refused_share`` is the share of recent sub-requests that were refused
    because of load, ``late_share`` the share that exceeded the hedge delay.
    ``indexed_snapshots`` holds the snapshots of each searcher from which
    ``layouts`` was built.
    """

    __slots__ = (
        '_late_share',
        '_refused_share',
        'hedge_tokens',
        'indexed_snapshots',
        'is_layout_stale',
        'layouts',
        'retry_tokens',
        'searcher_times',
    )

    def __init__(self) -> None:
        """Create the state of a service without queries."""
        self.searcher_times: Final = TimeSketch()
        self.hedge_tokens: Final = TokenBudget(INITIAL_HEDGE_TOKENS)
        self.retry_tokens: Final = TokenBudget()
        self.layouts: list[SnapshotLayout] = []
        self.indexed_snapshots: dict[str, tuple[SnapshotEntry, ...]] = {}
        self.is_layout_stale = True
        self._refused_share = 0.0
        self._late_share = 0.0

    @property
    def refused_share(self) -> float:
        """Return the share of sub-requests refused because of load."""
        return self._refused_share

    @property
    def late_share(self) -> float:
        """Return the share of sub-requests that exceeded the hedge delay."""
        return self._late_share

    def record_refused(self, *, is_refused: bool) -> None:
        """Record whether a sub-request was refused because of load."""
        difference = is_refused - self._refused_share
        self._refused_share += _SHARE_SAMPLE_WEIGHT * difference

    def record_late(self, *, is_late: bool) -> None:
        """Record whether a sub-request exceeded the hedge delay."""
        self._late_share += _SHARE_SAMPLE_WEIGHT * (is_late - self._late_share)


class SearcherState:
    """Statistics of a searcher; times are in seconds.

    ``outstanding`` counts the sub-requests of this root without a result,
    ``late_count`` those among them that exceeded the hedge delay.
    ``sampled_at`` is when the last times were recorded. ``missing_until``
    maps each snapshot that the searcher reported missing to the time until
    which that report counts.
    """

    __slots__ = (
        '_average_service_seconds',
        'avoid_until',
        'consecutive_refusals',
        'late_count',
        'missing_until',
        'outstanding',
        'queue_seconds',
        'sampled_at',
    )

    def __init__(self) -> None:
        """Create the state of a searcher without sub-requests."""
        self._average_service_seconds = 0.0
        self.queue_seconds = 0.0
        self.sampled_at = 0.0
        self.outstanding = 0
        self.late_count = 0
        self.consecutive_refusals = 0
        self.avoid_until = 0.0
        self.missing_until: dict[SnapshotId, float] = {}

    @property
    def service_seconds(self) -> float:
        """Return the average service time, zero without samples."""
        return self._average_service_seconds

    def record_times(
        self, queue_seconds: float, service_seconds: float, now: float
    ) -> None:
        """Record the queueing and service times of a sub-request."""
        self.consecutive_refusals = 0
        if not self._average_service_seconds:
            self._average_service_seconds = service_seconds
        self._average_service_seconds += _TIME_SAMPLE_WEIGHT * (
            service_seconds - self._average_service_seconds
        )
        self.queue_seconds += _TIME_SAMPLE_WEIGHT * (
            queue_seconds - self.queue_seconds
        )
        self.sampled_at = now

    def avoid_for(self, pause: float, now: float) -> None:
        """Avoid the searcher, for longer with each consecutive refusal."""
        doubled = pause * 2 ** min(
            self.consecutive_refusals, _MAX_AVOID_DOUBLINGS
        )
        self.consecutive_refusals += 1
        until = now + min(doubled, MAX_AVOID_SECONDS)
        self.avoid_until = max(self.avoid_until, until)

    def may_hold(self, snapshot: SnapshotId, now: float) -> bool:
        """Return whether no recent report says that a snapshot is missing."""
        if not self.missing_until:
            return True
        return self.missing_until.get(snapshot, now) <= now


class OwnerState:
    """Network statistics of an owner: round trip and last connection loss."""

    __slots__ = ('_round_trip', 'unreachable_until')

    def __init__(self, round_trip: float) -> None:
        """Create the state of an owner with an assumed round trip."""
        self._round_trip = round_trip
        self.unreachable_until = 0.0

    @property
    def round_trip(self) -> float:
        """Return the average network round trip in seconds."""
        return self._round_trip

    def record_round_trip(self, seconds: float) -> None:
        """Record the network round trip of a sub-request."""
        self._round_trip += _TIME_SAMPLE_WEIGHT * (seconds - self._round_trip)
