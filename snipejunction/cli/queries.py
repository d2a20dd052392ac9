"""Commands for callers: search, run and addresses."""

from __future__ import annotations

import argparse
import json
import secrets
from typing import Any, Final

from snipejunction.cli.access import client_settings_from
from snipejunction.cli.client import ApiClient
from snipejunction.cli.exit_codes import EXIT_OK
from snipejunction.cli.output import (
    print_fields,
    print_json,
    print_line,
    print_table,
)
from snipejunction.errors import SettingsError

_ID_BYTES: Final = 8
_FIXED_COLUMNS: Final = ('id', 'score')


async def async_query(arguments: argparse.Namespace) -> int:
    """Search a service and print the answer."""
    document = {
        'query': _parse_json(arguments.query, 'query'),
        'coverage': arguments.coverage,
        'top': arguments.top,
    }
    if arguments.deadline_ms:
        document['deadline_ms'] = arguments.deadline_ms
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request(
            'POST',
            f'/v1/services/{arguments.service}/search',
            document,
        )
    if arguments.json:
        print_json(answer)
    else:
        _print_answer(answer)
    return EXIT_OK


async def async_run(arguments: argparse.Namespace) -> int:
    """Run a request that is not idempotent and print its outcome."""
    request_id = arguments.request_id or secrets.token_hex(_ID_BYTES)
    document = {
        'request_id': request_id,
        'key': arguments.key,
        'body': _parse_json(arguments.body, 'body'),
    }
    if arguments.deadline_ms:
        document['deadline_ms'] = arguments.deadline_ms
    if not arguments.json:
        print_line(f'request id: {request_id}')
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request(
            'POST',
            f'/v1/services/{arguments.service}/run',
            document,
        )
    if arguments.json:
        print_json(answer)
    else:
        print_fields('outcome', answer)
    return EXIT_OK


async def async_addresses(arguments: argparse.Namespace) -> int:
    """Print the addresses of the hosts that a caller should use."""
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request('GET', '/v1/addresses')
    if arguments.json:
        print_json(answer)
        return EXIT_OK
    print_table(
        f'to be kept for {answer["keep_seconds"]} s',
        ('name', 'ip', 'port', 'region'),
        [entry.values() for entry in answer['addresses']],
    )
    return EXIT_OK


def _parse_json(text: str, field: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise SettingsError(field, f'invalid JSON: {error}') from None


def _print_answer(answer: dict[str, Any]) -> None:
    hits = answer['hits']
    names = sorted({name for hit in hits for name in hit})
    others = [name for name in names if name not in _FIXED_COLUMNS]
    columns = [*_FIXED_COLUMNS, *others]
    coverage = answer['coverage']
    snapshot = answer['snapshot']
    print_table(
        f'{len(hits)} hits of request {answer["request_id"]}',
        columns,
        [[hit.get(name, '') for name in columns] for hit in hits],
    )
    print_fields(
        'answer',
        {
            'verdict': answer['verdict'],
            'snapshot': f'{snapshot["version"]}, layout {snapshot["layout"]}',
            'coverage': f'{coverage["covered"]} of {coverage["total"]}',
            'missing shards': coverage['missing_shards'],
        },
    )
