"""Runtime of a host: its core, sockets, files, metrics and traces."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final

from absl import logging as absl_logging
from opentelemetry.sdk.trace.export import SpanExporter

from snipejunction.commands import Command, LogEvent
from snipejunction.components.all_systems import SYSTEMS
from snipejunction.components.consensus.messages import PersistLog
from snipejunction.core import Core
from snipejunction.edge import const
from snipejunction.edge.calls import CallTable
from snipejunction.edge.core_runner import CoreRunner
from snipejunction.edge.execution import execute
from snipejunction.edge.http.server import async_serve_http
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.listeners import Listeners
from snipejunction.edge.logs import write_event
from snipejunction.edge.metrics import Metrics
from snipejunction.edge.peers import Address, PeerTable
from snipejunction.edge.storage import Storage
from snipejunction.edge.tls import TlsContexts
from snipejunction.edge.tracing import Tracing
from snipejunction.edge.upstreams import UpstreamClient
from snipejunction.errors import SettingsError, StorageError
from snipejunction.host_settings import HostSettings
from snipejunction.messages import Message, StopRequested
from snipejunction.node import Node

_SEED_BITS: Final = 64
# Importing the systems registers their message handlers.
_REGISTERED_SYSTEMS: Final = SYSTEMS


class HostRuntime:
    """Runs the core of one host under asyncio and owns its resources.

    As an async context manager it starts the host on entry and closes all
    resources on exit. For a planned stop, call ``request_stop`` and then await
    ``async_wait`` before the exit.
    """

    def __init__(
        self,
        settings: HostSettings,
        keys: PeerKeys,
        listeners: Listeners,
        exporter: SpanExporter | None = None,
        seed: int | None = None,
    ) -> None:
        """Create a host that owns the bound ``listeners``."""
        loop = asyncio.get_running_loop()
        identity = settings.identity
        core = Core(settings, seed or secrets.randbits(_SEED_BITS))
        self._loop = loop
        self._settings = settings
        self._node = core.node
        self._keys = keys
        self._listeners = listeners
        self._runner = CoreRunner(core, self, loop)
        self._stack = AsyncExitStack()
        self._stopped = asyncio.Event()
        self._failure: StorageError | None = None
        self._tls = None if settings.tls is None else TlsContexts(settings.tls)
        self._storage: Storage | None = None
        self.calls: Final = CallTable(self.submit)
        self.metrics: Final = Metrics(
            settings.statsd,
            f'snipejunction.{identity.name}',
        )
        self.tracing: Final = Tracing(
            identity.name,
            settings.trace_share,
            loop.time(),
            exporter,
            settings.otlp_url,
        )
        self.peers: Final = PeerTable(
            identity.name,
            identity.incarnation,
            keys,
            self,
            loop,
        )
        self.upstreams: Final = UpstreamClient(
            f'{identity.name}/{identity.incarnation}',
            self,
            self.tracing,
            loop,
        )

    @property
    def node(self) -> Node:
        """Return the state tables of the host."""
        return self._node

    @property
    def settings(self) -> HostSettings:
        """Return the settings from the host file."""
        return self._settings

    async def __aenter__(self) -> HostRuntime:
        """Load the data folder, start the systems and accept connections."""
        async with AsyncExitStack() as stack:
            await self._async_start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the core and close connections and files."""
        await self._stack.aclose()
        self.log(LogEvent(const.EVENT_STOPPED))

    def now(self) -> float:
        """Return the time on the host's monotonic clock, in seconds."""
        return self._loop.time()

    def request_stop(self) -> None:
        """Begin a planned stop, which completes requests in flight."""
        self.log(LogEvent(const.EVENT_STOP_ASKED))
        self.submit(StopRequested())

    async def async_wait(self) -> None:
        """Wait until the host has stopped and can be closed.

        Raises:
            StorageError: if the host stopped because its disk failed.
        """
        await self._stopped.wait()
        if self._failure is not None:
            raise self._failure

    def mark_stopped(self) -> None:
        """Mark the host as stopped, which ends ``async_wait``."""
        self._stopped.set()

    def reload_keys(self) -> None:
        """Reload the peer keys and the certificates."""
        try:
            count = self._keys.reload()
        except SettingsError as error:
            self._log_rejected_keys(error)
            return
        try:
            self._reload_tls()
        except SettingsError as error:
            self._log_rejected_keys(error)
            return
        self.log(LogEvent(const.EVENT_KEYS_LOADED, count=count))

    def locate(self, host: str) -> Address | None:
        """Return the peer address of a host, None if unknown."""
        entry = self.node.view.current.hosts.get(host)
        if entry is not None:
            return entry.ip, entry.peer_port
        for voter in self._settings.voters:
            if voter.name == host:
                return voter.ip, voter.peer_port
        member = self.node.consensus.find_member(host)
        return None if member is None else (member.ip, member.peer_port)

    def log(self, event: LogEvent) -> None:
        """Write an event."""
        write_event(self._settings.identity.name, event)

    def submit(self, message: Message) -> None:
        """Handle a message and execute the resulting commands."""
        self._runner.submit(message)

    def execute(self, command: Command) -> None:
        """Execute a command."""
        execute(command, self)

    def report_failure(self, source: object, error: Exception) -> None:
        """Log a failed message or command and keep running.

        A storage error stops the host instead.
        """
        if isinstance(error, StorageError):
            self.handle_storage_failure(error)
            return
        kind = type(source).__name__
        reason = repr(error)
        self.log(
            LogEvent(const.EVENT_HANDLER_FAILED, kind=kind, reason=reason),
        )
        absl_logging.error('details', exc_info=error)
        # No system will respond to a call whose message failed.
        call_id = getattr(source, 'call_id', None)
        if call_id is not None:
            self.calls.fail(call_id, error)

    def persist(self, command: PersistLog) -> None:
        """Start to write and sync a batch of a replicated log."""
        if self._storage is None:
            raise StorageError(
                f'{command.group}: cannot persist without a data folder'
            )
        self._storage.persist(command)

    def report_disk_full(self, error: StorageError) -> None:
        """Log a write delayed by a full disk; it is not acknowledged yet."""
        self.log(LogEvent(const.EVENT_DISK_FULL, reason=str(error)))

    def handle_storage_failure(self, error: StorageError) -> None:
        """Stop at once: acknowledged writes may not be durable."""
        self.log(LogEvent(const.EVENT_STORAGE_FAILED, reason=str(error)))
        self._failure = error
        self._runner.stop()
        self._stopped.set()

    def _log_rejected_keys(self, error: SettingsError) -> None:
        self.log(LogEvent(const.EVENT_KEYS_REFUSED, reason=str(error)))

    def _reload_tls(self) -> None:
        if self._tls is not None:
            self._tls.reload()

    async def _async_start(self, stack: AsyncExitStack) -> None:
        stack.callback(self._listeners.close)
        stack.callback(self.tracing.close)
        stack.callback(self.metrics.close)
        self.metrics.start(self._loop)
        folder = self._settings.data_folder
        if folder is not None and self._settings.is_voter:
            self._storage = Storage(folder, self, self._loop)
            stack.push_async_callback(self._storage.async_close)
            await self._storage.async_load(self.node, 0)
        stack.push_async_callback(self.upstreams.async_close)
        await self._async_serve_peers(stack)
        stack.callback(self._runner.stop)
        self._runner.start()
        tls = None if self._tls is None else self._tls.callers
        await async_serve_http(self, self._listeners.http, tls, stack)
        identity = self._settings.identity
        self.log(
            LogEvent(
                const.EVENT_SERVING,
                ip=identity.ip,
                http_port=identity.http_port,
                peer_port=identity.peer_port,
            ),
        )

    async def _async_serve_peers(self, stack: AsyncExitStack) -> None:
        tls = self._tls
        server = await self._loop.create_server(
            self.peers.accept,
            sock=self._listeners.peer,
            ssl=None if tls is None else tls.peer_server,
        )
        self.peers.start(None if tls is None else tls.peer_client)
        stack.push_async_callback(self.peers.async_close)
        stack.callback(server.close)
