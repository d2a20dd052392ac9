"""Headers of HTTP messages: names in lower case, with their values."""

from __future__ import annotations

from collections.abc import Container
from typing import Final, TypeAlias

from snipejunction.edge.gateway.dialect import Dialect

Headers: TypeAlias = list[tuple[bytes, bytes]]

_MILLISECONDS: Final = 1000
# Headers that concern one connection only.
_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header of a name, empty without it."""
    for known, text in headers:
        if known == name:
            return text
    return b''


def end_to_end(headers: Headers, dropped: Container[bytes] = ()) -> Headers:
    """Return the headers that go on to the next hop, less ``dropped``."""
    return [
        header
        for header in headers
        if header[0] not in _HOP_HEADERS and header[0] not in dropped
    ]


def plain_headers(content_type: bytes) -> Headers:
    """Return the headers of an answer of this host itself."""
    return [(b'content-type', content_type)]


def complete_head(
    head: bytes,
    dialect: Dialect,
    left: float,
    searcher_id: str,
) -> bytes:
    """Return the head of a request to one searcher.

    ``head`` is what all searchers get; ``left`` is the time in seconds that
    the searcher has.
    """
    return b'%s%s: %d\r\n%s: %s\r\n\r\n' % (
        head,
        dialect.deadline,
        max(1, int(left * _MILLISECONDS)),
        dialect.expected_searcher,
        searcher_id.encode(),
    )
