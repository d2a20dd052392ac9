"""In-memory files that lose unsynced writes, for tests and benchmarks."""

from __future__ import annotations

from random import Random
from typing import Final

from snipejunction.errors import StorageError

_ALL_BITS: Final = 0xFF


class SimulatedCrashError(Exception):
    """The process was killed at a sync point."""


class _MemoryFile:
    """Content as written, and as synced."""

    __slots__ = ('written', 'synced')

    def __init__(self) -> None:
        self.written = b''
        self.synced = b''


class MemoryFiles:
    """Files of one folder in memory.

    ``kill_at`` selects the sync, counted from one, that raises
    ``SimulatedCrashError`` instead of taking effect.
    """

    __slots__ = ('_crash_at', '_durable_files', '_files', '_sync_count')

    def __init__(self) -> None:
        """Create an empty folder."""
        self._files: dict[str, _MemoryFile] = {}
        self._durable_files: dict[str, _MemoryFile] = {}
        self._sync_count = 0
        self._crash_at = 0

    @property
    def sync_count(self) -> int:
        """Return the number of sync calls so far."""
        return self._sync_count

    def kill_at(self, sync_count: int) -> None:
        """Simulate a kill at the sync with this number, zero for never."""
        self._crash_at = sync_count

    def crash(self, random: Random) -> None:
        """Discard unsynced writes, except for a random part of each tail."""
        # A file system may persist names and content before a sync.
        if random.choice((False, True)):
            self._durable_files = dict(self._files)
        self._files = dict(self._durable_files)
        for memory_file in self._files.values():
            memory_file.written = _simulate_torn_write(memory_file, random)
            memory_file.synced = memory_file.written
        self._crash_at = 0

    def wipe(self) -> None:
        """Delete all files, synced ones included."""
        self._files = {}
        self._durable_files = {}

    def corrupt_byte(self, name: str, offset: int) -> None:
        """Flip the bits of one byte."""
        memory_file = self._file(name)
        damaged = bytearray(memory_file.written)
        damaged[offset] ^= _ALL_BITS
        memory_file.written = bytes(damaged)
        memory_file.synced = memory_file.written

    def list_names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return self._file(name).written

    def append(self, name: str, chunk: bytes) -> None:
        """Append to a file, creating it if it is missing."""
        memory_file = self._files.setdefault(name, _MemoryFile())
        memory_file.written += chunk

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        memory_file = self._file(name)
        memory_file.written = memory_file.written[:size]

    def sync(self, name: str) -> None:
        """Make the written content of a file survive a crash."""
        self._count_sync()
        memory_file = self._file(name)
        memory_file.synced = memory_file.written

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing a file with the new name."""
        self._files[new_name] = self._file(name)
        self._files.pop(name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._file(name)
        self._files.pop(name)

    def sync_folder(self) -> None:
        """Make renames and removals survive a crash."""
        self._count_sync()
        self._durable_files = dict(self._files)

    def _count_sync(self) -> None:
        self._sync_count += 1
        if self._sync_count == self._crash_at:
            raise SimulatedCrashError(f'killed at sync {self._sync_count}')

    def _file(self, name: str) -> _MemoryFile:
        memory_file = self._files.get(name)
        if memory_file is None:
            raise StorageError(f'cannot open {name}: no such file')
        return memory_file


def _simulate_torn_write(memory_file: _MemoryFile, random: Random) -> bytes:
    synced_size = len(memory_file.synced)
    if not memory_file.written.startswith(memory_file.synced):
        return memory_file.synced
    return memory_file.written[
        : random.randint(synced_size, len(memory_file.written))
    ]
