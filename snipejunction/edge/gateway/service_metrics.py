"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Final, TypeAlias

_LATENCY_BUCKETS_SECONDS: Final = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.08,
    0.16,
    0.32,
    0.64,
    1.28,
    2.56,
    5.12,
)
# Maximum number of route labels; further routes share one label.
_MAX_ROUTES: Final = 32
# Maximum number of customer labels, like that of routes.
_MAX_CUSTOMERS: Final = 100
_OTHERS: Final = 'other'

# Help text and current value by gauge name.
Gauges: TypeAlias = dict[str, tuple[str, float]]


class LatencyHistogram:
    """Latencies of one route in fixed buckets, in seconds."""

    __slots__ = ('counts', 'total_seconds')

    def __init__(self) -> None:
        """Create an empty histogram."""
        self.counts = [0 for _ in range(len(_LATENCY_BUCKETS_SECONDS) + 1)]
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count a latency."""
        self.counts[bisect_left(_LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative_buckets(self) -> list[tuple[str, int]]:
        """Return the upper bound of each bucket and the count up to it."""
        total = 0
        buckets = []
        bounds = [*map(str, _LATENCY_BUCKETS_SECONDS), '+Inf']
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class ServiceMetrics:
    """Metrics of one process, with a bounded number of labels."""

    __slots__ = (
        '_answers',
        '_customers',
        '_latencies',
        '_quotas',
        '_refusals',
        '_repeats',
    )

    def __init__(self) -> None:
        """Create metrics without any samples."""
        self._answers: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, LatencyHistogram] = {}
        self._refusals: Counter[str] = Counter()
        self._repeats = 0
        self._customers: set[str] = set()
        self._quotas: Counter[tuple[str, str]] = Counter()

    def record_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer and observe its latency."""
        label = self._route_label(route)
        self._answers[label, str(status)] += 1
        latency = self._latencies.get(label)
        if latency is None:
            latency = LatencyHistogram()
            self._latencies[label] = latency
        latency.observe(seconds)

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused without being forwarded."""
        self._refusals[str(status)] += 1

    def count_repeat(self) -> None:
        """Count a repeated attempt."""
        self._repeats += 1

    def count_quota(self, customer: str, *, is_admitted: bool) -> None:
        """Count a decision on a request of a customer with a quota."""
        if len(self._customers) < _MAX_CUSTOMERS:
            self._customers.add(customer)
        label = customer if customer in self._customers else _OTHERS
        self._quotas[label, 'admitted' if is_admitted else 'refused'] += 1

    def text(self, gauges: Gauges) -> bytes:
        """Return all metrics, with ``gauges``, in the text format."""
        # Importing the library takes a tenth of the start of a process, and
        # many processes are never asked for their metrics.
        from snipejunction.edge.gateway import exposition  # noqa: WPS433

        return exposition.format_metrics(
            self._answers,
            self._refusals,
            self._repeats,
            self._quotas,
            self._latencies,
            gauges,
        )

    def _route_label(self, route: str) -> str:
        if route in self._latencies or len(self._latencies) < _MAX_ROUTES:
            return route
        return _OTHERS
