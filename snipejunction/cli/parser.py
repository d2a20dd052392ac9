"""Argument parser of the command line."""

from __future__ import annotations

import argparse
from typing import Any, Final, TypeAlias

from absl import logging as absl_logging

from snipejunction import __version__
from snipejunction.cli import bench, operations, queries
from snipejunction.cli.access import add_access_options
from snipejunction.cli.check import run_check
from snipejunction.cli.exit_codes import EXIT_CODES_HELP
from snipejunction.cli.explain import STANDARD_INPUT, run_explain
from snipejunction.cli.serve import run_serve

_Commands: TypeAlias = Any

_DEFAULT_TOP: Final = 10
_DATA_CENTRE: Final = 'data_centre'


def make_parser() -> argparse.ArgumentParser:
    """Return the parser; each command sets ``run`` or ``async_run``."""
    parser = argparse.ArgumentParser(
        prog='snipejunction',
        description='A query tier over many shards.',
        epilog=EXIT_CODES_HELP,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'snipejunction {__version__}',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_host_commands(commands)
    _add_caller_commands(commands)
    _add_settings_commands(commands)
    _add_operator_commands(commands)
    _add_voter_commands(commands)
    bench.add_bench(commands)
    return parser


def _add_host_commands(commands: _Commands) -> None:
    serve = commands.add_parser('serve', help='run a host')
    serve.add_argument('--settings', metavar='FILE', required=True)
    serve.add_argument(
        '--verbosity',
        type=int,
        choices=range(absl_logging.ERROR, absl_logging.DEBUG + 1),
        default=absl_logging.INFO,
        help='0 for information (default), -1 warnings, -2 errors, 1 all',
    )
    serve.set_defaults(run=run_serve)
    check = commands.add_parser('check', help='check settings files')
    check.add_argument('files', nargs='+', metavar='FILE')
    check.add_argument('--json', action='store_true')
    check.add_argument(
        '--against',
        metavar='FILE',
        help='take the files as deployment documents, and this one as the '
        'version in force; ends with 1 for remarks and 2 for errors',
    )
    check.add_argument(
        '--region',
        action='append',
        default=[],
        help='a region that has a data centre (default: all may have one)',
    )
    check.set_defaults(run=run_check)
    explain = commands.add_parser(
        'explain',
        help='follow one request through the logs of several hosts',
    )
    explain.add_argument('request_id', metavar='REQUEST-ID')
    explain.add_argument(
        'files',
        nargs='*',
        metavar='FILE',
        default=[STANDARD_INPUT],
        help='logs of hosts (default: standard input)',
    )
    explain.set_defaults(run=run_explain)


def _add_caller_commands(commands: _Commands) -> None:
    query = _add_command(
        commands, 'query', 'search a service', queries.async_query
    )
    query.add_argument('service', metavar='TEAM/SERVICE')
    query.add_argument('query', metavar='JSON')
    query.add_argument('--top', type=int, default=_DEFAULT_TOP)
    query.add_argument('--coverage', type=float, default=1.0)
    query.add_argument('--deadline-ms', type=int, default=0)
    run = _add_command(
        commands,
        'run',
        'run a request that is not idempotent, at most once',
        queries.async_run,
    )
    run.add_argument('service', metavar='TEAM/SERVICE')
    run.add_argument('body', metavar='JSON')
    run.add_argument('--key', required=True, help='what the request concerns')
    run.add_argument('--request-id', help='the same one for a resend')
    run.add_argument('--deadline-ms', type=int, default=0)
    _add_command(
        commands,
        'addresses',
        'show which hosts to use',
        queries.async_addresses,
    )


def _add_settings_commands(commands: _Commands) -> None:
    settings = commands.add_parser('settings', help='read or write settings')
    actions = settings.add_subparsers(required=True, metavar='ACTION')
    get = _add_command(
        actions, 'get', 'show documents', operations.async_get_settings
    )
    get.add_argument('path', nargs='?', default='')
    put = _add_command(
        actions, 'put', 'write documents', operations.async_put_settings
    )
    put.add_argument('file', help='a document, or a file of "documents"')
    put.add_argument('--path', help='where the one document stands')
    _add_change_options(put)
    history = _add_command(
        actions,
        'history',
        'show the last changes',
        operations.async_show_history,
    )
    history.add_argument('path', nargs='?', default='')


def _add_operator_commands(commands: _Commands) -> None:
    _add_command(
        commands, 'status', 'show a host', operations.async_show_status
    )
    drain = _add_command(
        commands,
        'drain',
        'take a data centre out of service',
        operations.async_drain,
    )
    restore = _add_command(
        commands,
        'restore',
        'bring a data centre back',
        operations.async_restore,
    )
    for command in (drain, restore):
        command.add_argument(_DATA_CENTRE, metavar='DATA-CENTRE')
        _add_change_options(command)


def _add_voter_commands(commands: _Commands) -> None:
    voters = commands.add_parser('voters', help='show or change the voters')
    actions = voters.add_subparsers(required=True, metavar='ACTION')
    _add_command(
        actions, 'list', 'show the voters', operations.async_list_voters
    )
    add = _add_command(
        actions, 'add', 'add a voter', operations.async_add_voter
    )
    add.add_argument('name')
    add.add_argument('--ip', required=True)
    add.add_argument('--peer-port', type=int, required=True)
    add.add_argument('--voter-id', required=True)
    remove = _add_command(
        actions,
        'remove',
        'remove a voter',
        operations.async_remove_voter,
    )
    remove.add_argument('name')
    remove.add_argument('--voter-id', required=True)


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--base',
        type=int,
        help='revision that the change rests on (default: the present one)',
    )
    parser.add_argument('--change-id', help='the same one for a resend')


def _add_command(
    commands: _Commands,
    name: str,
    help_text: str,
    async_run: Any,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=help_text,
        description=help_text,
    )
    add_access_options(parser)
    parser.set_defaults(async_run=async_run)
    return parser
