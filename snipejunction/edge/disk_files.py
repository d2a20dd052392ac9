"""File operations of the data folder and their OS implementation."""

from __future__ import annotations

import errno
import os
from contextlib import ExitStack
from pathlib import Path
from typing import Final, Protocol

from snipejunction.errors import DiskFullError, StorageError

_FOLDER_MODE: Final = 0o700
_FILE_MODE: Final = 0o600
# Errors of a write for which there is no room, for now.
_NO_ROOM: Final = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class FileLayer(Protocol):
    """Operations on files of one folder, durable only after a sync.

    All operations raise ``StorageError`` on failure.
    """

    def list_names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def append(self, name: str, chunk: bytes) -> None:
        """Append to a file, creating it if it is missing."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Flush the content of a file to disk."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing a file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Flush the folder, which makes renames and removals durable."""


class RealFiles:
    """Files on disk, kept open between writes."""

    __slots__ = ('_descriptors', '_folder')

    def __init__(self, folder: str) -> None:
        """Open ``folder``, creating it if it is missing."""
        self._folder = Path(folder)
        self._descriptors: dict[str, int] = {}
        if not self._folder.is_dir():
            self._create()

    def list_names(self) -> list[str]:
        """Return the names of all files."""
        try:
            return sorted(os.listdir(self._folder))
        except OSError as error:
            raise self._storage_error('list', '', error) from error

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise self._storage_error('read', name, error) from error

    def append(self, name: str, chunk: bytes) -> None:
        """Append to a file, creating it if it is missing."""
        rest = memoryview(chunk)
        try:
            descriptor = self._open_descriptor(name)
            size = os.fstat(descriptor).st_size
        except OSError as error:
            raise self._write_error('create', name, error) from error
        try:
            while rest:
                written = os.write(descriptor, rest)
                rest = rest[written:]
        except OSError as error:
            failure = self._write_error('write', name, error)
            if isinstance(failure, DiskFullError):
                self.truncate(name, size)
            raise failure from error

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        try:
            os.ftruncate(self._open_descriptor(name), size)
        except OSError as error:
            raise self._storage_error('truncate', name, error) from error

    def sync(self, name: str) -> None:
        """Flush the content of a file to disk."""
        try:
            os.fsync(self._open_descriptor(name))
        except OSError as error:
            raise self._storage_error('sync', name, error) from error

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing a file with the new name."""
        try:
            os.replace(self._folder / name, self._folder / new_name)
        except OSError as error:
            raise self._write_error('rename', name, error) from error
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            self._descriptors[new_name] = descriptor

    def remove(self, name: str) -> None:
        """Remove a file."""
        descriptor = self._descriptors.pop(name, None)
        try:
            if descriptor is not None:
                os.close(descriptor)
            (self._folder / name).unlink()
        except OSError as error:
            raise self._storage_error('remove', name, error) from error

    def sync_folder(self) -> None:
        """Flush the folder, which makes renames and removals durable."""
        try:
            _sync_path(self._folder)
        except OSError as error:
            raise self._storage_error('sync', '', error) from error

    def close(self) -> None:
        """Close all files."""
        while self._descriptors:
            _, descriptor = self._descriptors.popitem()
            os.close(descriptor)

    def _create(self) -> None:
        missing = [self._folder]
        while not missing[-1].parent.is_dir():
            missing.append(missing[-1].parent)
        try:
            for folder in reversed(missing):
                folder.mkdir(mode=_FOLDER_MODE)
                _sync_path(folder.parent)
        except OSError as error:
            raise self._storage_error('create', '', error) from error

    def _open_descriptor(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptor = os.open(self._folder / name, flags, _FILE_MODE)
            self._descriptors[name] = descriptor
        return descriptor

    def _write_error(
        self, operation: str, name: str, error: OSError
    ) -> StorageError:
        """Return the error of an operation that needs room on the disk."""
        failure = self._storage_error(operation, name, error)
        if error.errno in _NO_ROOM:
            return DiskFullError(str(failure))
        return failure

    def _storage_error(
        self,
        operation: str,
        name: str,
        error: OSError,
    ) -> StorageError:
        path = self._folder / name
        return StorageError(f'cannot {operation} {path}: {error.strerror}')


def _sync_path(path: Path) -> None:
    with ExitStack() as stack:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        stack.callback(os.close, descriptor)
        os.fsync(descriptor)
