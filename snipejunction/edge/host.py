"""One host at work: its core, sockets, files, metrics and traces."""

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
_COMPONENTS: Final = SYSTEMS


class HostRuntime:
    """Runs the core of one host under asyncio and owns all that it opens.

    Used as an asynchronous context: entering starts the host, leaving it
    closes everything at once. A planned stop is ``ask_stop`` followed by
    ``async_wait``.
    """

    def __init__(
        self,
        settings: HostSettings,
        keys: PeerKeys,
        listeners: Listeners,
        exporter: SpanExporter | None = None,
        seed: int | None = None,
    ) -> None:
        """Create a host that takes over the bound listeners."""
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
        """Return the tables of the host."""
        return self._node

    @property
    def settings(self) -> HostSettings:
        """Return the settings of the host's file."""
        return self._settings

    async def __aenter__(self) -> HostRuntime:
        """Load the disk, start the systems and open the listeners."""
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
        """Close everything."""
        await self._stack.aclose()
        self.log(LogEvent(const.EVENT_STOPPED))

    def now(self) -> float:
        """Return the time on the host's monotonic clock, in seconds."""
        return self._loop.time()

    def ask_stop(self) -> None:
        """Begin a planned stop; it cuts off no request."""
        self.log(LogEvent(const.EVENT_STOP_ASKED))
        self.submit(StopRequested())

    async def async_wait(self) -> None:
        """Wait until the host is to be closed.

        Raises:
            StorageError: if it stopped because its disk failed.
        """
        await self._stopped.wait()
        if self._failure is not None:
            raise self._failure

    def finish(self) -> None:
        """Note that the host is to be closed."""
        self._stopped.set()

    def reload_keys(self) -> None:
        """Read the peer keys and the certificates again."""
        try:
            count = self._keys.reload()
        except SettingsError as error:
            self._refuse_keys(error)
            return
        try:
            self._reload_tls()
        except SettingsError as error:
            self._refuse_keys(error)
            return
        self.log(LogEvent(const.EVENT_KEYS_LOADED, count=count))

    def locate(self, host: str) -> Address | None:
        """Return where a host listens for its peers, if known."""
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
        """Handle a message and carry out what follows from it."""
        self._runner.submit(message)

    def execute(self, command: Command) -> None:
        """Carry out a command."""
        execute(command, self)

    def report_failure(self, source: object, error: Exception) -> None:
        """Log a message or a command that failed; the host goes on."""
        if isinstance(error, StorageError):
            self.storage_failed(error)
            return
        kind = type(source).__name__
        reason = repr(error)
        self.log(
            LogEvent(const.EVENT_HANDLER_FAILED, kind=kind, reason=reason),
        )
        absl_logging.error('details', exc_info=error)
        # A call whose message failed gets no other answer.
        call_id = getattr(source, 'call_id', None)
        if call_id is not None:
            self.calls.fail(call_id, error)

    def persist(self, command: PersistLog) -> None:
        """Begin a write of the replicated log."""
        if self._storage is None:
            raise StorageError('a host without a data folder keeps no log')
        self._storage.persist(command)

    def disk_full(self, error: StorageError) -> None:
        """Log that a write waits; nothing is promised until it is done."""
        self.log(LogEvent(const.EVENT_DISK_FULL, reason=str(error)))

    def storage_failed(self, error: StorageError) -> None:
        """Stop at once: what the host promised may not be durable."""
        self.log(LogEvent(const.EVENT_STORAGE_FAILED, reason=str(error)))
        self._failure = error
        self._runner.stop()
        self._stopped.set()

    def _refuse_keys(self, error: SettingsError) -> None:
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
            self._storage.load(self.node)
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
