"""Deduplication of the shard sizes in route entries.

The layout of a snapshot is its division into shards. The sizes are the number
of documents in each of these shards; they are sent once per snapshot instead
of once per searcher.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.owner.messages import SnapshotEntry, SnapshotId

_MAX_LAYOUTS: Final = 32


def extract_layouts(
    entries: Iterable[RouteEntry],
) -> tuple[list[RouteEntry], list[SnapshotEntry]]:
    """Return entries without shard sizes, and the sizes of each snapshot.

    An entry keeps sizes that differ from the first ones of its snapshot.
    """
    sizes: dict[SnapshotId, tuple[int, ...]] = {}
    stripped = []
    for entry in entries:
        snapshots = tuple(
            _extract_sizes(held, sizes) for held in entry.snapshots
        )
        stripped.append(entry.with_snapshots(snapshots))
    layouts = [
        SnapshotEntry(snapshot, (), documents)
        for snapshot, documents in sizes.items()
    ]
    return stripped, layouts


def _extract_sizes(
    held: SnapshotEntry,
    sizes: dict[SnapshotId, tuple[int, ...]],
) -> SnapshotEntry:
    known = sizes.setdefault(held.snapshot, held.documents)
    if known is held.documents or known == held.documents:
        return SnapshotEntry(held.snapshot, held.shards, ())
    return held


class LayoutCache:
    """Cache of shared tuples of shard sizes.

    Every searcher of a service announces the sizes of all shards. One copy
    per entry would make up most of a routing table.
    """

    __slots__ = ('_sizes',)

    def __init__(self) -> None:
        """Create an empty cache."""
        self._sizes: dict[tuple[int, ...], tuple[int, ...]] = {}

    def restore_layouts(
        self,
        entries: Iterable[RouteEntry],
        layouts: Iterable[SnapshotEntry],
    ) -> list[RouteEntry]:
        """Return the entries with their shard sizes.

        Equal sizes share one tuple.
        """
        sizes = {
            layout.snapshot: self._intern(layout.documents)
            for layout in layouts
        }
        return [
            entry.with_snapshots(
                tuple(
                    self._restore_sizes(held, sizes) for held in entry.snapshots
                ),
            )
            for entry in entries
        ]

    def _restore_sizes(
        self,
        held: SnapshotEntry,
        sizes: dict[SnapshotId, tuple[int, ...]],
    ) -> SnapshotEntry:
        if held.documents:
            documents = self._intern(held.documents)
        else:
            documents = sizes.get(held.snapshot, ())
        return SnapshotEntry(held.snapshot, held.shards, documents)

    def _intern(self, documents: tuple[int, ...]) -> tuple[int, ...]:
        if documents in self._sizes:
            return self._sizes[documents]
        if len(self._sizes) >= _MAX_LAYOUTS:
            self._sizes.pop(next(iter(self._sizes)))
        self._sizes[documents] = documents
        return documents
