"""Operators and the subtrees that they may write."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.paths import OPERATORS, is_within
from snipejunction.helpers.records import Record


class Operator(Record):
    """An operator and the subtrees that it may write."""

    __slots__ = ('name', 'subtrees')

    def __init__(self, name: str, subtrees: tuple[str, ...]) -> None:
        """Create an operator; the subtree ``/`` covers all paths."""
        self.name = name
        self.subtrees = subtrees

    def may_write(self, path: str) -> bool:
        """Return whether a path is in one of the operator's subtrees."""
        return any(is_within(path, subtree) for subtree in self.subtrees)

    def may_write_all(self, paths: Iterable[str]) -> bool:
        """Return whether all paths are in the operator's subtrees."""
        return all(self.may_write(path) for path in paths)


def operator_by_name(
    documents: Mapping[str, Any],
    name: str,
) -> Operator | None:
    """Return the operator called ``name``, None if it does not exist.

    The bootstrap operator needs no document: its token is in the settings
    file of each host, so that the first documents can be written.
    """
    if name == BOOTSTRAP_OPERATOR:
        return Operator(name, ('/',))
    document = documents.get(f'/{OPERATORS}/{name}')
    if document is None:
        return None
    return Operator(name, tuple(document['subtrees']))
