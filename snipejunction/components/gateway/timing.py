"""Times that searchers took, as quantiles and moving averages."""

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
    """A quantile of the newest samples, looked up now and then."""

    __slots__ = ('_fresh', '_median', '_quantile', '_samples', '_value')

    def __init__(self, quantile: float) -> None:
        """Create a window without samples."""
        self._quantile = quantile
        self._samples: deque[float] = deque(maxlen=QUANTILE_SAMPLES)
        self._fresh = 0
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
        """Take a sample."""
        self._samples.append(sample)
        self._fresh += 1
        if self._fresh >= QUANTILE_REFRESH_SAMPLES:
            self._fresh = 0
            ordered = sorted(self._samples)
            self._value = ordered[int(len(ordered) * self._quantile)]
            self._median = ordered[len(ordered) // 2]


def hedge_delay(times: QuantileWindow, objective: float) -> float:
    """Return how long an attempt may take before a hedge, in seconds.

    ``times`` are those of the parts of a route, ``objective`` is its own.
    """
    wait = objective * MAX_HEDGE_DELAY_SHARE
    if times.value is not None and times.median is not None:
        wait = min(wait, times.value, times.median * HEDGE_MEDIANS)
    return max(wait, MIN_HEDGE_DELAY_SECONDS)
