"""One HTTP/1.1 connection of a caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, Protocol

import httptools

from snipejunction.components.gateway.document import CallerLimits
from snipejunction.edge.gateway.const import IDLE_GRACE_SECONDS
from snipejunction.edge.gateway.headers import Headers, find_header

_READ_AHEAD: Final = 16


class CallerRequest:
    """A whole request; ``respond`` answers it once."""

    __slots__ = (
        '_connection',
        'body',
        'headers',
        'is_answered',
        'method',
        'on_gone',
        'received_at',
        'target',
    )

    def __init__(
        self,
        connection: CallerConnection,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        received_at: float,
    ) -> None:
        """Create a request read at ``received_at`` monotonic seconds."""
        self._connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.on_gone: Callable[[], None] | None = None
        self.is_answered = False

    @property
    def is_gone(self) -> bool:
        """Return whether the caller closed its end."""
        return self._connection.is_gone

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty without it."""
        return find_header(self.headers, name)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the answer; a second one is an error.

        Raises:
            RuntimeError: if the request was answered before.
        """
        if self.is_answered:
            raise RuntimeError('the request is answered already')
        self.is_answered = True
        self.on_gone = None
        self._connection.finish(self, status, headers, body)


class RequestServer(Protocol):
    """Who takes the requests of all connections."""

    limits: CallerLimits
    is_stopping: bool

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Return whether the connection may stay."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection."""

    def request_received(self, request: CallerRequest) -> None:
        """Take a whole request."""


class CallerConnection(asyncio.Protocol):
    """Parses requests, one at a time, and writes their answers."""

    def __init__(
        self,
        server: RequestServer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the protocol of a connection that is about to open."""
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers: Headers = []
        self._header_bytes = 0
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._begun_at: float | None = None
        self._active_at = loop.time()
        self._current: CallerRequest | None = None
        self._waiting: deque[CallerRequest] = deque()
        self._is_broken = False
        self.is_gone = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is open or on its way in."""
        return self._current is None and self._begun_at is None

    @property
    def is_writing(self) -> bool:
        """Return whether the caller has bytes of an answer to read."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take an open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.connection_opened(self):
            transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parse bytes; malformed ones end the connection."""
        if self._is_broken:
            return
        self._active_at = self._loop.time()
        if self._begun_at is None:
            self._begun_at = self._active_at
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)

    def eof_received(self) -> bool:
        """Treat a closed sending end as a caller that left."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Tell whoever works on its requests that the caller is gone."""
        self.is_gone = True
        self._server.connection_closed(self)
        requests = list(self._waiting)
        if self._current is not None:
            requests.append(self._current)
        self._waiting.clear()
        for request in requests:
            if request.on_gone is not None:
                request.on_gone()

    def watch(self, now: float) -> None:
        """Close the connection if its caller took too long."""
        limits = self._server.limits
        if self._current is not None or self._transport is None:
            return
        if self._begun_at is not None:
            if now > self._begun_at + limits.header_seconds:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now > self._active_at + limits.idle_seconds + IDLE_GRACE_SECONDS:
            self.close()

    def close(self) -> None:
        """Close the connection once all answers are written."""
        if self._transport is not None:
            self._transport.close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._chunks = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))
        self._count_header(len(name) + len(text) + 4)

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Hand the request on, or keep it until the one before is done."""
        if self._is_broken:
            return
        self._begun_at = None
        request = CallerRequest(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._chunks),
            self._loop.time(),
        )
        if not self._parser.should_keep_alive():
            request.headers.append((b'connection', b'close'))
        if self._current is None:
            self._begin(request)
        elif len(self._waiting) < _READ_AHEAD:
            self._waiting.append(request)
        else:
            self._refuse(HTTPStatus.TOO_MANY_REQUESTS)

    def finish(
        self,
        request: CallerRequest,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Write the answer of the open request."""
        transport = self._transport
        self._current = None
        self._active_at = self._loop.time()
        if transport is None or transport.is_closing():
            return
        is_last = self._server.is_stopping
        is_last = is_last or request.header(b'connection') == b'close'
        transport.write(_head(status, headers, len(body), is_last) + body)
        if is_last:
            transport.close()
        elif self._waiting:
            self._begin(self._waiting.popleft())

    def _begin(self, request: CallerRequest) -> None:
        self._current = request
        self._server.request_received(request)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: HTTPStatus) -> None:
        if self._is_broken:
            return
        self._is_broken = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._current is None:
            transport.write(_head(status, [], 0, is_last=True))
        transport.close()


def _head(
    status: int,
    headers: Headers,
    length: int,
    is_last: bool,
) -> bytes:
    lines = [b'HTTP/1.1 %d %s' % (status, _REASONS.get(status, b'Unknown'))]
    lines.extend(b'%s: %s' % header for header in headers)
    lines.append(b'content-length: %d' % length)
    if is_last:
        lines.append(b'connection: close')
    return b'\r\n'.join([*lines, b'', b''])


_REASONS: Final = MappingProxyType(
    {int(status): status.phrase.encode() for status in HTTPStatus},
)
