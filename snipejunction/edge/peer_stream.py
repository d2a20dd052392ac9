"""One TCP stream between two hosts."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from snipejunction.edge.const import (
    HANDSHAKE_SECONDS,
    HEARTBEAT_SECONDS,
    MAX_HELLO_BYTES,
    MAX_QUEUE_BYTES,
    RECEIVE_TIMEOUT_SECONDS,
)
from snipejunction.edge.frames import HEARTBEAT, FrameReader, encode_frame
from snipejunction.edge.handshake import Handshake
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.edge.resets import is_reset
from snipejunction.errors import PeerError
from snipejunction.helpers.wire import MAX_FRAME_BYTES, decode, encode
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.messages import PeerMessage

REASON_SILENT: Final = 'silent'
REASON_INTERRUPTED: Final = 'another stream closed'


class StreamOwner(Protocol):
    """Callbacks of a stream into the table that owns it."""

    budget: ReceiveBudget

    def stream_made(self, stream: PeerStream) -> bool:
        """Register a new stream; return False to reject it."""

    def stream_ready(self, stream: PeerStream) -> None:
        """Handle a stream that completed its authentication."""

    def stream_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Handle a message from an authenticated host."""

    def stream_skipped(
        self, stream: PeerStream, kind: str, reasons: list[str]
    ) -> None:
        """Handle entries of a message that were malformed and left out."""

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Handle a closed stream."""


class PeerStream(asyncio.Protocol):
    """Protocol of a stream: authentication, framing and heartbeats."""

    def __init__(
        self,
        owner: StreamOwner,
        handshake: Handshake,
        loop: asyncio.AbstractEventLoop,
        *,
        is_dialed: bool,
    ) -> None:
        """Create the protocol of a stream that is about to open."""
        self._owner = owner
        self._handshake = handshake
        self._loop = loop
        self._is_dialed = is_dialed
        self._reader = FrameReader(MAX_HELLO_BYTES)
        self._account = owner.budget.open(self.close)
        self._transport: asyncio.Transport | None = None
        self._outbox: list[bytes] = []
        self._outbox_bytes = 0
        self._opened = loop.time()
        self._last_sent = self._opened
        self._last_received = self._opened
        self._reason = 'closed by the other end'
        # Set once the other end is authenticated or the stream is closed.
        self.settled: Final = asyncio.Event()

    @property
    def peer_name(self) -> str:
        """Return the name of the host at the other end."""
        return self._handshake.peer.name

    @property
    def peer_incarnation(self) -> str:
        """Return the incarnation of the host at the other end."""
        return self._handshake.peer.incarnation

    @property
    def is_ready(self) -> bool:
        """Return whether the other end is authenticated."""
        return self._handshake.is_done

    @property
    def is_dialed(self) -> bool:
        """Return whether this host opened the stream."""
        return self._is_dialed

    @property
    def address(self) -> str:
        """Return the address of the other end."""
        if self._transport is None:
            return 'unknown'
        return str(self._transport.get_extra_info('peername'))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the authentication on a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._owner.stream_made(self):
            transport.abort()
            return
        for record in self._handshake.initial_records():
            self._enqueue(encode_frame(encode(record)))

    def data_received(self, received: bytes) -> None:
        """Handle received bytes; malformed ones close this stream only."""
        self._last_received = self._loop.time()
        try:
            self._handle_frames(received)
            self._account.update(self._reader.buffered_bytes)
        except (PeerError, WireError) as error:
            self.close(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        """Report the closed stream to its owner."""
        if error is not None:
            self._reason = str(error)
        self._transport = None
        self._reader.clear()
        self._account.release()
        self.settled.set()
        self._owner.stream_closed(self, self._reason)

    def send(self, frame: bytes) -> bool:
        """Enqueue an encoded message; return False if the queue is full."""
        if self._queued_bytes() + len(frame) > MAX_QUEUE_BYTES:
            return False
        self._enqueue(frame)
        return True

    def excuse_silence(self, seconds: float, now: float) -> None:
        """Extend the timeouts by a time in which this host did not run."""
        self._opened = min(now, self._opened + seconds)
        self._last_received = min(now, self._last_received + seconds)

    def check_timeouts(self, now: float) -> None:
        """Send a due heartbeat, or close a stream that timed out."""
        if self._transport is None:
            return
        if not self.is_ready:
            if now - self._opened > HANDSHAKE_SECONDS:
                self.close(f'not authenticated within {HANDSHAKE_SECONDS} s')
            return
        if now - self._last_received > RECEIVE_TIMEOUT_SECONDS:
            self.close(REASON_SILENT)
        elif now - self._last_sent >= HEARTBEAT_SECONDS:
            self._enqueue(HEARTBEAT)

    def close(self, reason: str) -> None:
        """Abort the stream and discard its queued messages."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._reason = reason
        # What was received is held by the callers of this method, too.
        self._reader.clear()
        if not is_reset(transport):
            self._flush()
        transport.abort()

    def _handle_frames(self, received: bytes) -> None:
        for content in self._reader.feed(received):
            transport = self._transport
            if transport is None or transport.is_closing():
                return
            if content:
                self._handle_content(content)
            elif not self.is_ready:
                raise PeerError('empty frame before the handshake')

    def _handle_content(self, content: bytes) -> None:
        skipped: list[str] = []
        record = decode(content, skipped)
        if not self.is_ready:
            self._authenticate(record)
            return
        if skipped:
            self._owner.stream_skipped(self, type(record).__name__, skipped)
        self._deliver(record)

    def _deliver(self, record: object) -> None:
        if not isinstance(record, PeerMessage):
            raise PeerError(f'{type(record).__name__} is not a peer message')
        record.sender = self.peer_name
        self._owner.stream_received(self, record)

    def _authenticate(self, record: object) -> None:
        for reply in self._handshake.handle_record(record):
            self._enqueue(encode_frame(encode(reply)))
        if self.is_ready:
            self._reader.set_limit(MAX_FRAME_BYTES)
            self.settled.set()
            self._owner.stream_ready(self)

    def _queued_bytes(self) -> int:
        if self._transport is None:
            return MAX_QUEUE_BYTES
        return self._outbox_bytes + self._transport.get_write_buffer_size()

    def _enqueue(self, frame: bytes) -> None:
        # Batches frames of one event loop iteration into one write.
        if not self._outbox:
            self._loop.call_soon(self._flush)
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)

    def _flush(self) -> None:
        if not self._outbox:
            return
        content = b''.join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        self._last_sent = self._loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)
