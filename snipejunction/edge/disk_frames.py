"""Encodes and decodes log file frames, one per synced batch.

A frame is a magic number, the length of the body, the CRC32C of length and
body, and the body. Each batch is synced before the next one is written, so an
unreadable frame is a torn tail if no readable frame follows it, and
corruption otherwise.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, Final

import crc32c
import msgpack

from snipejunction.components.consensus.configuration import (
    pack_configuration,
    unpack_configuration,
)
from snipejunction.components.consensus.messages import (
    LogEntry,
    PersistLog,
    Snapshot,
    StoredLog,
)
from snipejunction.errors import StorageError
from snipejunction.helpers.wire import pack_fields, unpack_fields

_MAGIC: Final = b'SJF1'
_HEADER: Final = struct.Struct('>4sII')
_LENGTH: Final = struct.Struct('>I')


def pack_frame(body: bytes) -> bytes:
    """Encode a body as a frame."""
    length = _LENGTH.pack(len(body))
    checksum = crc32c.crc32c(body, crc32c.crc32c(length))
    return _HEADER.pack(_MAGIC, len(body), checksum) + body


def pack_batch(command: PersistLog) -> bytes:
    """Encode a write to a log as a frame."""
    snapshot = command.snapshot
    body = [
        command.term,
        command.voted_for,
        command.first_index,
        [pack_fields(entry) for entry in command.entries],
        None if snapshot is None else _pack_snapshot(snapshot),
    ]
    return pack_frame(msgpack.packb(body))


def split_frames(name: str, content: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the body of each frame before a torn tail.

    Raises:
        StorageError: if the file is corrupt, with its name and the offset.
    """
    offset = 0
    while offset < len(content):
        body = _read_frame_body(content, offset)
        if body is None:
            _check_torn_tail(name, content, offset)
            return
        offset += _HEADER.size + len(body)
        yield offset, body


def replay_frame(name: str, stored: StoredLog | None, body: bytes) -> StoredLog:
    """Apply a frame to the state of a log and return the new state.

    Raises:
        StorageError: if the frame is malformed or leaves a gap.
    """
    try:
        batch = msgpack.unpackb(body, use_list=True)
        return _apply_batch(stored, batch)
    except Exception as error:
        raise StorageError(f'{name}: cannot apply frame: {error}') from error


def _apply_batch(stored: StoredLog | None, batch: Any) -> StoredLog:
    term, voted_for, first_index, packed, packed_snapshot = batch
    entries = [unpack_fields(LogEntry, fields) for fields in packed]
    if packed_snapshot is None:
        if stored is None:
            raise StorageError('first frame has no snapshot')
        snapshot = stored.snapshot
        old_entries = stored.entries
    else:
        snapshot = _unpack_snapshot(packed_snapshot)
        old_entries = []
    keep_count = first_index - snapshot.index - 1
    if not 0 <= keep_count <= len(old_entries):
        raise StorageError(f'gap before entry {first_index}')
    return StoredLog(
        term, voted_for, snapshot, old_entries[:keep_count] + entries
    )


def _pack_snapshot(snapshot: Snapshot) -> list[Any]:
    return [
        snapshot.index,
        snapshot.term,
        pack_configuration(snapshot.configuration),
        snapshot.state,
    ]


def _unpack_snapshot(fields: list[Any]) -> Snapshot:
    index, term, configuration, state = fields
    return Snapshot(index, term, unpack_configuration(configuration), state)


def _read_frame_body(content: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at an offset, None if unreadable."""
    start = offset + _HEADER.size
    if start > len(content):
        return None
    magic, length, checksum = _HEADER.unpack_from(content, offset)
    body = content[start : start + length]
    if magic != _MAGIC or len(body) < length:
        return None
    found = crc32c.crc32c(body, crc32c.crc32c(_LENGTH.pack(length)))
    return body if found == checksum else None


def _check_torn_tail(name: str, content: bytes, offset: int) -> None:
    position = content.find(_MAGIC, offset + 1)
    while position >= 0:
        if _read_frame_body(content, position) is not None:
            raise StorageError(f'{name}: damaged at offset {offset}')
        position = content.find(_MAGIC, position + 1)
    if offset == 0:
        # The first frame is synced before the file is renamed into use, so a
        # torn first frame is corruption.
        raise StorageError(f'{name}: damaged at offset 0')
