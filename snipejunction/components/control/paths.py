"""Paths of settings documents and the subtrees that contain them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

TEAMS: Final = 'teams'
SERVICES: Final = 'services'
CALLERS: Final = 'callers'
DATA_CENTRES: Final = 'data-centres'
OPERATORS: Final = 'operators'

_ROOT: Final = '/'
# A scope is one team, one data centre or one operator.
_SCOPE_PARTS: Final = 2


def split_path(path: str) -> list[str]:
    """Return the components of a path."""
    return path.strip(_ROOT).split(_ROOT)


def scope_of(path: str) -> str:
    """Return the scope that contains ``path``.

    Conflicts between changes are detected per scope: changes that write to
    the same scope can conflict, also if they write different paths.
    """
    joined = _ROOT.join(split_path(path)[:_SCOPE_PARTS])
    return f'/{joined}'


def scopes_of(paths: Iterable[str]) -> set[str]:
    """Return the scopes that a change of ``paths`` writes to."""
    return {scope_of(path) for path in paths}


def is_within(path: str, subtree: str) -> bool:
    """Return whether ``path`` is the root of ``subtree`` or below it."""
    root = subtree.rstrip(_ROOT)
    return path == root or path.startswith(f'{root}/')
