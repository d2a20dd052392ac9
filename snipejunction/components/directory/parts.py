"""Splitting of route entries into parts that fit into a frame."""

from __future__ import annotations

from typing import Final

from snipejunction.components.directory.const import (
    MAX_PART_BYTES,
    MAX_PARTS,
)
from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.owner.messages import SnapshotId

# Upper bounds of the msgpack size of an entry without shards, of a shard number
# and of a document count.
_ENTRY_BYTES: Final = 700
_SHARD_BYTES: Final = 3
_DOCUMENTS_BYTES: Final = 9


def split_entries(entries: list[RouteEntry]) -> list[list[RouteEntry]]:
    """Split the entries into one or more parts."""
    parts: list[list[RouteEntry]] = [[]]
    size = 0
    sizes: dict[SnapshotId, tuple[int, ...]] = {}
    for entry in entries:
        entry_size = _estimate_bytes(entry, sizes)
        is_full = size + entry_size > MAX_PART_BYTES
        if parts[-1] and is_full and len(parts) < MAX_PARTS:
            parts.append([])
            sizes.clear()
            size = 0
            entry_size = _estimate_bytes(entry, sizes)
        parts[-1].append(entry)
        size += entry_size
    return parts


def _estimate_bytes(
    entry: RouteEntry,
    sizes: dict[SnapshotId, tuple[int, ...]],
) -> int:
    """Return the bytes that an entry adds to a part.

    ``sizes`` holds the shard sizes already in the part, which are sent once.
    """
    size = _ENTRY_BYTES
    for held in entry.snapshots:
        size += _SHARD_BYTES * len(held.shards)
        if held.snapshot not in sizes:
            sizes[held.snapshot] = held.documents
            size += _DOCUMENTS_BYTES * len(held.documents)
        elif sizes[held.snapshot] != held.documents:
            size += _DOCUMENTS_BYTES * len(held.documents)
    return size
