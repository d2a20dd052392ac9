"""Schemas of the settings documents that all hosts share."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import voluptuous as vol

from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.paths import (
    CALLERS,
    DATA_CENTRES,
    OPERATORS,
    SERVICES,
    TEAMS,
)
from snipejunction.const import (
    PREFER_COVERAGE,
    PREFER_LATENCY,
    STATE_IN,
    STATE_OUT,
)
from snipejunction.errors import SettingsError
from snipejunction.schema import checks

# Documents that one change may write or remove.
MAX_CHANGED_DOCUMENTS: Final = 1000
MAX_CALLERS: Final = 1000
MAX_SUBTREES: Final = 100
MAX_REQUESTS_PER_SECOND: Final = 1_000_000
MAX_CONCURRENT_REQUESTS: Final = 100_000
MIN_DEADLINE_SECONDS: Final = 0.001
MAX_DEADLINE_SECONDS: Final = 60
MAX_HEDGE_BUDGET: Final = 0.5
MAX_RETRY_BUDGET: Final = 1
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_QUEUED_REQUESTS: Final = 10_000

_deadline: Final = checks.NumberRange(
    MIN_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS
)

CALLER_LIMIT: Final = vol.Schema(
    {
        vol.Required('rate'): checks.NumberRange(0, MAX_REQUESTS_PER_SECOND),
        vol.Required('concurrency'): checks.IntegerRange(
            0, MAX_CONCURRENT_REQUESTS
        ),
    },
)
SERVICE: Final = vol.Schema(
    {
        vol.Optional('callers'): checks.Mapping(
            checks.check_full_name,
            CALLER_LIMIT,
            MAX_CALLERS,
        ),
        vol.Optional('prefer'): checks.OneOf(PREFER_LATENCY, PREFER_COVERAGE),
        vol.Optional('deadline'): _deadline,
        vol.Optional('max_deadline'): _deadline,
        vol.Optional('hedge_budget'): checks.NumberRange(0, MAX_HEDGE_BUDGET),
        vol.Optional('retry_budget'): checks.NumberRange(0, MAX_RETRY_BUDGET),
        vol.Optional('slots'): checks.IntegerRange(0, MAX_SLOTS),
        vol.Optional('connections'): checks.IntegerRange(0, MAX_CONNECTIONS),
        vol.Optional('cold_capacity'): checks.IntegerRange(0, MAX_SLOTS),
        vol.Optional('queue_limit'): checks.IntegerRange(
            0, MAX_QUEUED_REQUESTS
        ),
    },
)
CALLER: Final = vol.Schema(
    {vol.Required('token_sha256'): checks.check_token_hash},
)
DATA_CENTRE: Final = vol.Schema(
    {
        vol.Required('state'): checks.OneOf(STATE_IN, STATE_OUT),
        vol.Optional('region'): checks.PrintableText(
            checks.MAX_NAME_CHARACTERS
        ),
    },
)


def check_subtree(value: Any) -> str:
    """Validate the root path of a subtree, such as ``/teams/desk``."""
    root = '/'
    parts = value.split(root) if isinstance(value, str) else ['?']
    is_root = value == root
    if not is_root and (parts[0] or len(parts) < 2 or len(parts) > 5):
        raise vol.Invalid('expected "/" or a path that begins with "/"')
    for part in [] if is_root else parts[1:]:
        checks.check_name(part)
    return str(value)


OPERATOR: Final = vol.Schema(
    {
        vol.Required('token_sha256'): checks.check_token_hash,
        vol.Required('subtrees'): checks.Sequence(
            check_subtree,
            0,
            MAX_SUBTREES,
        ),
    },
)

_TEAM_PATH_PARTS: Final = 4
_GLOBAL_PATH_PARTS: Final = 2


def check_change(documents: Mapping[str, Any]) -> None:
    """Validate all documents of a change; None removes a document.

    Raises:
        SettingsError: states the path and the bound.
    """
    if not 0 < len(documents) <= MAX_CHANGED_DOCUMENTS:
        raise SettingsError(
            'change', f'expected 1 to {MAX_CHANGED_DOCUMENTS} documents'
        )
    for path, document in documents.items():
        schema = schema_for_path(path)
        if document is not None:
            checks.validate(schema, document, path)
            _check_deadlines(path, document)


def schema_for_path(path: str) -> vol.Schema:
    """Return the schema of the document at a path.

    Raises:
        SettingsError: if the path is not that of a document.
    """
    parts = path.split('/')[1:] if path.startswith('/') else []
    for part in parts:
        checks.validate(vol.Schema(checks.check_name), part, path)
    if len(parts) == _GLOBAL_PATH_PARTS:
        schema = _GLOBAL_DOCUMENTS.get(parts[0])
    elif len(parts) == _TEAM_PATH_PARTS and parts[0] == TEAMS:
        schema = _TEAM_DOCUMENTS.get(parts[2])
    else:
        schema = None
    if schema is None or parts == [OPERATORS, BOOTSTRAP_OPERATOR]:
        raise SettingsError(path, 'no document can stand at this path')
    return schema


def _check_deadlines(path: str, document: Mapping[str, Any]) -> None:
    deadline = document.get('deadline', MIN_DEADLINE_SECONDS)
    if deadline > document.get('max_deadline', MAX_DEADLINE_SECONDS):
        raise SettingsError(
            f'{path}: deadline',
            'expected at most max_deadline',
        )


_GLOBAL_DOCUMENTS: Final = MappingProxyType(
    {DATA_CENTRES: DATA_CENTRE, OPERATORS: OPERATOR},
)
_TEAM_DOCUMENTS: Final = MappingProxyType(
    {SERVICES: SERVICE, CALLERS: CALLER},
)
