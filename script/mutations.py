"""Puts faults into a copy of the tree and runs the tests that catch them.

The working tree is only read. Without numbers all faults are tried; with
numbers, which count from 1 as the list of the page does, only those.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pyjson5

from snipejunction.helpers.records import Record

ROOT = Path(__file__).resolve().parent.parent
FAULTS = ROOT / 'script' / 'mutations.json5'
COPIED = ('snipejunction', 'tests', 'script', 'docs', 'settings.example')
COPIED_FILES = ('pyproject.toml', 'setup.cfg')
TEST_SECONDS = 120
PYTEST_PASSED = 0
PYTEST_FAILED = 1
# A test that does not end shows nothing.
PYTEST_LATE = -1
PYTEST_OPTIONS = ('-p', 'no:cacheprovider')


class Fault(Record):
    """One line of the program and what replaces it."""

    __slots__ = ('fault', 'file', 'new', 'old', 'test')

    def __init__(
        self,
        fault: str,
        file: str,
        old: str,
        new: str,
        test: str,
    ) -> None:
        """Create a fault; ``test`` must fail with it."""
        self.fault = fault
        self.file = file
        self.old = old
        self.new = new
        self.test = test

    def apply(self, source: str) -> str:
        """Return the source with the fault.

        Raises:
            ValueError: unless the line stands there exactly once.
        """
        found = source.count(self.old)
        if found != 1:
            raise ValueError(f'{self.file}: {found} times {self.old!r}')
        return source.replace(self.old, self.new)


def load_faults() -> list[Fault]:
    """Return the faults of the list."""
    return [Fault(**entry) for entry in pyjson5.decode(FAULTS.read_text())]


def main() -> int:
    """Try the faults; return 1 if one is not caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('numbers', nargs='*', type=int)
    numbers = parser.parse_args().numbers
    with tempfile.TemporaryDirectory() as folder:
        tree = _copy_tree(Path(folder))
        missed = [
            fault
            for number, fault in enumerate(load_faults(), 1)
            if number in (numbers or [number])
            and not _is_caught(tree, number, fault)
        ]
    sys.stdout.write(f'{len(missed)} faults are not caught\n')
    return int(bool(missed))


def _copy_tree(folder: Path) -> Path:
    ignored = shutil.ignore_patterns('__pycache__')
    for name in COPIED:
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    for name in COPIED_FILES:
        shutil.copy(ROOT / name, folder / name)
    return folder


def _is_caught(tree: Path, number: int, fault: Fault) -> bool:
    """Return whether the test passes without the fault and fails with it."""
    before = _run(tree, fault.test)
    with _applied(tree, fault):
        after = _run(tree, fault.test)
    is_caught = (before, after) == (PYTEST_PASSED, PYTEST_FAILED)
    word = 'caught' if is_caught else f'NOT CAUGHT ({before}, {after})'
    sys.stdout.write(f'{number:3} {word}: {fault.fault}\n')
    sys.stdout.flush()
    return is_caught


@contextmanager
def _applied(tree: Path, fault: Fault) -> Iterator[None]:
    path = tree / fault.file
    source = path.read_text()
    path.write_text(fault.apply(source))
    try:
        yield
    finally:
        path.write_text(source)


def _run(tree: Path, test: str) -> int:
    """Return the exit code of pytest for one test of the copy."""
    try:
        finished = subprocess.run(
            [sys.executable, '-B', '-m', 'pytest', *PYTEST_OPTIONS, test],
            cwd=tree,
            env={**os.environ, 'PYTHONPATH': str(tree)},
            capture_output=True,
            check=False,
            timeout=TEST_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return PYTEST_LATE
    return finished.returncode


if __name__ == '__main__':
    sys.exit(main())
