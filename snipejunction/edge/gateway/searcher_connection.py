"""One HTTP/1.1 connection to a searcher; one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

import httptools

from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.edge.gateway.const import (
    DEFAULT_IDLE_SECONDS,
    IDLE_MARGIN_SECONDS,
    MAX_REPLY_BYTES,
)
from snipejunction.edge.gateway.dialect import Dialect
from snipejunction.edge.gateway.headers import (
    Headers,
    end_to_end,
    find_header,
)

OnOutcome: TypeAlias = Callable[[Outcome], None]
_MISDIRECTED: Final = 421
_CONTINUE: Final = 100
_OK: Final = 200
_INTERIM: Final = range(_CONTINUE, _OK)
_TIMEOUT_FIELD: Final = b'timeout='


class SearcherConnection(asyncio.Protocol):
    """Sends requests and matches answers with them by id."""

    def __init__(
        self,
        dialect: Dialect,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[[SearcherConnection], None],
    ) -> None:
        """Create the protocol of a connection that is about to open."""
        self._dialect = dialect
        self._loop = loop
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_outcome: OnOutcome | None = None
        self._request_id = b''
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._idle_since = loop.time()
        self._may_reuse = True
        self._reset_reply()

    @property
    def is_open(self) -> bool:
        """Return whether requests can be sent."""
        return self._transport is not None

    @property
    def is_busy(self) -> bool:
        """Return whether an answer is awaited."""
        return self._on_outcome is not None

    def is_reusable(self, now: float) -> bool:
        """Return whether the searcher keeps the connection for a while."""
        transport = self._transport
        if transport is None or transport.is_closing() or self.is_busy:
            return False
        if not self._may_reuse:
            return False
        return now < self._idle_since + self._idle_seconds

    def send(
        self,
        content: bytes,
        request_id: bytes,
        on_outcome: OnOutcome,
    ) -> None:
        """Send a request; ``on_outcome`` is called once."""
        assert self._transport is not None
        self._request_id = request_id
        self._on_outcome = on_outcome
        self._reset_reply()
        self._transport.write(content)

    def close(self, detail: str) -> None:
        """Drop the connection; an open request may have run."""
        self._end(Outcome(OutcomeKind.LOST, detail=detail))
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take an open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Parse bytes; those that nobody asked for end the connection."""
        if not self.is_busy:
            self.close('bytes without a request')
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.close(f'malformed answer: {error}')
            return
        if self._reply_bytes > MAX_REPLY_BYTES:
            self.close('answer too large')

    def eof_received(self) -> bool:
        """Complete an answer that has no length and ends here."""
        if self.is_busy and self._has_head and not self._has_length:
            self._may_reuse = False
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report an open request as lost."""
        self._transport = None
        detail = 'connection closed' if error is None else str(error)
        self._end(Outcome(OutcomeKind.LOST, detail=detail))
        self._on_lost(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer; a second one in a row belongs to nobody."""
        if not self.is_busy:
            self._may_reuse = False
        self._reset_reply()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        lowered = name.lower()
        self._headers.append((lowered, text))
        if lowered == b'content-length':
            self._has_length = True
        elif lowered == b'transfer-encoding':
            self._has_length = True
        elif lowered == b'connection' and text.lower() == b'close':
            self._may_reuse = False
        elif lowered == b'keep-alive':
            self._note_idle_time(text)

    def on_headers_complete(self) -> None:
        """Note that only the body is missing."""
        self._has_head = True

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)
        self._reply_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """Take a whole answer."""
        if self.is_busy:
            self._complete()

    def _complete(self) -> None:
        status = self._parser.get_status_code()
        if status in _INTERIM:
            self._reset_reply()
            return
        echoed = self._find(self._dialect.request_id)
        if echoed and echoed != self._request_id:
            # A late answer to an earlier request; that to this one follows.
            self._reset_reply()
            return
        self._idle_since = self._loop.time()
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # The searcher answered before it read the request.
            self._may_reuse = False
        self._end(self._outcome(status))

    def _outcome(self, status: int) -> Outcome:
        if status == _MISDIRECTED:
            return Outcome(OutcomeKind.MISDIRECTED, detail='another searcher')
        if self._find(self._dialect.not_run):
            return Outcome(OutcomeKind.SHED, detail=f'status {status}')
        headers = end_to_end(self._headers)
        signature = self._find(self._dialect.signature).decode('latin-1')
        body = b''.join(self._chunks)
        reply = Reply(status, headers, body, signature)
        return Outcome(OutcomeKind.ANSWERED, reply, f'status {status}')

    def _end(self, outcome: Outcome) -> None:
        on_outcome = self._on_outcome
        self._on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def _find(self, name: bytes) -> bytes:
        return find_header(self._headers, name)

    def _note_idle_time(self, text: bytes) -> None:
        for field in text.split(b','):
            number = field.strip().removeprefix(_TIMEOUT_FIELD)
            if number.isdigit():
                self._idle_seconds = int(number) - IDLE_MARGIN_SECONDS

    def _reset_reply(self) -> None:
        self._headers: Headers = []
        self._chunks: list[bytes] = []
        self._reply_bytes = 0
        self._has_head = False
        self._has_length = False
