"""Helpers for HTTP headers: pairs of a lower-case name and a value."""

from __future__ import annotations

from collections.abc import Container
from typing import Final, TypeAlias

from snipejunction.edge.gateway.header_names import HeaderNames

Headers: TypeAlias = list[tuple[bytes, bytes]]

_MILLISECONDS: Final = 1000
# Numbers in headers: times of ten days and more, in milliseconds, are the same.
MAX_HEADER_NUMBER: Final = 10**9
_MAX_HEADER_DIGITS: Final = 100
# Headers that apply to one connection and are not forwarded.
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
    """Return the value of the first header with a name, empty if absent."""
    for header_name, field in headers:
        if header_name == name:
            return field
    return b''


def parse_whole_number(field: bytes) -> int | None:
    """Return the whole number in a header, None if it holds none.

    The number is ``MAX_HEADER_NUMBER`` at most.
    """
    if not field.isdigit():
        return None
    if len(field) > _MAX_HEADER_DIGITS:
        return MAX_HEADER_NUMBER
    return min(int(field), MAX_HEADER_NUMBER)


def end_to_end_headers(
    headers: Headers, excluded: Container[bytes] = ()
) -> Headers:
    """Return the headers to forward, without those in ``excluded``."""
    return [
        header
        for header in headers
        if header[0] not in _HOP_HEADERS and header[0] not in excluded
    ]


def content_type_headers(content_type: bytes) -> Headers:
    """Return the headers of an answer that this host generates."""
    return [(b'content-type', content_type)]


def complete_head(
    head: bytes,
    header_names: HeaderNames,
    remaining_seconds: float,
    searcher_id: str,
) -> bytes:
    """Return the head of a request to one searcher.

    ``head`` is the part that is the same for all searchers;
    ``remaining_seconds`` is the time until the deadline.
    """
    return b'%s%s: %d\r\n%s: %s\r\n\r\n' % (
        head,
        header_names.deadline,
        max(1, int(remaining_seconds * _MILLISECONDS)),
        header_names.expected_searcher,
        searcher_id.encode(),
    )
