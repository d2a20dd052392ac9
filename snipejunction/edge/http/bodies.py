"""Checked JSON bodies: every error names the field and the bound."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final, NoReturn

import voluptuous
from aiohttp import web

from snipejunction.const import CODE_BAD_REQUEST
from snipejunction.edge.const import (
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
    MAX_HITS,
    MAX_JSON_DEPTH,
    MAX_JSON_VALUES,
    MAX_NAME_CHARACTERS,
    MAX_SHARDS,
    MAX_SNAPSHOTS,
)
from snipejunction.errors import RefusedError
from snipejunction.verdict import not_run_refusal

# Time in which a body has to arrive, in seconds.
_BODY_SECONDS: Final = 10
_MAX_COUNT: Final = 100_000
_MAX_DOCUMENTS: Final = 2_000_000_000
_MAX_PORT: Final = 65535
# Larger integers are not exact in all readers of JSON.
_MAX_INTEGER: Final = 9007199254740991


def _integer(value: Any) -> int:
    # JSON knows flags, and Python takes them for numbers.
    if isinstance(value, bool) or not isinstance(value, int):
        raise voluptuous.Invalid('expected an integer')
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise voluptuous.Invalid('expected a number')
    return float(value)


def bounded(
    kind: Callable[[Any], float],
    low: float,
    high: float,
) -> voluptuous.All:
    """Return a check of a number between two bounds, both allowed."""
    message = f'must be from {low} to {high}'
    return voluptuous.All(
        kind,
        voluptuous.Range(min=low, max=high, msg=message),
    )


def text(longest: int = MAX_NAME_CHARACTERS) -> voluptuous.All:
    """Return a check of a text that is not empty."""
    message = f'must have from 1 to {longest} characters'
    return voluptuous.All(
        str,
        voluptuous.Length(min=1, max=longest, msg=message),
    )


def _listed(member: Any, most: int) -> voluptuous.All:
    message = f'must have at most {most} members'
    return voluptuous.All(
        [member],
        voluptuous.Length(max=most, msg=message),
    )


SEARCH: Final = voluptuous.Schema(
    {
        voluptuous.Required('query'): object,
        voluptuous.Optional('request_id'): text(),
        voluptuous.Optional('deadline_ms'): bounded(
            _integer,
            1,
            MAX_DEADLINE_MS,
        ),
        voluptuous.Optional('coverage', default=1.0): bounded(_number, 0, 1),
        voluptuous.Optional('top', default=10): bounded(_integer, 1, MAX_HITS),
    },
)

RUN: Final = voluptuous.Schema(
    {
        voluptuous.Required('body'): object,
        voluptuous.Required('request_id'): text(),
        voluptuous.Required('key'): text(),
        voluptuous.Optional('deadline_ms'): bounded(
            _integer,
            1,
            MAX_DEADLINE_MS,
        ),
    },
)

_COUNT: Final = bounded(_integer, 1, _MAX_COUNT)

ANNOUNCEMENT: Final = voluptuous.Schema(
    {
        voluptuous.Required('searcher'): text(),
        voluptuous.Required('service'): text(2 * MAX_NAME_CHARACTERS),
        voluptuous.Required('data_centre'): text(),
        voluptuous.Required('ip'): text(),
        voluptuous.Required('port'): bounded(_integer, 1, _MAX_PORT),
        voluptuous.Required('boot_id'): text(),
        voluptuous.Required('sequence'): bounded(_integer, 0, _MAX_INTEGER),
        voluptuous.Required('slots'): _COUNT,
        voluptuous.Required('connections'): _COUNT,
        voluptuous.Required('cold_capacity'): _COUNT,
        voluptuous.Optional('state', default='ready'): voluptuous.In(
            ('ready', 'leaving'),
        ),
        voluptuous.Required('snapshots'): _listed(
            {
                voluptuous.Required('version'): bounded(
                    _integer, 0, _MAX_INTEGER
                ),
                voluptuous.Required('layout'): text(),
                voluptuous.Required('shards'): _listed(
                    bounded(_integer, 0, MAX_SHARDS - 1),
                    MAX_SHARDS,
                ),
                voluptuous.Required('documents'): _listed(
                    bounded(_integer, 0, _MAX_DOCUMENTS),
                    MAX_SHARDS,
                ),
            },
            MAX_SNAPSHOTS,
        ),
    },
)

_CHANGE: Final = voluptuous.Schema(
    {
        voluptuous.Required('change_id'): text(),
        voluptuous.Required('base'): bounded(_integer, 0, _MAX_INTEGER),
    },
)

DOCUMENT_CHANGE: Final = _CHANGE.extend(
    {voluptuous.Required('document'): voluptuous.Any(None, dict)},
)

DOCUMENTS_CHANGE: Final = _CHANGE.extend(
    {
        voluptuous.Required('documents'): {
            str: voluptuous.Any(None, dict),
        },
    },
)

DATA_CENTRE_CHANGE: Final = _CHANGE.extend(
    {voluptuous.Required('state'): voluptuous.In(('in', 'out'))},
)

VOTER_CHANGE: Final = voluptuous.Schema(
    {
        voluptuous.Required('action'): voluptuous.In(('add', 'remove')),
        voluptuous.Required('name'): text(),
        voluptuous.Optional('ip'): text(),
        voluptuous.Optional('peer_port'): bounded(
            _integer,
            1,
            _MAX_PORT,
        ),
        voluptuous.Optional('voter_id'): text(),
    },
)


def refuse_field(path: str, problem: str) -> NoReturn:
    """Refuse a request because of one field.

    Raises:
        RefusedError: always.
    """
    raise RefusedError(
        not_run_refusal(CODE_BAD_REQUEST, f'{path}: {problem}', -1)
    )


async def async_read_json(
    request: web.Request,
    schema: voluptuous.Schema,
) -> dict[str, Any]:
    """Return the checked fields of a request's body.

    Raises:
        RefusedError: if the body is no good.
    """
    try:
        async with asyncio.timeout(_BODY_SECONDS):
            body = await request.read()
    except asyncio.TimeoutError:
        refuse_field('body', f'did not arrive within {_BODY_SECONDS} s')
    except web.HTTPRequestEntityTooLarge:
        refuse_field('body', f'has more than {MAX_BODY_BYTES} bytes')
    return check(parse(body), schema)


def parse(body: bytes) -> Any:
    """Return the value of a JSON text of bounded depth and count.

    Raises:
        RefusedError: if it is malformed or beyond a bound.
    """
    try:
        value = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        refuse_field('body', f'no JSON: {error}')
    _check_bounds(value)
    return value


def check(value: Any, schema: voluptuous.Schema) -> dict[str, Any]:
    """Return the fields of a value that fits a schema.

    Raises:
        RefusedError: if it does not; the first error is named.
    """
    try:
        fields: dict[str, Any] = schema(value)
    except voluptuous.MultipleInvalid as invalid:
        first = invalid.errors[0]
        path = '.'.join(map(str, first.path)) or 'body'
        refuse_field(path, first.error_message)
    return fields


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is no JSON')


def _check_bounds(value: Any) -> None:
    level = [value]
    count = 0
    depth = 0
    while level:
        count += len(level)
        depth += 1
        if depth > MAX_JSON_DEPTH:
            refuse_field('body', f'is nested deeper than {MAX_JSON_DEPTH}')
        if count > MAX_JSON_VALUES:
            refuse_field('body', f'has more than {MAX_JSON_VALUES} values')
        level = [inner for outer in level for inner in _members(outer)]


def _members(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
