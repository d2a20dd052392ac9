"""Documents as they are replicated, fed and stored: compressed."""

from __future__ import annotations

import zlib
from typing import Final

from snipejunction.errors import SettingsError

# Bytes of an unpacked document: more than any call of an operator may bring.
MAX_DOCUMENT_BYTES: Final = 67_108_864


def pack_document(content: bytes) -> bytes:
    """Return the compressed form; routes and services repeat their fields."""
    return zlib.compress(content)


def unpack_document(packed: bytes) -> bytes:
    """Return the document, nothing if there is none.

    Raises:
        SettingsError: if it is no compressed document or too large.
    """
    if not packed:
        return b''
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise SettingsError('document', str(error)) from error
    if not reader.eof:
        raise SettingsError('document', 'too large or cut short')
    return content
