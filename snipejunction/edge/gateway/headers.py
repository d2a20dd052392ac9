"""Headers of HTTP messages: names in lower case, with their values."""

from __future__ import annotations

from collections.abc import Container
from typing import Final, TypeAlias

Headers: TypeAlias = list[tuple[bytes, bytes]]

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
