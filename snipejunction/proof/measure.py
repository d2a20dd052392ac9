"""Command line: tables of the times of control over several seeds."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from snipejunction.proof.figures import P50, P99, quantile
from snipejunction.proof.figures_of_control import times_of
from snipejunction.proof.script import parse_script


def main(arguments: Sequence[str] | None = None) -> int:
    """Print a table of the times of scenario files."""
    parser = argparse.ArgumentParser(prog='measure', description=__doc__)
    parser.add_argument('files', nargs='+', type=Path)
    parser.add_argument('--seeds', type=int, default=5)
    options = parser.parse_args(arguments)
    _print('| scenario | time | count | median | 99th | worst |')
    _print('|---|---|---|---|---|---|')
    for path in options.files:
        script = parse_script(path.read_text())
        times = times_of(script, range(1, options.seeds + 1))
        for name, seconds in times.items():
            _print(_row(path.stem, name, seconds))
    return 0


def _row(scenario: str, name: str, seconds: list[float]) -> str:
    median = quantile(seconds, P50)
    high = quantile(seconds, P99)
    worst = max(seconds)
    count = len(seconds)
    return (
        f'| {scenario} | {name} | {count} '
        f'| {median:.2f} s | {high:.2f} s | {worst:.2f} s |'
    )


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
