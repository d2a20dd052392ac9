"""Adaptive concurrency limit of a searcher that warms up."""

from __future__ import annotations

from typing import Final

from snipejunction.timers import NEVER

# Successful answers that are evaluated together, fewer where the baseline is
# proven.
_WINDOW_ANSWERS: Final = 24
_PROVEN_WINDOW_ANSWERS: Final = 12
# Medians within this multiple of the baseline count as warm.
_WARM_FACTOR: Final = 1.4
# Medians above this multiple of the baseline shrink the limit.
_JUMP_FACTOR: Final = 2.0
# A median below this share of the previous one shows that the searcher is
# still warming up.
_IMPROVING_SHARE: Final = 0.8
_GROWTH_STEP: Final = 1
_SHRINK_SHARE: Final = 0.7
# The baseline may rise by this share in each window, to follow a lasting
# change.
_DRIFT_SHARE: Final = 0.015
# An answer confirms for this long that the searcher has not restarted.
_CONFIRMATION_SECONDS: Final = 0.1


class Warmth:
    """Limit of concurrent requests, from the cold capacity to the slots.

    The limit grows after a window of successful answers whose service times
    are near the baseline, provided that the window used the full limit. The
    baseline is the service time of the warm searcher in seconds.
    """

    __slots__ = (
        '_baseline',
        '_ceiling',
        '_cold_capacity',
        '_confirmed_at',
        '_is_baseline_proven',
        '_is_idle_restriction',
        '_last_median',
        '_limit',
        '_peak_in_flight',
        '_restricted_at',
        '_service_times',
        '_window_started_at',
    )

    def __init__(self, baseline: float | None = None) -> None:
        """Create the limit of a cold searcher; ``baseline`` is in seconds."""
        self._baseline = baseline
        self._is_baseline_proven = baseline is not None
        self._ceiling = 0
        self._cold_capacity = 0
        self._limit = 0.0
        self._window_started_at = -NEVER
        self._confirmed_at = -NEVER
        self._restricted_at: float | None = None
        self._is_idle_restriction = False
        self._last_median: float | None = None
        self._peak_in_flight = 0
        self._service_times: list[float] = []

    @property
    def effective_limit(self) -> int:
        """Return the number of concurrent requests allowed now.

        It is at most the cold capacity while the limit is restricted.
        """
        if self._restricted_at is None:
            return int(self._limit)
        return min(self._cold_capacity, int(self._limit))

    @property
    def limit(self) -> float:
        """Return the learned limit without any restriction."""
        return self._limit

    @property
    def baseline(self) -> float | None:
        """Return the service time of the warm searcher in seconds.

        None until the searcher has served at its full limit.
        """
        return self._baseline if self._is_baseline_proven else None

    @property
    def is_initial(self) -> bool:
        """Return whether there was neither an answer nor a reset yet."""
        return self._window_started_at == -NEVER and not self._service_times

    def set_bounds(self, cold_capacity: int, slots: int) -> None:
        """Set the bounds of the limit and clamp it to them."""
        self._ceiling = max(0, slots)
        self._cold_capacity = max(0, min(cold_capacity, self._ceiling))
        self._limit = min(max(self._limit, self._cold_capacity), self._ceiling)

    def seed_baseline(self, baseline: float | None) -> None:
        """Use the service time of similar warm searchers if none is known."""
        if self._baseline is None and baseline is not None:
            self._baseline = baseline
            self._is_baseline_proven = True

    def restore(self, limit: float, baseline: float | None) -> None:
        """Restore what an earlier owner learned of the same boot."""
        self._limit = min(max(limit, self._cold_capacity), self._ceiling)
        self._baseline = baseline
        self._is_baseline_proven = baseline is not None

    def reset(self, now: float) -> None:
        """Reset the limit to cold and ignore requests started before."""
        self._limit = self._cold_capacity
        self._last_median = None
        self._restricted_at = None
        self._start_window(now)

    def restrict_to_cold(self, now: float) -> None:
        """Restrict the limit to the cold capacity until ``confirm_boot``."""
        self._restricted_at = now
        self._is_idle_restriction = False

    def restrict_if_unconfirmed(self, now: float) -> None:
        """Restrict a limit that no answer has confirmed recently.

        An idle searcher may have restarted without being noticed.
        """
        if self._restricted_at is None:
            if now >= self._confirmed_at + _CONFIRMATION_SECONDS:
                self._restricted_at = now
                self._is_idle_restriction = True

    def lift_idle_restriction(self) -> None:
        """Lift a restriction that ``restrict_if_unconfirmed`` imposed."""
        if self._is_idle_restriction:
            self._is_idle_restriction = False
            self._restricted_at = None

    def confirm_boot(self, started_at: float, now: float) -> None:
        """Lift restrictions: the boot answered a request begun after them."""
        self._confirmed_at = now
        if (
            self._restricted_at is not None
            and started_at >= self._restricted_at
        ):
            self._restricted_at = None

    def record_overload(self, started_at: float, now: float) -> None:
        """Shrink the limit once for all requests started before."""
        if started_at >= self._window_started_at:
            self._shrink(now)

    def record_success(
        self,
        started_at: float,
        service_seconds: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Add a successful answer to the window.

        ``in_flight`` is the number of requests when this one ended.
        """
        if started_at < self._window_started_at:
            return
        self._service_times.append(service_seconds)
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        size = (
            _PROVEN_WINDOW_ANSWERS
            if self._is_baseline_proven
            else _WINDOW_ANSWERS
        )
        if len(self._service_times) >= size:
            self._evaluate_window(now)

    def _evaluate_window(self, now: float) -> None:
        median = _median(self._service_times)
        baseline = median if self._baseline is None else self._baseline
        is_stable = self._is_stable(median)
        self._last_median = median
        self._baseline = min(median, baseline * (1 + _DRIFT_SHARE))
        if median > _JUMP_FACTOR * baseline:
            self._shrink(now)
            return
        is_fully_used = self._peak_in_flight >= self.effective_limit
        if is_stable and is_fully_used and median <= _WARM_FACTOR * baseline:
            self._grow()
        # The next window only counts requests started under the new limit.
        self._start_window(now)

    def _is_stable(self, median: float) -> bool:
        """Return whether the service times have stopped falling."""
        half = len(self._service_times) // 2
        before = _median(self._service_times[:half])
        after = _median(self._service_times[half:])
        if after < _IMPROVING_SHARE * before:
            return False
        last = self._last_median
        return last is None or median >= _IMPROVING_SHARE * last

    def _grow(self) -> None:
        if self._limit >= self._ceiling:
            self._is_baseline_proven = True
        self._limit = min(self._limit + _GROWTH_STEP, self._ceiling)

    def _shrink(self, now: float) -> None:
        self._limit = max(self._cold_capacity, self._limit * _SHRINK_SHARE)
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_started_at = now
        self._peak_in_flight = 0
        self._service_times.clear()


def _median(times: list[float]) -> float:
    return sorted(times)[len(times) // 2]
