"""A request that is being received from a caller."""

from __future__ import annotations

from snipejunction.edge.gateway.headers import Headers, find_header
from snipejunction.edge.receive_budget import HEADER_OVERHEAD_BYTES

# Separators and the end of a header line.
_LINE_OVERHEAD_BYTES = 4


class PartialRequest:
    """The parts of a request that the parser has reported so far.

    ``head_bytes`` is the size of the target, the headers and the trailers.
    ``uncounted_bytes`` is an upper bound of what was received of it together
    with the request before it.
    """

    __slots__ = (
        'body',
        'has_head',
        'head_bytes',
        'headers',
        'target',
        'uncounted_bytes',
    )

    def __init__(self) -> None:
        """Create a request of which nothing is received."""
        self.target = b''
        self.headers: Headers = []
        self.head_bytes = 0
        self.uncounted_bytes = 0
        self.has_head = False
        self.body = bytearray()

    @property
    def overhead_bytes(self) -> int:
        """Return the memory beyond the bytes on the wire."""
        return len(self.headers) * HEADER_OVERHEAD_BYTES

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request takes."""
        return self.head_bytes + len(self.body) + self.overhead_bytes

    def add_target(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part
        self.head_bytes += len(part)

    def add_header(self, name: bytes, field: bytes) -> None:
        """Store a header; trailers count but are not stored."""
        if not self.has_head:
            self.headers.append((name.lower(), field))
        self.head_bytes += len(name) + len(field) + _LINE_OVERHEAD_BYTES

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if absent."""
        return find_header(self.headers, name)

    def format_head(self, method: bytes, version: str) -> bytes:
        """Return the head without the offer of another protocol."""
        lines = [b'%s %s HTTP/%s' % (method, self.target, version.encode())]
        lines.extend(
            b'%s: %s' % header
            for header in self.headers
            if header[0] != b'upgrade'
        )
        return b'\r\n'.join([*lines, b'', b''])
