"""Command line of the proofs: run scripts, or random ones by seed."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from snipejunction.proof.generate import generate, shrink
from snipejunction.proof.judge import run_script
from snipejunction.proof.script import parse_script


def main(arguments: Sequence[str] | None = None) -> int:
    """Run what the command line names; return 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog='proof', description=__doc__)
    parser.add_argument('files', nargs='*', type=Path)
    parser.add_argument('--seed', type=int, help='overrides the seed')
    parser.add_argument(
        '--random',
        nargs=2,
        type=int,
        metavar=('FIRST', 'LAST'),
        help='run random scenarios of these seeds',
    )
    parser.add_argument(
        '--shrink',
        action='store_true',
        help='shrink each random scenario that fails',
    )
    options = parser.parse_args(arguments)
    failures = [
        _run(path.name, path.read_text(), options.seed)
        for path in options.files
    ]
    if options.random:
        first, last = options.random
        failures.extend(
            _run_random(seed, is_shrinking=options.shrink)
            for seed in range(first, last + 1)
        )
    return int(any(failures))


def _run(name: str, text: str, seed: int | None) -> bool:
    judgement = run_script(parse_script(text), seed)
    if judgement.is_kept:
        _print(f'{name}: kept')
    else:
        _print(f'{name}: BROKEN\n{judgement.describe()}')
    return not judgement.is_kept


def _run_random(seed: int, *, is_shrinking: bool) -> bool:
    text = generate(seed)
    broken = _run(f'random {seed}', text, None)
    if broken and is_shrinking:
        _print(shrink(text, _fails))
    return broken


def _fails(text: str) -> bool:
    return not run_script(parse_script(text)).is_kept


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
