"""One TCP stream between two hosts."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from snipejunction.edge.const import (
    HANDSHAKE_SECONDS,
    HEARTBEAT_SECONDS,
    MAX_HELLO_BYTES,
    MAX_QUEUE_BYTES,
    SILENCE_SECONDS,
)
from snipejunction.edge.frames import HEARTBEAT, FrameReader, encode_frame
from snipejunction.edge.handshake import Handshake
from snipejunction.errors import PeerError
from snipejunction.helpers.wire import MAX_FRAME_BYTES, decode, encode
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.messages import PeerMessage

REASON_SILENT: Final = 'silent'


class StreamOwner(Protocol):
    """Who learns what happens on a stream."""

    def stream_made(self, stream: PeerStream) -> bool:
        """Return whether the new stream may stay."""

    def stream_ready(self, stream: PeerStream) -> None:
        """Take a stream whose other end has proved itself."""

    def stream_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Take a message of an authenticated host."""

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Forget a stream."""


class PeerStream(asyncio.Protocol):
    """Authentication, frames and heartbeats of one stream."""

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
        self._transport: asyncio.Transport | None = None
        self._outbox: list[bytes] = []
        self._outbox_bytes = 0
        self._opened = loop.time()
        self._last_sent = self._opened
        self._last_received = self._opened
        self._reason = 'closed by the other end'

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
        """Return whether the other end has proved itself."""
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
        """Greet on an open stream."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._owner.stream_made(self):
            transport.abort()
            return
        for record in self._handshake.initial_records():
            self._push(encode_frame(encode(record)))

    def data_received(self, received: bytes) -> None:
        """Take bytes; anything malformed closes this stream only."""
        self._last_received = self._loop.time()
        try:
            self._take_frames(received)
        except (PeerError, WireError) as error:
            self.close(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner that the stream is gone."""
        if error is not None:
            self._reason = str(error)
        self._transport = None
        self._owner.stream_closed(self, self._reason)

    def send(self, message: PeerMessage) -> bool:
        """Queue a message; return whether there was room for it.

        Raises:
            WireError: if the message cannot be encoded.
        """
        frame = encode_frame(encode(message))
        if self._queued_bytes() + len(frame) > MAX_QUEUE_BYTES:
            return False
        self._push(frame)
        return True

    def watch(self, now: float) -> None:
        """Send a heartbeat if it is time; give up a silent stream."""
        if self._transport is None:
            return
        if not self.is_ready:
            if now - self._opened > HANDSHAKE_SECONDS:
                self.close('not authenticated in time')
            return
        if now - self._last_received > SILENCE_SECONDS:
            self.close(REASON_SILENT)
        elif now - self._last_sent >= HEARTBEAT_SECONDS:
            self._push(HEARTBEAT)

    def close(self, reason: str) -> None:
        """Drop the stream at once, with all that waits on it."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._reason = reason
        self._flush()
        transport.abort()

    def _take_frames(self, received: bytes) -> None:
        for content in self._reader.feed(received):
            transport = self._transport
            if transport is None or transport.is_closing():
                return
            if content:
                self._take(decode(content))

    def _take(self, record: object) -> None:
        if self.is_ready:
            self._pass_on(record)
        else:
            self._authenticate(record)

    def _pass_on(self, record: object) -> None:
        if not isinstance(record, PeerMessage):
            raise PeerError(f'{type(record).__name__} is no message')
        record.sender = self.peer_name
        self._owner.stream_received(self, record)

    def _authenticate(self, record: object) -> None:
        for answer in self._handshake.handle_record(record):
            self._push(encode_frame(encode(answer)))
        if self.is_ready:
            self._reader.set_limit(MAX_FRAME_BYTES)
            self._owner.stream_ready(self)

    def _queued_bytes(self) -> int:
        if self._transport is None:
            return MAX_QUEUE_BYTES
        return self._outbox_bytes + self._transport.get_write_buffer_size()

    def _push(self, frame: bytes) -> None:
        # Frames of one turn of the loop leave in one write.
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
