"""Writes the replicated log without holding up the loop."""

from __future__ import annotations

import asyncio
import fcntl
import os
import secrets
from concurrent.futures import ThreadPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final, Protocol

from snipejunction.components.consensus.const import VOTER_ID_BITS
from snipejunction.components.consensus.messages import LogPersisted, PersistLog
from snipejunction.const import GROUP_JOURNAL, GROUP_SETTINGS
from snipejunction.edge.disk import DataFolder
from snipejunction.edge.disk_files import RealFiles
from snipejunction.errors import DiskFullError, StorageError
from snipejunction.messages import Message
from snipejunction.node import Node

_GROUPS: Final = (GROUP_SETTINGS, GROUP_JOURNAL)
_LOCK_SUFFIX: Final = '.lock'
_BITS_PER_BYTE: Final = 8
_LOCK_MODE: Final = 0o600
# Time between two tries of a write that found the disk full, in seconds.
_FULL_RETRY_SECONDS: Final = 0.25


class StorageHooks(Protocol):
    """What the storage needs of the host that it belongs to."""

    def submit(self, message: Message) -> None:
        """Handle a message."""

    def storage_failed(self, error: StorageError) -> None:
        """Stop the host at once."""

    def disk_full(self, error: StorageError) -> None:
        """Note that a write waits for room on the disk."""


class Storage:
    """The data folder of one host, written by one thread in order."""

    def __init__(
        self,
        folder: str,
        hooks: StorageHooks,
        loop: asyncio.AbstractEventLoop,
        groups: tuple[str, ...] = _GROUPS,
    ) -> None:
        """Open the folder and make sure that no other process uses it.

        Raises:
            StorageError: if the folder cannot be used.
        """
        self._hooks = hooks
        self._loop = loop
        self._groups = groups
        self._writes: set[asyncio.Task[None]] = set()
        self._files = RealFiles(folder)
        self._lock = _lock(Path(folder + _LOCK_SUFFIX))
        self._folder = DataFolder(self._files)
        self._writer = ThreadPoolExecutor(1, 'disk')

    def load(self, node: Node) -> None:
        """Give a host that starts what its disk holds.

        Raises:
            StorageError: if a file is damaged.
        """
        new_id = secrets.token_hex(VOTER_ID_BITS // _BITS_PER_BYTE)
        stored = self._folder.open(new_id, self._groups)
        node.consensus.load(self._folder.voter_id, stored)

    def persist(self, command: PersistLog) -> None:
        """Begin to write and sync a part of a log."""
        task = self._loop.create_task(self._async_persist(command))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def async_close(self) -> None:
        """Finish the writes that were begun and close the files."""
        async with AsyncExitStack() as stack:
            stack.callback(os.close, self._lock)
            stack.callback(self._files.close)
            stack.callback(self._writer.shutdown)
            await asyncio.gather(*self._writes, return_exceptions=True)

    async def _async_execute(self, command: PersistLog) -> LogPersisted:
        """Write and sync; a full disk is waited for."""
        while True:
            try:
                return await self._loop.run_in_executor(
                    self._writer,
                    self._folder.execute,
                    command,
                )
            except DiskFullError as error:
                self._hooks.disk_full(error)
            await asyncio.sleep(_FULL_RETRY_SECONDS)

    async def _async_persist(self, command: PersistLog) -> None:
        try:
            persisted = await self._async_execute(command)
        except StorageError as error:
            self._hooks.storage_failed(error)
        except OSError as error:
            self._hooks.storage_failed(StorageError(str(error)))
        else:
            self._hooks.submit(persisted)


def _lock(path: Path) -> int:
    """Return the descriptor of a lock file that no other process holds."""
    try:
        descriptor = os.open(
            path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _LOCK_MODE
        )
    except OSError as error:
        raise StorageError(f'cannot open {path}: {error}') from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise StorageError(f'{path} is locked by another process') from error
    return descriptor
