"""Server side of an HTTP/1.1 connection from a caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, Protocol

import httptools

from snipejunction.components.gateway.document import CallerLimits
from snipejunction.edge.gateway.const import (
    IDLE_GRACE_SECONDS,
)
from snipejunction.edge.gateway.headers import Headers, find_header
from snipejunction.edge.gateway.input_bounds import InputBounds
from snipejunction.edge.gateway.partial_request import PartialRequest
from snipejunction.edge.gateway.refusals import (
    REASON_MEMORY,
    RefusalCounts,
    abort_if_reset,
    reason_of,
)
from snipejunction.edge.gateway.request_parser import RequestParser
from snipejunction.edge.gateway.unread_answers import UnreadAnswers
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.edge.resets import is_closed_by_peer

_MAX_PIPELINED_REQUESTS: Final = 16
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# An answer from this size on is not copied behind its head.
_LARGE_ANSWER_BYTES: Final = 65536


class CallerRequest:
    """A complete request that can be answered once."""

    __slots__ = (
        '_connection',
        'body',
        'held_bytes',
        'headers',
        'is_answered',
        'is_last',
        'method',
        'on_disconnect',
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
        held_bytes: int,
        *,
        is_last: bool,
    ) -> None:
        """Create a request received at a time of the loop's clock.

        ``held_bytes`` is the memory that it takes. The connection closes
        after the answer to the last request.
        """
        self._connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.held_bytes = held_bytes
        self.is_last = is_last
        self.on_disconnect: Callable[[], None] | None = None
        self.is_answered = False

    def is_waiting(self) -> bool:
        """Return whether the caller waits for the answer at this moment."""
        return not self.is_answered and not self._connection.is_closed_by_caller

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if absent."""
        return find_header(self.headers, name)

    def header_values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with a name."""
        return [field for header, field in self.headers if header == name]

    def disconnect(self) -> None:
        """Call ``on_disconnect`` once, which may refer to the request."""
        on_disconnect = self.on_disconnect
        self.on_disconnect = None
        if on_disconnect is not None:
            on_disconnect()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the answer.

        Raises:
            RuntimeError: if the request is already answered.
        """
        if self.is_answered:
            raise RuntimeError('the request is already answered')
        self.is_answered = True
        self.on_disconnect = None
        self._connection.write_response(self, status, headers, body)


class RequestServer(Protocol):
    """Interface of the server that owns the connections."""

    budget: ReceiveBudget
    unsent_budget: ReceiveBudget
    limits: CallerLimits
    is_stopping: bool

    @property
    def refusals(self) -> RefusalCounts:
        """Return the counts of refused connections."""

    def add_connection(self, connection: CallerConnection) -> bool:
        """Register a connection; return False at the connection limit."""

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""

    def dispatch(self, request: CallerRequest) -> None:
        """Pass a request to the request handler."""


