"""Settings, signals, metrics and exit codes of all processes."""

from __future__ import annotations

import argparse
import asyncio
import logging
import math
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
    EVENT_CONNECTIONS_REFUSED,
    EVENT_SETTINGS_KEPT,
    EVENT_SETTINGS_READ,
)
from snipejunction.edge.gateway.refusals import format_refusals
from snipejunction.edge.gateway.headers import content_type_headers
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.edge.gateway.process_bounds import LISTENER_METRICS
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.library_logs import LibraryLogHandler
from snipejunction.edge.peers import Address
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.edge.start_retries import MAX_START_SECONDS
from snipejunction.errors import SettingsError, StorageError
from snipejunction.platform import names
from snipejunction.platform.settings import load_profile

_SETTINGS_POLL_SECONDS: Final = 2.0
_EXIT_OK: Final = 0
_EXIT_SETTINGS: Final = 2
_EXIT_STORAGE: Final = 3
_METRICS_CONTENT_TYPE: Final = b'text/plain; version=0.0.4'
_OK: Final = 200
_HANDLED_SIGNALS: Final = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

# The platform provides no secrets, so all peers on the network are trusted.
PEER_KEY: Final = b'snipejunction platform peers'

# Time of the last change of a file, and its size.
FileStamp: TypeAlias = tuple[int, int]


