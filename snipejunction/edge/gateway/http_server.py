"""Listens for callers and bounds their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from snipejunction.components.gateway.document import CallerLimits
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
    SWEEP_SECONDS,
)

TakeRequest: TypeAlias = Callable[[CallerRequest], None]


class HttpServer:
    """One listening address; hands whole requests to ``take``."""

    def __init__(
        self,
        take: TakeRequest,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a server that does not listen yet."""
        self._take = take
        self._loop = loop
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.is_stopping = False
        self.limits = CallerLimits(
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            HEADER_SECONDS,
            IDLE_SECONDS,
        )

    @property
    def open_connections(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    @property
    def is_busy(self) -> bool:
        """Return whether a request or an unread answer is open."""
        return any(
            not one.is_idle or one.is_writing for one in self._connections
        )

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def async_listen(self, ip: str, port: int) -> None:
        """Listen on an address; port 0 takes any free one.

        Raises:
            OSError: if the address cannot be bound.
        """
        self._server = await self._loop.create_server(
            self._make,
            ip,
            port,
            backlog=1024,
            reuse_address=True,
        )
        self._sweep()

    def stop_listening(self) -> None:
        """Accept no connection and close those that are idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Close everything."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Return whether the connection may stay."""
        if len(self._connections) >= MAX_CALLER_CONNECTIONS:
            return False
        self._connections.add(connection)
        return True

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def request_received(self, request: CallerRequest) -> None:
        """Hand a request on."""
        self._take(request)

    def _make(self) -> CallerConnection:
        return CallerConnection(self, self._loop)

    def _sweep(self) -> None:
        now = self._loop.time()
        for connection in list(self._connections):
            connection.watch(now)
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)
