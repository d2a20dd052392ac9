"""Figures of benchmark runs and their JSON form."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from snipejunction.bench.recorder import HistoryEvent, Recorder
from snipejunction.helpers.records import Record

MICROSECONDS: Final = 1_000_000
MILLISECONDS: Final = 1000
MAX_LATENCY_MICROSECONDS: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50, 95, 99, 99.9)


class PolicyFigures(Record):
    """Figures of one policy in one run; times are in milliseconds.

    ``extra`` is the ratio of surplus to needed sub-requests.
    ``refusals`` counts by verdict and code, ``breaches`` by promise.
    """

    __slots__ = (
        'answered',
        'breaches',
        'coverage',
        'extra',
        'lost',
        'percentiles',
        'policy',
        'refusals',
        'seed',
        'worst_coverage',
    )

    def __init__(
        self,
        policy: str,
        seed: int,
        percentiles: dict[str, float],
        answered: int,
        lost: int,
        coverage: float,
        worst_coverage: float,
        extra: float,
        refusals: dict[str, int],
        breaches: dict[str, int],
    ) -> None:
        """Create the figures of a run."""
        self.policy = policy
        self.seed = seed
        self.percentiles = percentiles
        self.answered = answered
        self.lost = lost
        self.coverage = coverage
        self.worst_coverage = worst_coverage
        self.extra = extra
        self.refusals = refusals
        self.breaches = breaches

    def document(self) -> dict[str, Any]:
        """Return the content of the JSON document."""
        return {name: getattr(self, name) for name in sorted(self.__slots__)}


class BenchReport(Record):
    """The figures of all policies in a scenario, one entry for each seed."""

    __slots__ = ('figures', 'scenario')

    def __init__(self, scenario: str, figures: list[PolicyFigures]) -> None:
        """Create a report of a scenario."""
        self.scenario = scenario
        self.figures = figures

    def document(self) -> dict[str, Any]:
        """Return the content of the JSON document."""
        return {
            'scenario': self.scenario,
            'figures': [figures.document() for figures in self.figures],
        }

    def policies(self) -> list[str]:
        """Return the names of the policies in the order of their runs."""
        return list(dict.fromkeys(figures.policy for figures in self.figures))

    def of_policy(self, policy: str) -> list[PolicyFigures]:
        """Return the figures of one policy, one entry for each seed."""
        return [figures for figures in self.figures if figures.policy == policy]


def measure(
    policy: str,
    seed: int,
    recorder: Recorder,
    begin: float,
    breaches: Counter[str],
) -> PolicyFigures:
    """Return the figures of measured searches sent at ``begin`` or later."""
    end_events = [
        event
        for event in recorder.of_kind('search_answered', 'search_lost')
        if event['is_measured'] and event['asked'] >= begin
    ]
    answers = [event for event in end_events if event['answer'] is not None]
    shares = [event['answer'].coverage.share for event in answers]
    return PolicyFigures(
        policy,
        seed,
        _latency_percentiles(answers),
        len(answers),
        sum(event.kind == 'search_lost' for event in end_events),
        sum(shares) / len(shares) if shares else 0,
        min(shares, default=0),
        _extra_share(recorder, begin),
        _count_refusals(end_events),
        dict(breaches),
    )


def _latency_percentiles(answers: list[HistoryEvent]) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for event in answers:
        seconds = event.when - event['asked']
        histogram.record_value(int(seconds * MICROSECONDS))
    return {
        f'p{percentile:g}': round(
            histogram.get_value_at_percentile(percentile)
            * MILLISECONDS
            / MICROSECONDS,
            2,
        )
        for percentile in PERCENTILES
    }


def _extra_share(recorder: Recorder, begin: float) -> float:
    answers = [
        event['answer']
        for event in recorder.of_kind('search_answered')
        if event['answer'] is not None and event['asked'] >= begin
    ]
    needed = sum(answer.needed_subs for answer in answers)
    if not needed:
        return 0
    runs = sum(
        event.when >= begin for event in recorder.of_kind('upstream_run')
    )
    return float(runs / needed - 1)


def _count_refusals(end_events: list[HistoryEvent]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for event in end_events:
        refusal = event.fields['refusal']
        if refusal is not None:
            counts[f'{refusal.verdict_text}: {refusal.code}'] += 1
    return dict(counts)
