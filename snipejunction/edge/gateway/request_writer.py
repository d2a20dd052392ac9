"""Sends a request to a searcher as fast as the searcher reads it."""

from __future__ import annotations

import asyncio

from snipejunction.edge.gateway.const import BODY_PIECE_BYTES


class RequestWriter:
    """Writes a head and a body, which is shared with other connections.

    A transport copies what the system does not take in. It is given pieces of
    at most ``BODY_PIECE_BYTES``, the next one when the last one is sent.
    """

    __slots__ = ('_is_paused', '_transport', '_unsent')

    def __init__(self, transport: asyncio.Transport) -> None:
        """Create a writer with nothing to send."""
        self._transport = transport
        self._unsent = memoryview(b'')
        self._is_paused = False
        # Any byte that the system does not take in pauses the writer.
        transport.set_write_buffer_limits(0)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a part of the request is not sent."""
        return self._is_paused or bool(self._unsent)

    def write(self, head: bytes, body: bytes) -> None:
        """Send a request."""
        self._unsent = memoryview(body)[BODY_PIECE_BYTES:]
        self._transport.write(head + body[:BODY_PIECE_BYTES])
        self._continue()

    def pause(self) -> None:
        """Keep the rest until the searcher reads more."""
        self._is_paused = True

    def resume(self) -> None:
        """Send more."""
        self._is_paused = False
        self._continue()

    def _continue(self) -> None:
        while self._unsent and not self._is_paused:
            if self._transport.is_closing():
                self._unsent = memoryview(b'')
                return
            piece = self._unsent[:BODY_PIECE_BYTES]
            self._unsent = self._unsent[BODY_PIECE_BYTES:]
            self._transport.write(piece)
