"""Batched log writes and the commands that wait for their sync."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.components.consensus.entry_log import EntryLog
from snipejunction.components.consensus.messages import PersistLog, Snapshot


class LogWriter:
    """Batches log writes: one is in flight, later changes form the next.

    Commands that depend on durable state are deferred until the write that
    covers it is synced.
    """

    __slots__ = (
        '_deferred',
        '_dirty_from',
        '_is_vote_dirty',
        '_is_vote_in_flight',
        '_next_deferred',
        '_snapshot',
        '_stable_index',
        '_token',
        '_write_in_flight',
    )

    def __init__(self, stable_index: int) -> None:
        """Create a writer; entries up to ``stable_index`` are synced."""
        self._stable_index = stable_index
        self._token = 0
        self._write_in_flight: PersistLog | None = None
        self._dirty_from: int | None = None
        self._is_vote_dirty = False
        self._is_vote_in_flight = False
        self._snapshot: Snapshot | None = None
        self._deferred: list[Command] = []
        self._next_deferred: list[Command] = []

    @property
    def stable_index(self) -> int:
        """Return the last index up to which all entries are synced."""
        return self._stable_index

    @property
    def is_vote_stable(self) -> bool:
        """Return whether the current term and vote are synced."""
        return not (self._is_vote_dirty or self._is_vote_in_flight)

    @property
    def is_idle(self) -> bool:
        """Return whether everything is synced."""
        return self._write_in_flight is None and not self._is_dirty

    def mark_vote_dirty(self) -> None:
        """Mark the term and the vote as not synced."""
        self._is_vote_dirty = True

    def mark_entries_dirty(self, index: int) -> None:
        """Mark the entries from ``index`` on as not synced."""
        if self._dirty_from is None or index < self._dirty_from:
            self._dirty_from = index
        self._stable_index = min(self._stable_index, index - 1)

    def mark_snapshot(self, snapshot: Snapshot) -> None:
        """Mark a snapshot, which replaces the entries up to it, for writing."""
        self._snapshot = snapshot

    def defer(self, command: Command) -> list[Command]:
        """Return the command if all is synced, else defer it."""
        if self.is_idle:
            return [command]
        batch = self._next_deferred if self._is_dirty else self._deferred
        batch.append(command)
        return []

    def begin_write(
        self,
        group: str,
        term: int,
        voted_for: str,
        log: EntryLog,
    ) -> PersistLog | None:
        """Return the next write, None if nothing is due or one is running."""
        if self._write_in_flight is not None or not self._is_dirty:
            return None
        first = self._first_index(log)
        self._token += 1
        self._write_in_flight = PersistLog(
            group,
            self._token,
            term,
            voted_for,
            first,
            log.entries_from(first),
            self._snapshot,
        )
        self._is_vote_in_flight = self._is_vote_dirty
        self._dirty_from = None
        self._is_vote_dirty = False
        self._snapshot = None
        self._deferred = self._next_deferred
        self._next_deferred = []
        return self._write_in_flight

    def finish_write(self, token: int) -> list[Command]:
        """Record that a write is synced; return the commands deferred to it."""
        current = self._write_in_flight
        if current is None or current.token != token:
            return []
        self._write_in_flight = None
        self._is_vote_in_flight = False
        last_synced = current.first_index + len(current.entries) - 1
        if self._dirty_from is not None:
            last_synced = min(last_synced, self._dirty_from - 1)
        self._stable_index = max(self._stable_index, last_synced)
        released = self._deferred
        self._deferred = []
        return released

    @property
    def _is_dirty(self) -> bool:
        if self._is_vote_dirty or self._snapshot is not None:
            return True
        return self._dirty_from is not None

    def _first_index(self, log: EntryLog) -> int:
        if self._snapshot is not None:
            return self._snapshot.index + 1
        if self._dirty_from is None:
            return log.last_index + 1
        return self._dirty_from