class CallerConnection(asyncio.Protocol):
    """Parses pipelined requests and answers them one at a time."""

    def __init__(
        self,
        server: RequestServer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the protocol of a connection that is being opened."""
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._input = InputBounds()
        self._unread: UnreadAnswers | None = None
        self._account = server.budget.open(
            lambda reason: self._refuse(
                HTTPStatus.SERVICE_UNAVAILABLE, REASON_MEMORY
            )
        )
        self._receiving_since: float | None = None
        self._last_active_at = loop.time()
        self._current: CallerRequest | None = None
        self._queued: deque[CallerRequest] = deque()
        self._is_parsing = False
        self._is_refused = False
        self._has_last = False
        self._is_continue_due = False
        self._is_writing_paused = False
        # Whether the caller ever sent a whole request.
        self.is_known = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        is_serving = self._current is not None or bool(self._queued)
        return not is_serving and self._receiving_since is None

    @property
    def is_closed_by_caller(self) -> bool:
        """Return whether the caller has closed the connection by now."""
        transport = self._transport
        return transport is None or is_closed_by_peer(transport)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether the write buffer holds bytes of an answer."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; abort it if the server is at its limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._unread = UnreadAnswers(
            transport,
            self._server.unsent_budget,
            self._server.refusals,
            self._loop.time(),
        )
        if not self._server.add_connection(self):
            transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; refuse malformed requests."""
        transport = self._transport
        if self._input.is_over or transport is None:
            return
        if abort_if_reset(transport, self._server.refusals):
            return
        self._last_active_at = self._loop.time()
        if self._receiving_since is None:
            self._receiving_since = self._last_active_at
        unparsed = memoryview(received)
        self._is_parsing = True
        while unparsed and not self._input.is_over:
            slice_bytes = self._input.slice_bytes(
                self._parser.partial, self._server.limits
            )
            self._feed(unparsed[:slice_bytes])
            unparsed = unparsed[slice_bytes:]
        self._is_parsing = False
        if self._is_refused:
            self._parser.close()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Call ``on_disconnect`` of all unanswered requests."""
        self._account.release()
        if self._unread is not None:
            self._unread.release()
        self._parser.close()
        self._server.remove_connection(self)
        requests = list(self._queued)
        if self._current is not None:
            requests.append(self._current)
        self._current = None
        self._queued.clear()
        for request in requests:
            request.disconnect()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection after a receive or idle timeout."""
        limits = self._server.limits
        if self._unread is not None:
            self._unread.check(now, limits.idle_seconds)
        if self._current is not None or self._transport is None:
            return
        if self._receiving_since is not None:
            if now > self._receiving_since + limits.header_seconds:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif (
            now
            > self._last_active_at + limits.idle_seconds + IDLE_GRACE_SECONDS
        ):
            self.close()

    def close(self) -> None:
        """Close the connection after flushing its write buffer."""
        if self._transport is not None:
            self._transport.close()

    def pause_writing(self) -> None:
        """Serve no further request until the caller reads its answers."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Serve the next queued request."""
        self._is_writing_paused = False
        if self._unread is not None:
            self._unread.update()
        if self._queued and self._can_dispatch:
            self._dispatch(self._queued.popleft())
            self._update_account()

    # Callbacks of RequestParser.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._input.check()
        self._parser.partial.add_target(url)
        if self._input.has_long_head(self._parser.partial, self._server.limits):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header."""
        self._input.check()
        self._parser.partial.add_header(name, field)
        if self._input.has_long_head(self._parser.partial, self._server.limits):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Record that the head is complete; ask for an expected body."""
        self._parser.partial.has_head = True
        if self._parser.expects_continue:
            self._is_continue_due = True
            self._send_continue()

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body; refuse a body over the limit."""
        self._input.check()
        body = self._parser.partial.body
        if len(body) + len(chunk) > self._server.limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            body += chunk

    def on_message_complete(self) -> None:
        """Dispatch the request, or queue it behind the one being served."""
        self._input.check()
        self._receiving_since = None
        self.is_known = True
        self._input.message_bytes = 0
        request = CallerRequest(
            self,
            self._parser.method,
            self._parser.partial.target,
            self._parser.partial.headers,
            bytes(self._parser.partial.body),
            self._loop.time(),
            self._parser.partial.held_bytes,
            is_last=self._parser.is_last,
        )
        self._parser.partial = PartialRequest()
        self._is_continue_due = False
        self._has_last = request.is_last
        self._input.is_over = request.is_last
        if self._can_dispatch:
            self._dispatch(request)
        elif len(self._queued) < _MAX_PIPELINED_REQUESTS:
            self._queued.append(request)
        else:
            self._refuse(HTTPStatus.TOO_MANY_REQUESTS)

    def write_response(
        self,
        request: CallerRequest,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Write the answer and dispatch the next queued request."""
        transport = self._transport
        self._current = None
        self._last_active_at = self._loop.time()
        if transport is None or transport.is_closing():
            return
        will_close = self._server.is_stopping or self._is_refused
        will_close = will_close or request.is_last
        if abort_if_reset(transport, self._server.refusals):
            self._input.is_over = True
            return
        head = _format_head(status, headers, len(body), will_close)
        if len(body) < _LARGE_ANSWER_BYTES:
            transport.write(head + body)
        else:
            transport.write(head)
            transport.write(body)
        if self._unread is not None:
            self._unread.add(len(head) + len(body))
        if will_close:
            transport.close()
        elif self._queued and self._can_dispatch:
            self._dispatch(self._queued.popleft())
        else:
            self._send_continue()
        self._update_account()

    def _send_continue(self) -> None:
        """Ask for the body of a request whose sender waits for that."""
        is_behind = self._current is not None or bool(self._queued)
        if not self._is_continue_due or self._is_refused or is_behind:
            return
        self._is_continue_due = False
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not abort_if_reset(transport, self._server.refusals):
            transport.write(_CONTINUE)

    @property
    def _can_dispatch(self) -> bool:
        return self._current is None and not self._is_writing_paused

    def _dispatch(self, request: CallerRequest) -> None:
        self._current = request
        self._server.dispatch(request)

    def _update_account(self) -> None:
        queued = sum(request.held_bytes for request in self._queued)
        # The parser holds unfinished lines.
        partial = self._parser.partial
        receiving = self._input.message_bytes + partial.uncounted_bytes
        receiving += partial.overhead_bytes
        current = self._current
        self._account.update(
            0 if self._is_refused else queued + receiving,
            0 if current is None else current.held_bytes,
        )

    def _feed(self, received: memoryview) -> None:
        self._input.message_bytes += len(received)
        try:
            self._parser.feed(received)
        except httptools.HttpParserError:
            # What follows the last request is ignored.
            if not self._has_last:
                self._refuse(HTTPStatus.BAD_REQUEST)
        excess = self._input.find_excess(
            self._parser.partial, self._server.limits
        )
        if excess is not None:
            self._refuse(excess)
        self._update_account()

    def _refuse(self, status: HTTPStatus, reason: str = '') -> None:
        if self._is_refused:
            return
        self._is_refused = True
        self._input.is_over = True
        self._server.refusals.add(reason or reason_of(status))
        if not self._is_parsing:
            self._parser.close()
        self._queued.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        # Behind an answer that is due, the connection is closed.
        if self._current is not None:
            return
        if not abort_if_reset(transport, self._server.refusals):
            transport.write(_format_head(status, [], 0, will_close=True))
            transport.close()


def _format_head(
    status: int,
    headers: Headers,
    length: int,
    will_close: bool,
) -> bytes:
    lines = [b'HTTP/1.1 %d %s' % (status, _REASONS.get(status, b'Unknown'))]
    lines.extend(b'%s: %s' % header for header in headers)
    lines.append(b'content-length: %d' % length)
    if will_close:
        lines.append(b'connection: close')
    return b'\r\n'.join([*lines, b'', b''])


_REASONS: Final = MappingProxyType(
    {int(status): status.phrase.encode() for status in HTTPStatus},
)
