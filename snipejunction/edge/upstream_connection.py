"""HTTP client session over one TCP connection to an upstream."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from aiohttp import (
    BaseConnector,
    ClientConnectionError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
)
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from yarl import URL

from snipejunction.edge.upstream_protocol import (
    PATH_CANCEL,
    PATH_RUN,
    PATH_SEARCH,
)

# Time for the upstream to close its half before the connection is aborted.
HALF_CLOSE_SECONDS: Final = 0.25
_SKIPPED_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class NotSentError(ClientConnectionError):
    """The connection closed before any byte of the request was sent."""


class _SingleConnectionConnector(BaseConnector):
    """Connector that uses one open connection and never opens another.

    A request on a closed connection must fail rather than be sent on a new
    one: the upstream limits its connections, and a request runs at most once.
    """

    def __init__(self, protocol: ResponseHandler) -> None:
        super().__init__(force_close=False, keepalive_timeout=None)
        self._open_protocol = protocol

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Any],
        timeout: ClientTimeout,
    ) -> Connection:
        """Return the open connection.

        Raises:
            NotSentError: if the connection is closed.
        """
        if (
            not self._open_protocol.is_connected()
            or self._open_protocol.should_close
        ):
            raise NotSentError
        return Connection(
            self, req.connection_key, self._open_protocol, self._loop
        )

    def _release(
        self,
        key: Any,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        if should_close or protocol.should_close:
            protocol.close()


class UpstreamConnection:
    """An open connection with at most one request in flight.

    ``dispatch`` is the task of a request of the owner. ``cancellation`` is
    the task of a cancel call, sent while the connection is idle otherwise.
    """

    __slots__ = (
        '_loop',
        '_protocol',
        '_session',
        'cancel_url',
        'connection_id',
        'dispatch',
        'cancellation',
        'is_closing',
        'run_url',
        'search_url',
        'searcher',
    )

    def __init__(
        self,
        connection_id: int,
        searcher: str,
        base_url: URL,
        protocol: ResponseHandler,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a client session over the open ``protocol``."""
        self.connection_id = connection_id
        self.searcher = searcher
        self.search_url = base_url.with_path(PATH_SEARCH)
        self.run_url = base_url.with_path(PATH_RUN)
        self.cancel_url = base_url.with_path(PATH_CANCEL)
        self.dispatch: asyncio.Task[None] | None = None
        self.cancellation: asyncio.Task[None] | None = None
        self.is_closing = False
        self._protocol = protocol
        self._loop = loop
        self._session = ClientSession(
            connector=_SingleConnectionConnector(protocol),
            cookie_jar=DummyCookieJar(),
            timeout=ClientTimeout(total=None, sock_connect=None),
            skip_auto_headers=_SKIPPED_HEADERS,
            auto_decompress=False,
        )

    @property
    def session(self) -> ClientSession:
        """Return the client session that uses this connection."""
        return self._session

    @property
    def is_idle(self) -> bool:
        """Return whether a cancel call can use this connection."""
        if self.dispatch is not None or self.cancellation is not None:
            return False
        return self._protocol.is_connected() and not self.is_closing

    @property
    def closed(self) -> asyncio.Future[None] | None:
        """Return a future that completes when the connection is closed."""
        return self._protocol.closed

    def close(self) -> None:
        """Close the write half and wait for the upstream to close its own.

        The connection is reported as closed only after the upstream has
        stopped counting it.
        """
        self.is_closing = True
        transport = self._protocol.transport
        if transport is None or transport.is_closing():
            return
        if self.dispatch is not None or not transport.can_write_eof():
            transport.abort()
            return
        transport.write_eof()
        self._loop.call_later(HALF_CLOSE_SECONDS, transport.abort)

    def abort(self) -> None:
        """Abort the connection."""
        self.is_closing = True
        transport = self._protocol.transport
        if transport is not None:
            transport.abort()

    async def async_close_session(self) -> None:
        """Close the client session of a closed connection."""
        await self._session.close()
