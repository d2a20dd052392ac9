"""Command that runs benchmark scenarios on virtual time."""

from __future__ import annotations

import argparse
from importlib import import_module
from typing import Any, Final

from snipejunction.cli.exit_codes import EXIT_FAILED
from snipejunction.cli.output import print_error

_MODULE: Final = 'snipejunction.bench.run'
_DEFAULT_SEED: Final = 1


def add_bench(commands: Any) -> None:
    """Add the ``bench`` command to the subparsers."""
    parser = commands.add_parser(
        'bench',
        help='run scenarios on virtual time',
    )
    parser.add_argument('--scenario', default='all')
    parser.add_argument('--seed', type=int, default=_DEFAULT_SEED)
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(run=_run_bench)


def _run_bench(arguments: argparse.Namespace) -> int:
    # Imported on use: other commands do not need the scenarios, and a build
    # may leave them out.
    try:
        scenarios = import_module(_MODULE)
    except ImportError as error:
        print_error(f'scenarios are not part of this build: {error}')
        return EXIT_FAILED
    return int(scenarios.run(arguments))
