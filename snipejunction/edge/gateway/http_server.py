"""HTTP server that limits the number of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final, TypeAlias

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.document import CallerLimits
from snipejunction.edge.accepting import async_open_listener
from snipejunction.edge.gateway.caller_connection import (
    CallerConnection,
    CallerRequest,
)
from snipejunction.edge.gateway.const import (
    HEADER_SECONDS,
    IDLE_SECONDS,
    MAX_BODY_BYTES,
    MAX_CALLER_CONNECTIONS,
    MAX_HEADER_BYTES,
    MAX_UNSENT_BYTES,
    SWEEP_INTERVAL_SECONDS,
)
from snipejunction.edge.gateway.refusals import (
    REASON_CONNECTIONS,
    RefusalCounts,
)
from snipejunction.edge.peers import Address
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.edge.start_retries import (
    MAX_START_SECONDS,
    async_retry_start,
)

_BACKLOG: Final = 1024
_MIN_BACKLOG: Final = 128
OnRequest: TypeAlias = Callable[[CallerRequest], None]


class HttpServer:
    """Accepts connections and passes requests to ``on_request``."""

    def __init__(
        self,
        on_request: OnRequest,
        loop: asyncio.AbstractEventLoop,
        budget: ReceiveBudget,
    ) -> None:
        """Create a server that does not listen yet.

        ``budget`` bounds the requests that its connections are receiving.
        """
        self._on_request = on_request
        self._loop = loop
        # In the order of their start.
        self._connections: dict[CallerConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.budget = budget
        self.unsent_budget = ReceiveBudget(
            'unread answers', MAX_UNSENT_BYTES, budget.log
        )
        self.refusals: Final = RefusalCounts()
        self.max_connections = MAX_CALLER_CONNECTIONS
        self.is_stopping = False
        self.limits = CallerLimits(
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            HEADER_SECONDS,
            IDLE_SECONDS,
        )

    @property
    def connection_count(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    @property
    def is_busy(self) -> bool:
        """Return whether a request or an unsent answer is left."""
        return any(
            not connection.is_idle or connection.has_unsent_bytes
            for connection in self._connections
        )

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def async_listen(self, ip: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port.

        Raises:
            OSError: if the address cannot be bound.
        """
        self._server = await async_open_listener(
            self._create_connection,
            (ip, port),
            min(_BACKLOG, max(_MIN_BACKLOG, self.max_connections)),
        )
        self._sweep()

    async def async_listen_when_free(
        self,
        address: Address,
        log: Callable[[LogEvent], None],
        max_seconds: float = MAX_START_SECONDS,
    ) -> None:
        """Listen on an address once no other program holds it.

        Raises:
            OSError: if it cannot be bound within ``max_seconds``.
        """
        async_listen = partial(self.async_listen, *address)
        await async_retry_start(async_listen, log, max_seconds)

    def stop_listening(self) -> None:
        """Stop accepting connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Stop the server and close all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()

    def add_connection(self, connection: CallerConnection) -> bool:
        """Register a connection; return False at the connection limit.

        The oldest connection without any whole request makes room for it.
        """
        if len(self._connections) >= self.max_connections:
            oldest = self._oldest_unknown()
            if oldest is None:
                self.refusals.add(REASON_CONNECTIONS)
                return False
            self.remove_connection(oldest)
            self.refusals.add(REASON_CONNECTIONS)
            oldest.close()
        self._connections[connection] = None
        return True

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    def dispatch(self, request: CallerRequest) -> None:
        """Pass a request to the request handler."""
        self._on_request(request)

    def _oldest_unknown(self) -> CallerConnection | None:
        return next(
            (
                connection
                for connection in self._connections
                if not connection.is_known
            ),
            None,
        )

    def _create_connection(self) -> CallerConnection:
        return CallerConnection(self, self._loop)

    def _sweep(self) -> None:
        now = self._loop.time()
        for connection in list(self._connections):
            connection.close_if_timed_out(now)
        self._sweep_timer = self._loop.call_later(
            SWEEP_INTERVAL_SECONDS, self._sweep
        )
