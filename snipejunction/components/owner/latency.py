"""Estimate of the service time of a searcher."""

from __future__ import annotations

from typing import Final

from snipejunction.components.owner.const import MIN_LATENCY_SAMPLES

DEFAULT_LATENCY_SECONDS: Final = 0.01
_MEAN_WEIGHT: Final = 0.1
_HIGH_QUANTILE: Final = 0.9
_STEP_SHARE: Final = 0.2


class LatencyEstimate:
    """A moving mean and a moving 90th percentile, in seconds."""

    __slots__ = ('_high_quantile', '_mean', '_sample_count')

    def __init__(
        self,
        mean: float = DEFAULT_LATENCY_SECONDS,
        high_quantile: float = DEFAULT_LATENCY_SECONDS,
    ) -> None:
        """Create an estimate that starts at the given values."""
        self._mean = mean
        self._high_quantile = high_quantile
        self._sample_count = 0

    @property
    def mean(self) -> float:
        """Return the moving mean."""
        return self._mean

    @property
    def high_quantile(self) -> float:
        """Return the moving 90th percentile."""
        return max(self._high_quantile, self._mean)

    @property
    def has_enough_samples(self) -> bool:
        """Return whether the estimate rests on enough samples."""
        return self._sample_count >= MIN_LATENCY_SAMPLES

    def record(self, seconds: float) -> None:
        """Add one service time to the estimate."""
        self._sample_count += 1
        self._mean += _MEAN_WEIGHT * (seconds - self._mean)
        step = _STEP_SHARE * self._mean
        if seconds > self._high_quantile:
            self._high_quantile += _HIGH_QUANTILE * step
        else:
            self._high_quantile -= (1 - _HIGH_QUANTILE) * step
