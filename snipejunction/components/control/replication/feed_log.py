"""Recently applied log entries that this host feeds to other hosts."""

from __future__ import annotations

from collections import deque

from snipejunction.components.control.const import (
    FEED_BATCH_BYTES,
    FEED_BATCH_ENTRIES,
    FEED_LOG_BYTES,
    FEED_LOG_ENTRIES,
)
from snipejunction.components.control.replication.messages import FeedEntry


class FeedLog:
    """A bounded tail of the entries that this host applied, in order."""

    __slots__ = ('_bytes', '_entries', '_start_revision')

    def __init__(self) -> None:
        """Create an empty log that begins at revision zero."""
        self._entries: deque[FeedEntry] = deque()
        self._bytes = 0
        self._start_revision = 0

    @property
    def start_revision(self) -> int:
        """Return the lowest revision that a follower can continue from.

        Followers at a lower revision need a snapshot.
        """
        return self._start_revision

    def append(self, entry: FeedEntry) -> None:
        """Append an applied entry; drop the oldest beyond the limits."""
        self._entries.append(entry)
        self._bytes += len(entry.payload)
        while self._is_full():
            dropped = self._entries.popleft()
            self._bytes -= len(dropped.payload)
            self._start_revision = dropped.revision

    def restart(self, revision: int) -> None:
        """Clear the log after a snapshot of ``revision`` was applied."""
        self._entries.clear()
        self._bytes = 0
        self._start_revision = revision

    def entries_after(self, revision: int) -> list[FeedEntry] | None:
        """Return the entries after ``revision`` that fit into one frame.

        Returns None if the log no longer reaches back to ``revision``.
        """
        if revision < self._start_revision:
            return None
        newer: list[FeedEntry] = []
        for entry in reversed(self._entries):
            if entry.revision <= revision:
                break
            newer.append(entry)
        newer.reverse()
        return _limit_batch(newer)

    def _is_full(self) -> bool:
        if len(self._entries) > FEED_LOG_ENTRIES:
            return True
        return self._bytes > FEED_LOG_BYTES and len(self._entries) > 1


def _limit_batch(entries: list[FeedEntry]) -> list[FeedEntry]:
    batch: list[FeedEntry] = []
    size = 0
    for entry in entries[:FEED_BATCH_ENTRIES]:
        size += len(entry.payload)
        if batch and size > FEED_BATCH_BYTES:
            break
        batch.append(entry)
    return batch
