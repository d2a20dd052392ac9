"""Reports as tables on the console."""

from __future__ import annotations

from collections import Counter
from statistics import mean
from typing import Final

from rich.console import Console
from rich.table import Table

from snipejunction.bench.report import BenchReport, PolicyFigures

COLUMNS: Final = (
    'policy',
    'p50 ms',
    'p95 ms',
    'p99 ms',
    'p99.9 ms',
    'coverage',
    'worst',
    'extra',
    'refused',
    'lost',
    'breaches',
)


def print_report(report: BenchReport, console: Console) -> None:
    """Print means over the seeds, with the range of each percentile."""
    seeds = len({run.seed for run in report.figures})
    table = Table(title=f'{report.scenario}, {seeds} seeds')
    for column in COLUMNS:
        table.add_column(column, justify='right')
    for policy in report.policies():
        table.add_row(policy, *_cells(report.of_policy(policy)))
    console.print(table)
    for policy in report.policies():
        counts: Counter[str] = Counter()
        for figures in report.of_policy(policy):
            counts.update(figures.refusals)
        if counts:
            console.print(f'{policy} refused: {dict(counts)}')


def _cells(runs: list[PolicyFigures]) -> list[str]:
    cells = []
    for name in runs[0].percentiles:
        times = [figures.percentiles[name] for figures in runs]
        cells.append(f'{mean(times):.1f} ({min(times):.1f}-{max(times):.1f})')
    worst = min(figures.worst_coverage for figures in runs)
    cells.extend(
        (
            f'{mean(figures.coverage for figures in runs):.5f}',
            f'{worst:.3f}',
            f'{mean(figures.extra for figures in runs):.2%}',
            str(sum(sum(figures.refusals.values()) for figures in runs)),
            str(sum(figures.lost for figures in runs)),
            str(sum(sum(figures.breaches.values()) for figures in runs)),
        )
    )
    return cells
