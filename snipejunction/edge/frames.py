"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.errors import PeerError

_LENGTH_BYTES: Final = 4
_BYTE_ORDER: Final = 'big'

# An empty frame keeps a stream alive.
HEARTBEAT: Final = bytes(_LENGTH_BYTES)


def encode_frame(content: bytes) -> bytes:
    """Return ``content`` with its length prefix."""
    return len(content).to_bytes(_LENGTH_BYTES, _BYTE_ORDER) + content


class FrameReader:
    """Splits received bytes into frames of a bounded size."""

    __slots__ = ('_buffer', '_limit', '_start')

    def __init__(self, limit: int) -> None:
        """Create a reader; ``limit`` is the largest frame content in bytes."""
        self._buffer = bytearray()
        self._limit = limit
        self._start = 0

    @property
    def limit(self) -> int:
        """Return the size limit of frame contents in bytes."""
        return self._limit

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the unfinished frame in bytes."""
        return len(self._buffer)

    def set_limit(self, limit: int) -> None:
        """Set the size limit of frame contents in bytes."""
        self._limit = limit

    def clear(self) -> None:
        """Drop the unfinished frame."""
        self._buffer = bytearray()
        self._start = 0

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Add received bytes and yield complete contents, also empty ones.

        Raises:
            PeerError: if the length prefix of a frame exceeds the limit.
        """
        self._buffer += received
        content = self._next_frame()
        while content is not None:
            yield content
            content = self._next_frame()
        self._buffer = self._buffer[self._start :]
        self._start = 0

    def _next_frame(self) -> bytes | None:
        begin = self._start + _LENGTH_BYTES
        if len(self._buffer) < begin:
            return None
        size = int.from_bytes(self._buffer[self._start : begin], _BYTE_ORDER)
        if size > self._limit:
            raise PeerError(f'frame of {size} bytes, at most {self._limit}')
        if len(self._buffer) < begin + size:
            return None
        self._start = begin + size
        return bytes(self._buffer[begin : self._start])
