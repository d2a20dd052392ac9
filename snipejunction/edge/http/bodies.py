"""Validation of JSON bodies; errors state the field and the limit."""

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

# Timeout for receiving a body.
_BODY_SECONDS: Final = 10
_MAX_COUNT: Final = 100_000
_MAX_DOCUMENTS: Final = 2_000_000_000
_MAX_PORT: Final = 65535
# Larger integers lose precision in some JSON parsers.
_MAX_INTEGER: Final = 9007199254740991


def _check_integer(value: Any) -> int:
    # In Python, bool is a subclass of int.
    if isinstance(value, bool) or not isinstance(value, int):
        raise voluptuous.Invalid('expected an integer')
    return value


def _check_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise voluptuous.Invalid('expected a number')
    return float(value)


def bounded(
    number_check: Callable[[Any], float],
    minimum: float,
    maximum: float,
) -> voluptuous.All:
    """Return a validator of a number between two inclusive bounds."""
    message = f'must be from {minimum} to {maximum}'
    return voluptuous.All(
        number_check,
        voluptuous.Range(min=minimum, max=maximum, msg=message),
    )


def bounded_text(max_length: int = MAX_NAME_CHARACTERS) -> voluptuous.All:
    """Return a validator of a non-empty string of limited length."""
    message = f'must have from 1 to {max_length} characters'
    return voluptuous.All(
        str,
        voluptuous.Length(min=1, max=max_length, msg=message),
    )


def _bounded_list(member: Any, max_members: int) -> voluptuous.All:
    message = f'must have at most {max_members} members'
    return voluptuous.All(
        [member],
        voluptuous.Length(max=max_members, msg=message),
    )


SEARCH: Final = voluptuous.Schema(
    {
        voluptuous.Required('query'): object,
        voluptuous.Optional('request_id'): bounded_text(),
        voluptuous.Optional('deadline_ms'): bounded(
            _check_integer,
            1,
            MAX_DEADLINE_MS,
        ),
        voluptuous.Optional('coverage', default=1.0): bounded(
            _check_number, 0, 1
        ),
        voluptuous.Optional('top', default=10): bounded(
            _check_integer, 1, MAX_HITS
        ),
    },
)

RUN: Final = voluptuous.Schema(
    {
        voluptuous.Required('body'): object,
        voluptuous.Required('request_id'): bounded_text(),
        voluptuous.Required('key'): bounded_text(),
        voluptuous.Optional('deadline_ms'): bounded(
            _check_integer,
            1,
            MAX_DEADLINE_MS,
        ),
    },
)

_POSITIVE_COUNT: Final = bounded(_check_integer, 1, _MAX_COUNT)

ANNOUNCEMENT: Final = voluptuous.Schema(
    {
        voluptuous.Required('searcher'): bounded_text(),
        voluptuous.Required('service'): bounded_text(2 * MAX_NAME_CHARACTERS),
        voluptuous.Required('data_centre'): bounded_text(),
        voluptuous.Required('ip'): bounded_text(),
        voluptuous.Required('port'): bounded(_check_integer, 1, _MAX_PORT),
        voluptuous.Required('boot_id'): bounded_text(),
        voluptuous.Required('sequence'): bounded(
            _check_integer, 0, _MAX_INTEGER
        ),
        voluptuous.Required('slots'): _POSITIVE_COUNT,
        voluptuous.Required('connections'): _POSITIVE_COUNT,
        voluptuous.Required('cold_capacity'): _POSITIVE_COUNT,
        voluptuous.Optional('state', default='ready'): voluptuous.In(
            ('ready', 'leaving'),
        ),
        voluptuous.Required('snapshots'): _bounded_list(
            {
                voluptuous.Required('version'): bounded(
                    _check_integer, 0, _MAX_INTEGER
                ),
                voluptuous.Required('layout'): bounded_text(),
                voluptuous.Required('shards'): _bounded_list(
                    bounded(_check_integer, 0, MAX_SHARDS - 1),
                    MAX_SHARDS,
                ),
                voluptuous.Required('documents'): _bounded_list(
                    bounded(_check_integer, 0, _MAX_DOCUMENTS),
                    MAX_SHARDS,
                ),
            },
            MAX_SNAPSHOTS,
        ),
    },
)

_CHANGE: Final = voluptuous.Schema(
    {
        voluptuous.Required('change_id'): bounded_text(),
        voluptuous.Required('base'): bounded(_check_integer, 0, _MAX_INTEGER),
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
        voluptuous.Required('name'): bounded_text(),
        voluptuous.Optional('ip'): bounded_text(),
        voluptuous.Optional('peer_port'): bounded(
            _check_integer,
            1,
            _MAX_PORT,
        ),
        voluptuous.Optional('voter_id'): bounded_text(),
    },
)


def refuse_field(path: str, problem: str) -> NoReturn:
    """Refuse a request because a field is invalid.

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
    """Read, parse and validate the body of a request.

    Raises:
        RefusedError: if the body is late, too large or invalid.
    """
    try:
        async with asyncio.timeout(_BODY_SECONDS):
            body = await request.read()
    except asyncio.TimeoutError:
        refuse_field('body', f'did not arrive within {_BODY_SECONDS} s')
    except web.HTTPRequestEntityTooLarge:
        refuse_field('body', f'has more than {MAX_BODY_BYTES} bytes')
    return validate(parse_json(body), schema)


def parse_json(body: bytes) -> Any:
    """Parse JSON with limits on the depth and the number of values.

    Raises:
        RefusedError: if it is malformed or exceeds a limit.
    """
    try:
        value = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        refuse_field('body', f'no JSON: {error}')
    _check_bounds(value)
    return value


def validate(value: Any, schema: voluptuous.Schema) -> dict[str, Any]:
    """Validate a value against a schema and return its fields.

    Raises:
        RefusedError: if the value is invalid; states the first error.
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
        level = [inner for outer in level for inner in _child_values(outer)]


def _child_values(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