class Host(Protocol):
    """Interface of the host that a process runs."""

    @property
    def failure(self) -> StorageError | None:
        """Return the error that stops the host, None if there is none."""

    async def async_stop(self) -> None:
        """Finish open work and stop."""

    def metrics_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed control hosts."""


class Process:
    """Serves one host and handles signals and settings changes."""

    def __init__(
        self,
        profile: HostProfile,
        path: Path,
        role: str,
        file_stamp: FileStamp,
    ) -> None:
        """Create the process of a role; needs a running event loop.

        ``file_stamp`` was read before the settings in ``profile``.
        """
        loop = asyncio.get_running_loop()
        self.profile = profile
        self.loop = loop
        self.log = EventLog(profile.name, role, loop)
        self.stop_requested = asyncio.Event()
        self._path = path
        self._role = role
        self._file_stamp = file_stamp
        self._host: Host | None = None
        self._budget = ReceiveBudget(
            'operators',
            profile.bounds.received_request_bytes,
            self.log.write,
        )
        self._servers: dict[str, HttpServer] = {}
        self._poll_timer: asyncio.TimerHandle | None = None

    def handle_signals(self) -> None:
        """Stop on SIGTERM and SIGINT, reload the settings on SIGHUP."""
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._request_stop, task)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def async_serve(self, host: Host, stack: AsyncExitStack) -> int:
        """Serve until the host has stopped; return the exit code."""
        self._host = host
        stack.callback(self._stop_polling)
        self._poll_settings()
        self._serve_metrics(host, stack)
        self.log.write(
            LogEvent(
                const.EVENT_SERVING,
                ip=self.profile.ip,
                http_port=0,
                peer_port=self.profile.peer_port,
            ),
        )
        await self.stop_requested.wait()
        if host.failure is not None:
            return _EXIT_STORAGE
        self.log.write(LogEvent(const.EVENT_STOP_ASKED))
        await host.async_stop()
        self.log.write(LogEvent(const.EVENT_STOPPED))
        return _EXIT_OK

    async def async_listen(
        self,
        listener: str,
        address: Address | None,
        on_request: Callable[[CallerRequest], None],
        stack: AsyncExitStack,
        max_seconds: float = MAX_START_SECONDS,
    ) -> None:
        """Start an HTTP server; do nothing without an address."""
        if address is None:
            return
        server = HttpServer(on_request, self.loop, self._budget)
        self.bound_server(listener, server)
        stack.callback(server.close)
        await server.async_listen_when_free(
            address, self.log.write, max_seconds
        )

    def bound_server(self, listener: str, server: HttpServer) -> None:
        """Apply the bounds of the machine; report what is refused."""
        bounds = self.profile.bounds
        server.max_connections = bounds.max_connections(listener)
        server.unsent_budget.limit = bounds.unsent_bytes
        self._servers[listener] = server

    def _serve_metrics(self, host: Host, stack: AsyncExitStack) -> None:
        # Serving does not depend on metrics, whose port another program may
        # hold for good.
        task = self.loop.create_task(
            self.async_listen(
                LISTENER_METRICS,
                self.profile.addresses.metrics,
                partial(_respond_metrics, host, self._servers),
                stack,
                math.inf,
            )
        )
        stack.callback(task.cancel)

    def _request_stop(self, task: asyncio.Task[int]) -> None:
        if self._host is None:
            task.cancel()
        else:
            self.stop_requested.set()

    def _poll_settings(self) -> None:
        self._log_refusals()
        # The file may change without a SIGHUP.
        if _read_file_stamp(self._path) != self._file_stamp:
            self._reload()
        self._poll_timer = self.loop.call_later(
            _SETTINGS_POLL_SECONDS,
            self._poll_settings,
        )

    def _log_refusals(self) -> None:
        for listener, server in self._servers.items():
            reasons = server.refusals.take()
            if reasons:
                self.log.write(
                    LogEvent(
                        EVENT_CONNECTIONS_REFUSED,
                        listener=listener,
                        reasons=reasons,
                    ),
                )

    def _stop_polling(self) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def _reload(self) -> None:
        self._file_stamp = _read_file_stamp(self._path)
        try:
            reloaded = load_profile(self._path, self._role, 0)
        except SettingsError as error:
            self.log.write(LogEvent(EVENT_SETTINGS_KEPT, reason=str(error)))
            return
        self.log.write(LogEvent(EVENT_SETTINGS_READ, seeds=reloaded.seeds))
        if self._host is not None and reloaded.seeds != self.profile.seeds:
            self.profile.seeds = reloaded.seeds
            self._host.update_seeds(reloaded.seeds)


def _respond_metrics(
    host: Host, servers: dict[str, HttpServer], request: CallerRequest
) -> None:
    counts = {
        listener: server.refusals.totals for listener, server in servers.items()
    }
    request.respond(
        _OK,
        content_type_headers(_METRICS_CONTENT_TYPE),
        host.metrics_text() + format_refusals(counts),
    )


RunRole: TypeAlias = Callable[[Process], Coroutine[Any, Any, int]]


def run(role: str, run_role: RunRole) -> None:
    """Read arguments and settings, and run a role until it stops."""
    parser = argparse.ArgumentParser(prog=f'snipejunction.platform.{role}')
    parser.add_argument('--metrics-port', type=int, required=True)
    arguments = parser.parse_args()
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ''))
    # A change while the file is parsed must differ from this stamp.
    file_stamp = _read_file_stamp(path)
    try:
        profile = load_profile(path, role, arguments.metrics_port)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_EXIT_SETTINGS)
    process_run = _async_run(profile, path, role, file_stamp, run_role)
    sys.exit(asyncio.run(process_run))


async def _async_run(
    profile: HostProfile,
    path: Path,
    role: str,
    file_stamp: FileStamp,
    run_role: RunRole,
) -> int:
    process = Process(profile, path, role, file_stamp)
    with closing(process.log):
        process.handle_signals()
        logging.getLogger().addHandler(
            LibraryLogHandler(process.log, process.loop)
        )
        exit_code = await _async_run_role(process, run_role)
    # Closing the loop restores the default actions. A signal from here on
    # must not replace the exit code.
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)
    return exit_code


async def _async_run_role(process: Process, run_role: RunRole) -> int:
    try:
        return await run_role(process)
    except asyncio.CancelledError:
        process.log.write(LogEvent(const.EVENT_STOPPED))
        return _EXIT_OK
    except StorageError as error:
        reason, exit_code = str(error), _EXIT_STORAGE
    except (OSError, SettingsError) as error:
        reason, exit_code = str(error), _EXIT_SETTINGS
    process.log.write(LogEvent(const.EVENT_START_FAILED, reason=reason))
    return exit_code


def _read_file_stamp(path: Path) -> FileStamp:
    try:
        status = path.stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
