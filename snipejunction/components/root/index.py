"""Index of the snapshots and shards that the searchers hold."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final, Protocol

from snipejunction.components.owner.messages import SnapshotEntry, SnapshotId


class Holder(Protocol):
    """Searcher and the snapshots that it holds."""

    @property
    def searcher(self) -> str:
        """Return the name of the searcher."""

    @property
    def snapshots(self) -> tuple[SnapshotEntry, ...]:
        """Return the snapshots that the searcher holds."""


class SnapshotLayout:
    """Shards of a snapshot and the searchers that hold them.

    ``sizes`` are the document counts of the shards. If they are unknown,
    each size is one, so that coverage counts shards.
    """

    __slots__ = ('held_shards', 'holders', 'sizes', 'snapshot', 'total')

    def __init__(self, snapshot: SnapshotId) -> None:
        """Create a layout without shards."""
        self.snapshot: Final = snapshot
        self.sizes: tuple[int, ...] = ()
        self.total = 0
        self.held_shards: frozenset[int] = frozenset()
        self.holders: dict[str, tuple[int, ...]] = {}

    def add_holder(self, searcher: str, entry: SnapshotEntry) -> None:
        """Add the shards that a searcher holds."""
        if len(entry.documents) > len(self.sizes):
            self.sizes = entry.documents
        shard_count = len(self.sizes)
        self.holders[searcher] = tuple(
            [shard for shard in entry.shards if 0 <= shard < shard_count],
        )

    def finalize(self) -> None:
        """Compute the totals after the last searcher was added."""
        if not any(self.sizes):
            self.sizes = (1,) * len(self.sizes)
        self.total = sum(self.sizes)
        self.held_shards = frozenset(
            shard for shards in self.holders.values() for shard in shards
        )

    def document_count(self, shards: Iterable[int]) -> int:
        """Return the number of documents in ``shards``."""
        sizes = self.sizes
        return sum([sizes[shard] for shard in shards])

    def document_share(self, shards: Collection[int]) -> float:
        """Return the share of documents in ``shards``, from 0 to 1."""
        if len(shards) == len(self.sizes) or not self.total:
            return 1.0
        return self.document_count(shards) / self.total

    def missing_shards(self, shards: Collection[int]) -> tuple[int, ...]:
        """Return the shards of the layout that are not among ``shards``."""
        return tuple(
            [shard for shard in range(len(self.sizes)) if shard not in shards],
        )


def build_layouts(entries: Iterable[Holder]) -> list[SnapshotLayout]:
    """Return the layouts of all held snapshots, newest first."""
    layouts: dict[SnapshotId, SnapshotLayout] = {}
    for entry in entries:
        for held in entry.snapshots:
            layout = layouts.get(held.snapshot)
            if layout is None:
                layout = SnapshotLayout(held.snapshot)
                layouts[held.snapshot] = layout
            layout.add_holder(entry.searcher, held)
    for layout in layouts.values():
        layout.finalize()
    return [
        layouts[snapshot]
        for snapshot in sorted(layouts, reverse=True)
        if layouts[snapshot].sizes
    ]
