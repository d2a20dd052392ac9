"""Quantiles of searcher latencies and the hedge delay derived from them."""

from __future__ import annotations

from collections import deque

from snipejunction.components.gateway.const import (
    HEDGE_MEDIANS,
    MAX_HEDGE_DELAY_SHARE,
    MIN_HEDGE_DELAY_SECONDS,
    QUANTILE_REFRESH_SAMPLES,
    QUANTILE_SAMPLES,
)


class QuantileWindow:
    """A quantile of the newest samples, recomputed at intervals."""

    __slots__ = ('_new_samples', '_median', '_quantile', '_samples', '_value')

    def __init__(self, quantile: float) -> None:
        """Create a window without samples."""
        self._quantile = quantile
        self._samples: deque[float] = deque(maxlen=QUANTILE_SAMPLES)
        self._new_samples = 0
        self._value: float | None = None
        self._median: float | None = None

    @property
    def value(self) -> float | None:
        """Return the quantile, None before there are enough samples."""
        return self._value

    @property
    def median(self) -> float | None:
        """Return the median, None before there are enough samples."""
        return self._median

    def add(self, sample: float) -> None:
        """Add a sample."""
        self._samples.append(sample)
        self._new_samples += 1
        if self._new_samples >= QUANTILE_REFRESH_SAMPLES:
            self._new_samples = 0
            ordered = sorted(self._samples)
            self._value = ordered[int(len(ordered) * self._quantile)]
            self._median = ordered[len(ordered) // 2]


def hedge_delay(latencies: QuantileWindow, objective: float) -> float:
    """Return the delay of a hedge after an attempt, in seconds.

    ``latencies`` and ``objective`` are those of the route.
    """
    wait = objective * MAX_HEDGE_DELAY_SHARE
    if latencies.value is not None and latencies.median is not None:
        wait = min(wait, latencies.value, latencies.median * HEDGE_MEDIANS)
    return max(wait, MIN_HEDGE_DELAY_SECONDS)
