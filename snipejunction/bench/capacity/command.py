"""Command line of the capacity page: measure, write, check."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from snipejunction.bench.capacity.at_rest import measure_control
from snipejunction.bench.capacity.page import render, replace_part
from snipejunction.bench.capacity.queries import measure_queries
from snipejunction.bench.capacity.slopes import Slopes, load_slopes
from snipejunction.bench.capacity.state import measure_state

DATA: Final = Path('docs/capacity.json')
PAGE: Final = Path('docs/CAPACITY.md')


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; with ``--check`` return 1 if the page is outdated."""
    parser = argparse.ArgumentParser(prog='capacity', description=__doc__)
    parser.add_argument('--measure', action='store_true')
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args(arguments)
    if options.measure:
        measure().save(DATA)
    page = PAGE.read_text()
    expected_page = replace_part(page, render(load_slopes(DATA)))
    if options.check:
        return int(page != expected_page)
    PAGE.write_text(expected_page)
    return 0


def measure() -> Slopes:
    """Measure all slopes on this machine."""
    slopes = Slopes()
    measure_control(slopes)
    measure_queries(slopes)
    measure_state(slopes)
    return slopes


if __name__ == '__main__':
    sys.exit(main())
