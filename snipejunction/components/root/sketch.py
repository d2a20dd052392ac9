"""Histogram of times whose old samples lose weight."""

from __future__ import annotations

import math
from typing import Final

_MIN_SECONDS: Final = 0.0001
_BUCKET_GROWTH: Final = 1.08
_LOG_GROWTH: Final = math.log(_BUCKET_GROWTH)
_BUCKET_COUNT: Final = 180
# Samples after which all counts are halved.
_SAMPLES_PER_HALVING: Final = 2000
_SAMPLES_PER_CACHE_RESET: Final = 64


class TimeSketch:
    """Histogram of times in seconds with buckets of equal relative width.

    The buckets cover 0.1 ms to about 100 s with a resolution of 8 per cent.
    Counts decay, so that quantiles follow recent samples.
    """

    __slots__ = (
        '_cached_quantiles',
        '_counts',
        '_samples_since_halving',
        '_samples_since_reset',
    )

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts = [0.0 for _ in range(_BUCKET_COUNT)]
        self._cached_quantiles: dict[float, float] = {}
        self._samples_since_halving = 0
        self._samples_since_reset = 0

    @property
    def total(self) -> float:
        """Return the decayed number of samples."""
        return sum(self._counts)

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self._counts[_bucket_index(seconds)] += 1
        self._samples_since_reset += 1
        self._samples_since_halving += 1
        if self._samples_since_halving >= _SAMPLES_PER_HALVING:
            self._samples_since_halving = 0
            self._counts = [count / 2 for count in self._counts]
        if self._samples_since_reset >= _SAMPLES_PER_CACHE_RESET:
            self._samples_since_reset = 0
            self._cached_quantiles.clear()

    def add_abandoned(self) -> None:
        """Add an abandoned measurement to the last bucket."""
        self.add(_MIN_SECONDS * _BUCKET_GROWTH**_BUCKET_COUNT)

    def quantile(self, share: float) -> float:
        """Return the quantile for ``share`` from 0 to 1.

        Without samples it is zero. The value is cached for a few samples.
        """
        seconds = self._cached_quantiles.get(share)
        if seconds is None:
            seconds = self._find_quantile(share)
            self._cached_quantiles[share] = seconds
        return seconds

    def finish_probability(self, elapsed: float, limit: float) -> float:
        """Return the share of times over ``elapsed`` that end by ``limit``.

        Without samples over ``elapsed`` it is zero.
        """
        first = _bucket_index(elapsed) + 1
        last = _bucket_index(limit) + 1
        longer = sum(self._counts[first:])
        if not longer:
            return 0.0
        return sum(self._counts[first:last]) / longer

    def _find_quantile(self, share: float) -> float:
        target = self.total * share
        if not target:
            return 0.0
        cumulative = 0.0
        for bucket, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= target:
                return _MIN_SECONDS * _BUCKET_GROWTH ** (bucket + 1)
        return _MIN_SECONDS * _BUCKET_GROWTH**_BUCKET_COUNT


def _bucket_index(seconds: float) -> int:
    if seconds <= _MIN_SECONDS:
        return 0
    bucket = int(math.log(seconds / _MIN_SECONDS) / _LOG_GROWTH)
    return min(bucket, _BUCKET_COUNT - 1)
