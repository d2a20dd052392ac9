"""What the processes of all roles have in common."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, closing
from functools import partial
from pathlib import Path
from typing import Any, Final, Protocol, TypeAlias

from snipejunction.commands import LogEvent
from snipejunction.edge import const
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.const import (
    EVENT_SETTINGS_KEPT,
    EVENT_SETTINGS_READ,
)
from snipejunction.edge.gateway.headers import content_type_headers
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.peers import Address
from snipejunction.errors import SettingsError, StorageError
from snipejunction.platform import names
from snipejunction.platform.settings import load_profile

_SETTINGS_POLL_SECONDS: Final = 2.0
_EXIT_OK: Final = 0
_EXIT_SETTINGS: Final = 2
_EXIT_STORAGE: Final = 3
_TEXT: Final = b'text/plain; version=0.0.4'
_OK: Final = 200

# The platform hands out no secrets: peers are trusted by their network.
PEER_KEY: Final = b'snipejunction platform peers'


class Host(Protocol):
    """What a process needs of the host that it runs."""

    @property
    def failure(self) -> StorageError | None:
        """Return why the host has to end, None while it is sound."""

    async def async_stop(self) -> None:
        """Stop as planned."""

    def metrics_text(self) -> bytes:
        """Return all metrics in the text format."""

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other control hosts to start from."""


class Process:
    """Settings, signals and log of one process."""

    def __init__(
        self,
        profile: HostProfile,
        path: Path,
        role: str,
    ) -> None:
        """Create the process of a role under a running loop."""
        loop = asyncio.get_running_loop()
        self.profile = profile
        self.loop = loop
        self.log = EventLog(profile.name, role, loop)
        self.ended = asyncio.Event()
        self._path = path
        self._role = role
        self._stamp = _stamp_of(path)
        self._host: Host | None = None
        self._poll: asyncio.TimerHandle | None = None

    async def async_serve(self, host: Host, stack: AsyncExitStack) -> int:
        """Serve until a planned stop is complete; return the exit code."""
        self._host = host
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.ended.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        stack.callback(self._stop_polling)
        self._watch_settings()
        await self._async_serve_metrics(host, stack)
        self.log.write(
            LogEvent(
                const.EVENT_SERVING,
                ip=self.profile.ip,
                http_port=0,
                peer_port=self.profile.peer_port,
            ),
        )
        await self.ended.wait()
        if host.failure is not None:
            return _EXIT_STORAGE
        self.log.write(LogEvent(const.EVENT_STOP_ASKED))
        await host.async_stop()
        self.log.write(LogEvent(const.EVENT_STOPPED))
        return _EXIT_OK

    async def async_listen(
        self,
        address: Address | None,
        take: Callable[[CallerRequest], None],
        stack: AsyncExitStack,
    ) -> None:
        """Answer requests on an address, if there is one."""
        if address is None:
            return
        server = HttpServer(take, self.loop)
        stack.callback(server.close)
        await server.async_listen(*address)

    async def _async_serve_metrics(
        self,
        host: Host,
        stack: AsyncExitStack,
    ) -> None:
        show = partial(_show_metrics, host)
        await self.async_listen(self.profile.addresses.metrics, show, stack)

    def _watch_settings(self) -> None:
        # The file may change without a signal.
        if _stamp_of(self._path) != self._stamp:
            self._reload()
        self._poll = self.loop.call_later(
            _SETTINGS_POLL_SECONDS,
            self._watch_settings,
        )

    def _stop_polling(self) -> None:
        if self._poll is not None:
            self._poll.cancel()

    def _reload(self) -> None:
        self._stamp = _stamp_of(self._path)
        try:
            fresh = load_profile(self._path, self._role, 0)
        except SettingsError as error:
            self.log.write(LogEvent(EVENT_SETTINGS_KEPT, reason=str(error)))
            return
        self.log.write(LogEvent(EVENT_SETTINGS_READ, seeds=fresh.seeds))
        if self._host is not None and fresh.seeds != self.profile.seeds:
            self.profile.seeds = fresh.seeds
            self._host.update_seeds(fresh.seeds)


def _show_metrics(host: Host, request: CallerRequest) -> None:
    request.respond(_OK, content_type_headers(_TEXT), host.metrics_text())


RunRole: TypeAlias = Callable[[Process], Coroutine[Any, Any, int]]


def run(role: str, run_role: RunRole) -> None:
    """Read arguments and settings, and run a role until it stops."""
    parser = argparse.ArgumentParser(prog=f'snipejunction.platform.{role}')
    parser.add_argument('--metrics-port', type=int, required=True)
    arguments = parser.parse_args()
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ''))
    try:
        profile = load_profile(path, role, arguments.metrics_port)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_EXIT_SETTINGS)
    sys.exit(asyncio.run(_async_run(profile, path, role, run_role)))


async def _async_run(
    profile: HostProfile,
    path: Path,
    role: str,
    run_role: RunRole,
) -> int:
    process = Process(profile, path, role)
    with closing(process.log):
        return await run_role(process)


def _stamp_of(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
