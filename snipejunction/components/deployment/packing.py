"""Compression of documents for replication, updates and storage."""

from __future__ import annotations

import zlib
from typing import Final

from snipejunction.errors import SettingsError

# Upper bound of an uncompressed document in bytes: more than an operator may
# send in one call.
MAX_DOCUMENT_BYTES: Final = 67_108_864
# No compressed document starts like a JSON object.
_UNPACKED_START: Final = b'{'


def pack_document(content: bytes) -> bytes:
    """Compress a document; its repeated field names compress well."""
    return zlib.compress(content)


def unpack_document(packed: bytes) -> bytes:
    """Return the uncompressed document, empty if there is none.

    Logs of the first releases hold documents as they were sent.

    Raises:
        SettingsError: if the bytes are not a compressed document or the
            document is too large.
    """
    if not packed:
        return b''
    if packed.lstrip().startswith(_UNPACKED_START):
        return packed
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise SettingsError('document', str(error)) from error
    if not reader.eof:
        raise SettingsError('document', 'too large or cut short')
    return content
