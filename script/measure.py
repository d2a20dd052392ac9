"""Runs all scenarios of the bench and writes their table into the docs."""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

from snipejunction.bench.run import POLICIES, SEED_COUNT, run_seeds
from snipejunction.bench.scenarios.catalogue import scenario_names

PAGE = Path('docs/MEASUREMENTS.md')
DATA = Path('docs/bench.json')
BEGIN = '<!-- begin: script/measure writes this part -->'
END = '<!-- end: script/measure -->'
WORKERS = 8


def measure(name: str) -> dict[str, Any]:
    """Return the report of one scenario over all seeds."""
    return run_seeds(name, range(1, SEED_COUNT + 1)).document()


def main() -> int:
    """Run the scenarios, save their figures, write the table."""
    names = list(scenario_names())
    with ProcessPoolExecutor(WORKERS) as pool:
        reports = dict(zip(names, pool.map(measure, names), strict=True))
    DATA.write_text(f'{json.dumps(reports, indent=1, sort_keys=True)}\n')
    before, _, rest = PAGE.read_text().partition(BEGIN)
    after = rest.partition(END)[2]
    table = render(reports)
    PAGE.write_text(f'{before}{BEGIN}\n\n{table}\n\n{END}{after}')
    return 0


def render(reports: dict[str, Any]) -> str:
    """Return the table of all scenarios."""
    lines = [
        '| scenario | policy | p50 | p95 | p99 (range) | p99.9 | coverage '
        '| worst | extra | refused | lost | breaches |',
        '|---|---|---|---|---|---|---|---|---|---|---|---|',
    ]
    for name, report in reports.items():
        for policy in POLICIES:
            runs = [one for one in report['figures'] if one['policy'] == policy]
            lines.append(_row(name, policy, runs))
    return '\n'.join(lines)


def _row(name: str, policy: str, runs: list[dict[str, Any]]) -> str:
    times = {
        share: [run['percentiles'][share] for run in runs]
        for share in runs[0]['percentiles']
    }
    p50, p95, p99, p999 = times.values()
    extra = mean(run['extra'] for run in runs) * 100
    refused = sum(sum(run['refusals'].values()) for run in runs)
    breaches = sum(sum(run['breaches'].values()) for run in runs)
    cells = [
        name,
        policy,
        f'{mean(p50):.1f}',
        f'{mean(p95):.1f}',
        f'{mean(p99):.1f} ({min(p99):.1f}-{max(p99):.1f})',
        f'{mean(p999):.1f}',
        f'{mean(run["coverage"] for run in runs):.5f}',
        f'{min(run["worst_coverage"] for run in runs):.3f}',
        f'{extra:.2f} %',
        str(refused),
        str(sum(run['lost'] for run in runs)),
        str(breaches),
    ]
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    sys.exit(main())
