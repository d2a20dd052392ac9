"""An HTTP/1.1 connection to a searcher, with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

import httptools

from snipejunction.components.gateway.replies import (
    FINAL_STATUSES,
    Outcome,
    OutcomeKind,
    Reply,
)
from snipejunction.edge.gateway.carried_ids import CarriedIds
from snipejunction.edge.gateway.const import (
    DEFAULT_IDLE_SECONDS,
    IDLE_MARGIN_SECONDS,
    MAX_REPLY_BYTES,
    MAX_REPLY_HEAD_BYTES,
)
from snipejunction.edge.gateway.header_names import HeaderNames
from snipejunction.edge.gateway.headers import (
    Headers,
    end_to_end_headers,
    find_header,
    parse_whole_number,
)
from snipejunction.edge.gateway.request_writer import RequestWriter
from snipejunction.edge.receive_budget import (
    HEADER_OVERHEAD_BYTES,
    ReceiveBudget,
)
from snipejunction.helpers.rates import parse_rate

OnOutcome: TypeAlias = Callable[[Outcome], None]
_MISDIRECTED: Final = 421
_CONTINUE: Final = 100
_OK: Final = 200
_INTERIM: Final = range(_CONTINUE, _OK)
_VERSIONS: Final = frozenset(('1.0', '1.1'))
_TIMEOUT_FIELD: Final = b'timeout='


class SearcherConnection(asyncio.Protocol):
    """Sends requests and matches answers to them by request id.

    An id identifies an answer only on a connection that carried it once: a
    late copy of the answer to an earlier attempt has the same id. So each id
    is sent once on a connection, and a connection is not used again after an
    answer without an id.

    A searcher may send bytes without end, in a head, a body, trailers, interim
    responses or answers to other requests. All of them count towards
    ``MAX_REPLY_BYTES`` for one request, and what is held of an unfinished
    answer towards the budget of all connections. Trailers are not stored.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[[SearcherConnection], None],
        budget: ReceiveBudget,
    ) -> None:
        """Create the protocol of a connection that is being opened.

        ``budget`` is shared by all connections of a host.
        """
        self._header_names = header_names
        self._loop = loop
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._writer: RequestWriter | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_outcome: OnOutcome | None = None
        self._request_id = b''
        self.carried_ids: Final = CarriedIds()
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._idle_since = loop.time()
        self._can_reuse = True
        self._is_parsing = False
        self._account = budget.open(self.close)
        self._body = bytearray()
        # Bytes since the request, and those of them before the current head.
        self._reply_bytes = 0
        self._bytes_before_head = 0
        self._reset_reply()

    @property
    def is_open(self) -> bool:
        """Return whether the connection is established."""
        return self._transport is not None

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight."""
        return self._on_outcome is not None

    def is_reusable(self, now: float) -> bool:
        """Return whether the connection can take another request."""
        transport = self._transport
        if transport is None or transport.is_closing() or self.is_busy:
            return False
        # The bytes behind an answer may be another one, so no request is sent
        # before they are parsed.
        if not self._can_reuse or self._is_parsing:
            return False
        if self.carried_ids.is_full:
            return False
        return now < self._idle_since + self._idle_seconds

    def send(
        self,
        head: bytes,
        body: bytes,
        request_id: bytes,
        on_outcome: OnOutcome,
    ) -> None:
        """Send a request and call ``on_outcome`` once with its outcome.

        The connection must not have carried ``request_id`` before.
        """
        assert self._writer is not None
        self._request_id = request_id
        self.carried_ids.add(request_id)
        self._on_outcome = on_outcome
        self._reply_bytes = 0
        self._reset_reply()
        self._writer.write(head, body)

    def close(self, detail: str, kind: OutcomeKind = OutcomeKind.LOST) -> None:
        """Abort the connection; a request in flight ends as ``kind``."""
        self._report_outcome(Outcome(kind, detail=detail))
        self._drop_reply()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = RequestWriter(transport)

    def pause_writing(self) -> None:
        """Keep the rest of a request until the searcher reads more."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Send more of a request."""
        if self._writer is not None:
            self._writer.resume()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; close if no request is in flight."""
        if not self.is_busy:
            self.close('bytes without a request')
            return
        self._reply_bytes += len(received)
        self._is_parsing = True
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.close(f'malformed answer: {error}')
            return
        except httptools.HttpParserUpgrade:
            self.close('switch to another protocol')
            return
        finally:
            self._is_parsing = False
        if self.is_busy:
            self._check_size()
        else:
            self._account.update(0)

    def eof_received(self) -> bool:
        """Complete an answer whose body is delimited by the end of stream."""
        if self.is_busy and self._has_head and not self._has_length:
            self._can_reuse = False
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report a request in flight as lost."""
        self._transport = None
        self._writer = None
        self._drop_reply()
        detail = 'connection closed' if error is None else str(error)
        self._report_outcome(Outcome(OutcomeKind.LOST, detail=detail))
        self._on_lost(self)

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Start an answer; prevent reuse if no request is in flight."""
        if not self.is_busy:
            self._can_reuse = False
        self._reset_reply()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header and apply those about framing and keep-alive."""
        if self._has_head:
            # A trailer, which must not replace a header.
            return
        lowered = name.lower()
        self._headers.append((lowered, field))
        if lowered == b'content-length':
            self._has_length = True
        elif lowered == b'transfer-encoding':
            self._has_length = True
        elif lowered == b'connection' and field.lower() == b'close':
            self._can_reuse = False
        elif lowered == b'keep-alive':
            self._record_idle_timeout(field)

    def on_headers_complete(self) -> None:
        """Record that the head is complete."""
        self._has_head = True

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk to the body."""
        self._body += chunk

    def on_message_complete(self) -> None:
        """Complete the answer to the request in flight."""
        if self.is_busy:
            self._complete()

    def _complete(self) -> None:
        status = self._parser.get_status_code()
        if status in _INTERIM:
            self._reset_reply()
            return
        version = self._parser.get_http_version()
        if status not in FINAL_STATUSES or version not in _VERSIONS:
            self.close(f'no answer: HTTP/{version} with status {status:03d}')
            return
        echoed = find_header(self._headers, self._header_names.request_id)
        if echoed and echoed != self._request_id:
            # A late answer to an earlier request; the one to this request
            # is still to come.
            self._reset_reply()
            return
        if not echoed and self.carried_ids.has_earlier:
            # It may be a late answer to an earlier request.
            self.close(f'answer without an id, status {status}')
            return
        self._can_reuse = self._can_reuse and bool(echoed)
        self._idle_since = self._loop.time()
        if self._writer is not None and self._writer.has_unsent_bytes:
            # The searcher answered before it read the whole request.
            self._can_reuse = False
        outcome = self._build_outcome(status)
        self._reset_reply()
        self._report_outcome(outcome)

    def _build_outcome(self, status: int) -> Outcome:
        limit_text = find_header(self._headers, self._header_names.stated_limit)
        stated_limit = parse_rate(limit_text.decode('latin-1'))
        if find_header(self._headers, self._header_names.not_run):
            if status == _MISDIRECTED:
                return Outcome(
                    OutcomeKind.MISDIRECTED, detail='another searcher'
                )
            return Outcome(
                OutcomeKind.SHED,
                detail=f'status {status}',
                stated_limit=stated_limit,
            )
        headers = end_to_end_headers(self._headers)
        signature = find_header(
            self._headers, self._header_names.signature
        ).decode('latin-1')
        reply = Reply(status, headers, bytes(self._body), signature)
        return Outcome(
            OutcomeKind.ANSWERED,
            reply,
            f'status {status}',
            stated_limit=stated_limit,
        )

    def _report_outcome(self, outcome: Outcome) -> None:
        on_outcome = self._on_outcome
        self._on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def _record_idle_timeout(self, field: bytes) -> None:
        for parameter in field.split(b','):
            seconds = parse_whole_number(
                parameter.strip().removeprefix(_TIMEOUT_FIELD)
            )
            if seconds is not None:
                self._idle_seconds = seconds - IDLE_MARGIN_SECONDS

    def _check_size(self) -> None:
        message_bytes = self._reply_bytes - self._bytes_before_head
        if not self._has_head and message_bytes > MAX_REPLY_HEAD_BYTES:
            self.close(f'head over {MAX_REPLY_HEAD_BYTES} bytes')
        elif self._reply_bytes > MAX_REPLY_BYTES:
            self.close(f'answer over {MAX_REPLY_BYTES} bytes')
        else:
            # The parser holds unfinished lines.
            overhead = len(self._headers) * HEADER_OVERHEAD_BYTES
            self._account.update(message_bytes + overhead)

    def _drop_reply(self) -> None:
        self._reset_reply()
        self._account.update(0)

    def _reset_reply(self) -> None:
        self._headers: Headers = []
        self._body = bytearray()
        self._bytes_before_head = self._reply_bytes
        self._has_head = False
        self._has_length = False
