"""Command that runs a host."""

from __future__ import annotations

import argparse
import asyncio
import secrets
import signal
from typing import Final

from absl import logging as absl_logging

from snipejunction.cli.exit_codes import EXIT_OK
from snipejunction.edge.const import MIN_KEY_BYTES
from snipejunction.edge.host import HostRuntime
from snipejunction.edge.keys import PeerKeys, load_keys
from snipejunction.edge.listeners import Listeners
from snipejunction.errors import SettingsError
from snipejunction.host_settings import HostSettings
from snipejunction.schema.host_file import load_host_settings

_INCARNATION_BYTES: Final = 8


def run_serve(arguments: argparse.Namespace) -> int:
    """Run a host until a planned stop is complete.

    Raises:
        SettingsError: if the settings are invalid.
        StorageError: if the data folder cannot be used.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(arguments.verbosity)
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    settings = load_host_settings(arguments.settings, incarnation)
    asyncio.run(_async_serve(settings))
    return EXIT_OK


async def _async_serve(settings: HostSettings) -> None:
    identity = settings.identity
    keys = _load_peer_keys(settings)
    listeners = Listeners(
        identity.ip,
        identity.peer_port,
        identity.http_port,
    )
    async with HostRuntime(settings, keys, listeners) as host:
        _handle_signals(host)
        await host.async_wait()


def _handle_signals(host: HostRuntime) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, host.reload_keys)


def _load_peer_keys(settings: HostSettings) -> PeerKeys:
    if settings.peer_key_file is not None:
        return load_keys(settings.peer_key_file)
    name = settings.identity.name
    if any(voter.name != name for voter in settings.voters):
        raise SettingsError(
            'peer_key_file', 'required if there are other voters'
        )
    return PeerKeys([secrets.token_bytes(MIN_KEY_BYTES)])
