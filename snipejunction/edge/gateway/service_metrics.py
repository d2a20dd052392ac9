"""Counters and latency histograms in the text format of Prometheus."""

from __future__ import annotations

from typing import Final, TypeAlias

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_BUCKETS: Final = (
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
# Routes with histograms of their own; all further ones share one label.
_MAX_ROUTES: Final = 32
_OTHER: Final = 'other'


# Texts and amounts by the names of gauges.
Gauges: TypeAlias = dict[str, tuple[str, float]]


class ServiceMetrics:
    """Metrics of one process; labels are bounded."""

    __slots__ = (
        '_answers',
        '_gauges',
        '_refusals',
        '_registry',
        '_repeats',
        '_routes',
        '_seconds',
    )

    def __init__(self) -> None:
        """Create metrics in a registry of their own."""
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
        self._seconds = Histogram(
            'snipejunction_answer_seconds',
            'Time from the whole request to its answer.',
            ('route',),
            buckets=_BUCKETS,
            registry=registry,
        )

    def note_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer and its time."""
        label = self._label(route)
        self._answers.labels(label, str(status)).inc()
        self._seconds.labels(label).observe(seconds)

    def note_refusal(self, status: int) -> None:
        """Count a request that was refused before it became one."""
        self._refusals.labels(str(status)).inc()

    def note_repeat(self) -> None:
        """Count a part that was asked for once more."""
        self._repeats.inc()

    def text(self, gauges: Gauges) -> bytes:
        """Return all metrics, with the gauges as they stand now."""
        for name, (text, amount) in gauges.items():
            self._set_gauge(name, text, amount)
        return bytes(generate_latest(self._registry))

    def _set_gauge(self, name: str, text: str, amount: float) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            full_name = f'snipejunction_{name}'
            gauge = Gauge(full_name, text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(amount)

    def _label(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) >= _MAX_ROUTES:
            return _OTHER
        self._routes.add(route)
        return route
