"""Formatting of the metrics of an entry host by the Prometheus library."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from snipejunction.edge.gateway.service_metrics import Gauges, LatencyHistogram


def format_metrics(
    answers: Mapping[tuple[str, str], int],
    refusals: Mapping[str, int],
    repeats: int,
    quotas: Mapping[tuple[str, str], int],
    latencies: Mapping[str, LatencyHistogram],
    gauges: Gauges,
) -> bytes:
    """Return metrics in the Prometheus text format.

    ``answers`` maps routes and statuses, ``refusals`` statuses, and ``quotas``
    customers and decisions to counts; ``latencies`` maps routes to histograms.
    """
    registry = CollectorRegistry()
    registry.register(
        _Families(
            [
                _answers_family(answers),
                _refusals_family(refusals),
                _repeats_family(repeats),
                _quotas_family(quotas),
                _latency_family(latencies),
                *_gauge_families(gauges),
            ]
        )
    )
    return bytes(generate_latest(registry))


def format_closed_connections(
    counts: Mapping[str, Mapping[str, int]],
) -> bytes:
    """Return counts by listener and reason in the Prometheus text format."""
    family = _counter_family(
        'snipejunction_connections_refused',
        'Connections that were refused or closed for what they sent or held.',
        ('listener', 'reason'),
        {
            (listener, reason): count
            for listener, reasons in counts.items()
            for reason, count in reasons.items()
        },
    )
    registry = CollectorRegistry()
    registry.register(_Families([family]))
    return bytes(generate_latest(registry))


class _Families(Collector):
    """Collector of metrics that were counted without the library."""

    def __init__(self, families: list[Metric]) -> None:
        self._families = families

    def collect(self) -> list[Metric]:
        """Return the metrics."""
        return self._families


def _counter_family(
    name: str,
    text: str,
    labels: tuple[str, str],
    counts: Mapping[tuple[str, str], int],
) -> Metric:
    family = CounterMetricFamily(name, text, labels=labels)
    for label_values, count in counts.items():
        family.add_metric(label_values, count)
    return family


def _answers_family(answers: Mapping[tuple[str, str], int]) -> Metric:
    return _counter_family(
        'snipejunction_answers',
        'Answers to callers; status 0 stands for callers that left.',
        ('route', 'status'),
        answers,
    )


def _refusals_family(refusals: Mapping[str, int]) -> Metric:
    family = CounterMetricFamily(
        'snipejunction_refusals',
        'Requests that no route or no deployment document allows.',
        labels=('status',),
    )
    for status, count in refusals.items():
        family.add_metric((status,), count)
    return family


def _repeats_family(repeats: int) -> Metric:
    return CounterMetricFamily(
        'snipejunction_repeats',
        'Parts that were asked for once more.',
        value=repeats,
    )


def _quotas_family(quotas: Mapping[tuple[str, str], int]) -> Metric:
    return _counter_family(
        'snipejunction_quota_requests',
        'Requests of customers with a quota.',
        ('customer', 'decision'),
        quotas,
    )


def _latency_family(latencies: Mapping[str, LatencyHistogram]) -> Metric:
    family = HistogramMetricFamily(
        'snipejunction_answer_seconds',
        'Time from the whole request to its answer.',
        labels=('route',),
    )
    for route, latency in latencies.items():
        family.add_metric(
            (route,), latency.cumulative_buckets(), latency.total_seconds
        )
    return family


def _gauge_families(gauges: Gauges) -> Iterator[Metric]:
    for name, (help_text, level) in gauges.items():
        yield GaugeMetricFamily(f'snipejunction_{name}', help_text, value=level)
