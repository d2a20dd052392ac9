"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from typing import Final, TypeAlias

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

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
_OTHER_ROUTES: Final = 'other'

# Help text and current value by gauge name.
Gauges: TypeAlias = dict[str, tuple[str, float]]


class ServiceMetrics:
    """Metrics of one process, with a bounded number of labels."""

    __slots__ = (
        '_answers',
        '_gauges',
        '_latency',
        '_refusals',
        '_registry',
        '_repeats',
        '_routes',
    )

    def __init__(self) -> None:
        """Create the metrics in a new registry."""
        registry = CollectorRegistry()
        self._registry = registry
        self._routes: set[str] = set()
        self._gauges: dict[str, Gauge] = {}
        self._answers = Counter(
            'snipejunction_answers',
            'Answers to callers; status 0 stands for callers that left.',
            ('route', 'status'),
            registry=registry,
        )
        self._refusals = Counter(
            'snipejunction_refusals',
            'Requests that no route or no deployment document allows.',
            ('status',),
            registry=registry,
        )
        self._repeats = Counter(
            'snipejunction_repeats',
            'Parts that were asked for once more.',
            registry=registry,
        )
        self._latency = Histogram(
            'snipejunction_answer_seconds',
            'Time from the whole request to its answer.',
            ('route',),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )

    def record_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer and observe its latency."""
        label = self._route_label(route)
        self._answers.labels(label, str(status)).inc()
        self._latency.labels(label).observe(seconds)

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused without being forwarded."""
        self._refusals.labels(str(status)).inc()

    def count_repeat(self) -> None:
        """Count a repeated attempt."""
        self._repeats.inc()

    def text(self, gauges: Gauges) -> bytes:
        """Set the gauges and return all metrics in the text format."""
        for name, (help_text, level) in gauges.items():
            self._set_gauge(name, help_text, level)
        return bytes(generate_latest(self._registry))

    def _set_gauge(self, name: str, help_text: str, level: float) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            full_name = f'snipejunction_{name}'
            gauge = Gauge(full_name, help_text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(level)

    def _route_label(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) >= _MAX_ROUTES:
            return _OTHER_ROUTES
        self._routes.add(route)
        return route
