"""Lookup of callers and operators by their tokens."""

from __future__ import annotations

import hmac
from collections.abc import Iterator
from typing import Any, Final

from snipejunction.commands import Command
from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.operators import (
    Operator,
    operator_by_name,
)
from snipejunction.components.control.paths import (
    CALLERS,
    OPERATORS,
    split_path,
)
from snipejunction.components.control.tokens import hash_token
from snipejunction.handling import add_listener
from snipejunction.messages import SettingsChanged
from snipejunction.node import Node

__all__ = ('Operator', 'find_caller', 'find_operator')

_TOKEN_FIELD: Final = 'token_sha256'


def find_caller(node: Node, token: str) -> str | None:
    """Return the ``team/name`` of the caller of a token, None if unknown."""
    return node.control.caller_tokens.find(token)


def find_operator(node: Node, token: str) -> Operator | None:
    """Return the operator of a token, None if unknown."""
    bootstrap = node.host_settings.operator_token_sha256
    if bootstrap is not None:
        if hmac.compare_digest(bootstrap.lower(), hash_token(token)):
            return operator_by_name({}, BOOTSTRAP_OPERATOR)
    name = node.control.operator_tokens.find(token)
    if name is None:
        return None
    return operator_by_name(node.settings.documents, name)


def _rebuild_indexes(
    notice: SettingsChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    collections = {_collection_of(path) for path in notice.paths}
    if CALLERS in collections:
        node.control.caller_tokens.rebuild(_token_pairs(node, CALLERS))
    if OPERATORS in collections:
        node.control.operator_tokens.rebuild(_token_pairs(node, OPERATORS))
    return iter(())


def _token_pairs(node: Node, collection: str) -> Iterator[tuple[str, str]]:
    for path, document in node.settings.documents.items():
        if _collection_of(path) == collection:
            yield _token_of(document), _name_of(path)


def _token_of(document: Any) -> str:
    return str(document[_TOKEN_FIELD])


def _collection_of(path: str) -> str:
    parts = split_path(path)
    if parts[0] == OPERATORS:
        return OPERATORS
    return parts[2] if len(parts) > 2 else ''


def _name_of(path: str) -> str:
    parts = split_path(path)
    if parts[0] == OPERATORS:
        return parts[1]
    return f'{parts[1]}/{parts[3]}'


add_listener(SettingsChanged, _rebuild_indexes)
