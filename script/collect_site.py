"""Copies the program and the packages that it needs at run time.

They come from the environment that the lock file made, so that the build
asks no registry: the packages of requirements.in and all that they require.
"""

from __future__ import annotations

import re
import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement

_ROOT: Final = Path(__file__).parents[1]
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]*')


def main() -> None:
    """Copy everything into the folder that the command line names."""
    target = Path(sys.argv[1])
    wanted = (_ROOT / 'requirements.in').read_text().split()
    needed: dict[str, Distribution] = {}
    for name in wanted:
        _gather(name, needed)
    for found in needed.values():
        _copy(found, target)
    shutil.copytree(
        _ROOT / 'snipejunction',
        target / 'snipejunction',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def _gather(name: str, needed: dict[str, Distribution]) -> None:
    """Add a package and what it requires on this platform, no extras."""
    key = name.lower().replace('_', '-')
    if key in needed:
        return
    found = distribution(name)
    needed[key] = found
    for requirement in found.requires or ():
        if _applies(requirement):
            match = _NAME.match(requirement)
            assert match is not None
            _gather(match.group(), needed)


def _applies(requirement: str) -> bool:
    marker = Requirement(requirement).marker
    return marker is None or marker.evaluate({'extra': ''})


def _copy(found: Distribution, target: Path) -> None:
    for entry in found.files or ():
        # Scripts lie outside of the packages.
        if entry.parts[0] == '..' or '__pycache__' in entry.parts:
            continue
        place = target / entry
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(entry.locate()), place)


if __name__ == '__main__':
    main()
