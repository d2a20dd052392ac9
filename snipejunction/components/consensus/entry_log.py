"""In-memory part of the log of one replica."""

from __future__ import annotations

from snipejunction.components.consensus.messages import LogEntry


class EntryLog:
    """Log entries after a base, of which only index and term are kept."""

    __slots__ = ('_base_index', '_base_term', '_entries')

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: list[LogEntry],
    ) -> None:
        """Create a log whose first entry follows ``base_index``."""
        self._base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)

    @property
    def base_index(self) -> int:
        """Return the index of the entry before the first one."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if not self._entries:
            return self._base_term
        return self._entries[-1].term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index above the base."""
        return self._entries[index - self._base_index - 1]

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return the entries from ``index`` to the end."""
        return self._entries[index - self._base_index - 1 :]

    def batch(
        self,
        index: int,
        max_entries: int,
        max_bytes: int,
    ) -> list[LogEntry]:
        """Return entries from ``index`` on within the limits.

        The first entry is returned even if it exceeds ``max_bytes``.
        """
        start = index - self._base_index - 1
        batch: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entry: LogEntry) -> int:
        """Append an entry and return its index."""
        self._entries.append(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` to the end."""
        self._entries = self._entries[: index - self._base_index - 1]

    def compact(self, index: int) -> None:
        """Make ``index`` the base and remove the entries up to it."""
        if index <= self._base_index:
            return
        self._base_term = self.entry(index).term
        self._entries = self.entries_from(index + 1)
        self._base_index = index

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and make ``index`` the base."""
        self._base_index = index
        self._base_term = term
        self._entries.clear()
