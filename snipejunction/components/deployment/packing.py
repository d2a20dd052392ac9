"""Compression of documents for replication, updates and storage."""

from __future__ import annotations

import zlib
from typing import Final

from snipejunction.errors import SettingsError

# Upper bound of an uncompressed document in bytes: more than an operator may
# send in one call.
MAX_DOCUMENT_BYTES: Final = 67_108_864


def pack_document(content: bytes) -> bytes:
    """Compress a document; its repeated field names compress well."""
    return zlib.compress(content)


def unpack_document(packed: bytes) -> bytes:
    """Return the uncompressed document, empty if there is none.

    Raises:
        SettingsError: if the bytes are not a compressed document or the
            document is too large.
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
