"""Options for the hosts to contact and the bearer token."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import Final

from snipejunction.cli.client import ClientSettings
from snipejunction.errors import SettingsError

HOSTS_VARIABLE: Final = 'SNIPEJUNCTION_HOSTS'
TOKEN_VARIABLE: Final = 'SNIPEJUNCTION_TOKEN'


def add_access_options(parser: argparse.ArgumentParser) -> None:
    """Add the connection options to the parser of a command."""
    parser.add_argument(
        '--host',
        action='append',
        metavar='IP:PORT',
        help=f'host to ask; may be repeated (default: {HOSTS_VARIABLE})',
    )
    parser.add_argument(
        '--token-file',
        metavar='FILE',
        help=f'file with the bearer token (default: {TOKEN_VARIABLE})',
    )
    parser.add_argument(
        '--tls-authority',
        metavar='FILE',
        help='use TLS, with this authority',
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON in place of a table',
    )


def client_settings_from(arguments: argparse.Namespace) -> ClientSettings:
    """Return the client settings from the options and the environment.

    Raises:
        SettingsError: if no host or no token is given.
    """
    host_options = arguments.host or os.environ.get(HOSTS_VARIABLE, '').split(
        ','
    )
    hosts = tuple(host.strip() for host in host_options if host.strip())
    if not hosts:
        raise SettingsError(
            '--host', f'required unless {HOSTS_VARIABLE} is set'
        )
    return ClientSettings(
        hosts, _load_token(arguments), arguments.tls_authority
    )


def _load_token(arguments: argparse.Namespace) -> str:
    if arguments.token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, '')
    else:
        token = _read_token(arguments.token_file)
    if not token:
        raise SettingsError(
            '--token-file', f'required unless {TOKEN_VARIABLE} is set'
        )
    return token


def _read_token(path: str) -> str:
    try:
        return Path(path).read_text('ascii').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError('--token-file', str(error)) from None
