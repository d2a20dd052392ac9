"""Writes the replicated logs without blocking the event loop."""

from __future__ import annotations

import asyncio
import fcntl
import os
import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import AsyncExitStack, ExitStack, suppress
from functools import partial
from typing import Final, Protocol, TypeVar

from snipejunction.commands import LogEvent
from snipejunction.components.consensus.const import VOTER_ID_BITS
from snipejunction.components.consensus.messages import PersistLog
from snipejunction.const import GROUP_JOURNAL, GROUP_SETTINGS
from snipejunction.edge.disk import DataFolder
from snipejunction.edge.disk_files import RealFiles
from snipejunction.edge.start_retries import (
    MAX_START_SECONDS,
    async_retry_start,
)
from snipejunction.errors import DiskFullError, StorageError
from snipejunction.messages import Message
from snipejunction.node import Node

_GROUPS: Final = (GROUP_SETTINGS, GROUP_JOURNAL)
_OLD_LOCK_SUFFIX: Final = '.lock'
_BITS_PER_BYTE: Final = 8
# Retry interval of a write while the disk is full.
_FULL_RETRY_SECONDS: Final = 0.25

_Written = TypeVar('_Written')


class StorageHooks(Protocol):
    """Callbacks of the storage into its host."""

    def submit(self, message: Message) -> None:
        """Handle a message."""

    def handle_storage_failure(self, error: StorageError) -> None:
        """Stop the host because a write failed."""

    def log(self, event: LogEvent) -> None:
        """Write an event."""

    def report_disk_full(self, error: StorageError) -> None:
        """Report a write that is delayed because the disk is full."""


class Storage:
    """Data folder of one host, written in order by a single thread."""

    def __init__(
        self,
        folder: str,
        hooks: StorageHooks,
        loop: asyncio.AbstractEventLoop,
        groups: tuple[str, ...] = _GROUPS,
    ) -> None:
        """Open the folder; call ``async_load`` before use.

        Raises:
            StorageError: if the folder cannot be opened.
        """
        self._path = folder
        self._locks = ExitStack()
        self._is_closing = False
        self._hooks = hooks
        self._loop = loop
        self._groups = groups
        self._writes: set[asyncio.Task[None]] = set()
        self._files = RealFiles(folder)
        self._folder = DataFolder(self._files)
        self._writer = ThreadPoolExecutor(1, 'disk')

    async def async_load(
        self,
        node: Node,
        max_lock_seconds: float = MAX_START_SECONDS,
    ) -> None:
        """Lock the folder and load it into the tables of a host.

        While another process holds the lock, the load waits. A host whose
        settings list no voters uses those of its first start.

        Raises:
            StorageError: if a file is damaged, or the lock is not released
                within ``max_lock_seconds``.
        """
        try:
            await async_retry_start(
                self._async_lock, self._hooks.log, max_lock_seconds
            )
        except OSError as error:
            raise StorageError(str(error)) from error
        new_id = secrets.token_hex(VOTER_ID_BITS // _BITS_PER_BYTE)
        host_settings = node.host_settings
        open_folder = partial(
            self._folder.open, new_id, self._groups, host_settings.voters
        )
        stored = await self._async_run(open_folder)
        if not host_settings.voters:
            host_settings.voters = self._folder.read_voters()
        node.consensus.load(self._folder.voter_id, stored)

    def persist(self, command: PersistLog) -> None:
        """Start to write and sync a batch of a log in the background."""
        task = self._loop.create_task(self._async_persist(command))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def async_close(self) -> None:
        """Wait for the writes in progress and close the files.

        Writes that wait for room on the disk are dropped; they were not
        acknowledged.
        """
        self._is_closing = True
        async with AsyncExitStack() as stack:
            stack.callback(self._locks.close)
            stack.callback(self._files.close)
            stack.callback(self._writer.shutdown)
            await asyncio.gather(*self._writes, return_exceptions=True)

    async def _async_lock(self) -> None:
        with ExitStack() as stack:
            stack.callback(os.close, _lock(self._path, os.O_DIRECTORY))
            # Processes of earlier releases lock a file beside the folder.
            with suppress(FileNotFoundError):
                stack.callback(os.close, _lock(self._path + _OLD_LOCK_SUFFIX))
            self._locks = stack.pop_all()

    async def _async_run(self, write: Callable[[], _Written]) -> _Written:
        """Run a write in the thread, again while the disk is full."""
        while True:
            try:
                return await self._loop.run_in_executor(self._writer, write)
            except DiskFullError as error:
                self._hooks.report_disk_full(error)
                if self._is_closing:
                    raise
            await asyncio.sleep(_FULL_RETRY_SECONDS)

    async def _async_persist(self, command: PersistLog) -> None:
        try:
            persisted = await self._async_run(
                partial(self._folder.execute, command)
            )
        except DiskFullError:
            # Only raised while the files are being closed.
            return
        except StorageError as error:
            self._hooks.handle_storage_failure(error)
        except OSError as error:
            self._hooks.handle_storage_failure(StorageError(str(error)))
        else:
            self._hooks.submit(persisted)


def _lock(path: str, flags: int = 0) -> int:
    """Lock a folder or file exclusively and return its descriptor.

    The lock is on the folder itself: a file beside it needs a second place
    that may be written, and a file in it needs room on the disk.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | flags)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        problem = 'locked by another process'
        raise BlockingIOError(error.errno, problem, path) from error
    except OSError:
        os.close(descriptor)
        raise
    return descriptor
