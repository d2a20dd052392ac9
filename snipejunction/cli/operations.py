"""Commands for operators: status, settings, data centres and voters."""

from __future__ import annotations

import argparse
import secrets
from datetime import datetime, timezone
from typing import Any, Final

from snipejunction.cli.access import client_settings_from
from snipejunction.cli.check import load_documents, read_json
from snipejunction.cli.client import ApiClient
from snipejunction.cli.exit_codes import EXIT_OK
from snipejunction.cli.output import (
    print_fields,
    print_json,
    print_line,
    print_table,
)
from snipejunction.const import STATE_IN, STATE_OUT

_ID_BYTES: Final = 8


async def async_show_status(arguments: argparse.Namespace) -> int:
    """Print the status of a host."""
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request('GET', '/v1/status')
    if arguments.json:
        print_json(answer)
        return EXIT_OK
    hosts = answer.pop('hosts')
    replicas = answer.pop('replicas')
    print_fields('host', answer)
    if hosts:
        print_table('hosts', list(hosts[0]), [row.values() for row in hosts])
    for replica in replicas:
        members = replica.pop('members')
        print_fields('replica', replica)
        rows = [member.values() for member in members]
        print_table('members', ('name', 'voter id', 'votes'), rows)
    return EXIT_OK


async def async_get_settings(arguments: argparse.Namespace) -> int:
    """Print the documents at and below a path."""
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request(
            'GET', _settings_url(arguments.path)
        )
    print_json(answer)
    return EXIT_OK


async def async_put_settings(arguments: argparse.Namespace) -> int:
    """Write one document, or all documents of a file, as one change."""
    if arguments.path is None:
        documents = load_documents(arguments.file)
    else:
        documents = {arguments.path: read_json(arguments.file)}
    return await _async_submit_change(
        arguments,
        '/v1/settings',
        {'documents': documents},
    )


async def async_show_history(arguments: argparse.Namespace) -> int:
    """Print the last changes at and below a path."""
    url = f'/v1/history{_path_suffix(arguments.path)}'
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request('GET', url)
    if arguments.json:
        print_json(answer)
        return EXIT_OK
    print_table(
        'changes',
        ('revision', 'change id', 'operator', 'host', 'when', 'paths'),
        [_history_row(change) for change in answer['changes']],
    )
    return EXIT_OK


async def async_drain(arguments: argparse.Namespace) -> int:
    """Take a data centre out of service."""
    return await _async_set_state(arguments, STATE_OUT)


async def async_restore(arguments: argparse.Namespace) -> int:
    """Bring a data centre back into service."""
    return await _async_set_state(arguments, STATE_IN)


async def async_list_voters(arguments: argparse.Namespace) -> int:
    """Print the members of the replicated logs."""
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request('GET', '/v1/status')
    replicas = answer['replicas']
    if arguments.json:
        print_json({'voter_id': answer['voter_id'], 'replicas': replicas})
        return EXIT_OK
    print_line(f'voter id of {answer["name"]}: {answer["voter_id"] or "none"}')
    print_table(
        'members',
        ('group', 'name', 'voter id', 'votes'),
        [
            (replica['group'], *member.values())
            for replica in replicas
            for member in replica['members']
        ],
    )
    return EXIT_OK


async def async_add_voter(arguments: argparse.Namespace) -> int:
    """Add a host to the voters."""
    return await _async_change_voter(
        arguments,
        {
            'action': 'add',
            'name': arguments.name,
            'ip': arguments.ip,
            'peer_port': arguments.peer_port,
            'voter_id': arguments.voter_id,
        },
    )


async def async_remove_voter(arguments: argparse.Namespace) -> int:
    """Remove a host from the voters."""
    return await _async_change_voter(
        arguments,
        {
            'action': 'remove',
            'name': arguments.name,
            'voter_id': arguments.voter_id,
        },
    )


async def _async_change_voter(
    arguments: argparse.Namespace,
    document: dict[str, Any],
) -> int:
    async with ApiClient(client_settings_from(arguments)) as client:
        answer = await client.async_request('POST', '/v1/voters', document)
    _print_outcome(arguments, answer)
    return EXIT_OK


async def _async_set_state(arguments: argparse.Namespace, state: str) -> int:
    return await _async_submit_change(
        arguments,
        f'/v1/data-centres/{arguments.data_centre}',
        {'state': state},
    )


async def _async_submit_change(
    arguments: argparse.Namespace,
    url: str,
    document: dict[str, Any],
) -> int:
    """Submit a change; the base defaults to the current revision."""
    change_id = arguments.change_id or secrets.token_hex(_ID_BYTES)
    async with ApiClient(client_settings_from(arguments)) as client:
        base = arguments.base
        if base is None:
            current = await client.async_request('GET', '/v1/settings')
            base = current['revision']
        if not arguments.json:
            # If the answer is lost, a retry needs the same id and base.
            print_line(f'change id: {change_id}, base: {base}')
        answer = await client.async_request(
            'PUT',
            url,
            {'change_id': change_id, 'base': base, **document},
        )
    _print_outcome(arguments, {'change_id': change_id, **answer})
    return EXIT_OK


def _print_outcome(
    arguments: argparse.Namespace,
    answer: dict[str, Any],
) -> None:
    if arguments.json:
        print_json(answer)
    else:
        print_fields('in force', answer)


def _history_row(change: dict[str, Any]) -> list[Any]:
    when = datetime.fromtimestamp(change['asked_at'], timezone.utc)
    return [
        change['revision'],
        change['change_id'],
        change['operator'],
        change['host'],
        when.isoformat(timespec='seconds'),
        ', '.join(change['paths']),
    ]


def _settings_url(path: str) -> str:
    return f'/v1/settings{_path_suffix(path)}'


def _path_suffix(path: str) -> str:
    stripped = path.strip('/')
    return f'/{stripped}' if stripped else ''
