"""Tests of writes to a full disk."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import tempfile
from contextlib import AsyncExitStack
from itertools import chain, repeat
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from snipejunction.commands import LogEvent
from snipejunction.components.consensus.messages import (
    LogEntry,
    LogPersisted,
    PersistLog,
)
from snipejunction.components.deployment import systems
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.core import Core
from snipejunction.edge.disk import DataFolder
from snipejunction.edge.disk_files import RealFiles
from snipejunction.edge.storage import Storage
from snipejunction.errors import DiskFullError, StorageError
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.messages import Message
from snipejunction.node import Node

# Their import registers the state machine of the group.
SYSTEMS = (systems,)
GROUPS = ('one',)
WRITE = PersistLog('one', 1, 3, 'id', 1, [LogEntry(3, 1, b'kept')], None)


class HalfWrite:
    """Replaces ``os.write``: writes half a chunk, then fails."""

    def __init__(self, number: int = errno.ENOSPC) -> None:
        self.number = number
        self.calls = 0
        self.write = os.write

    def __call__(self, descriptor: int, chunk: bytes) -> int:
        """Write half of the first chunk; raise ``OSError`` afterwards."""
        self.calls += 1
        if self.calls == 1:
            return self.write(descriptor, chunk[: len(chunk) // 2])
        raise OSError(self.number, os.strerror(self.number))


def make_full_error() -> OSError:
    """Return the error of a file that a full disk refuses."""
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def make_node() -> Node:
    """Return the tables of a host."""
    identity = HostIdentity('one', '127.0.0.1', 7740, 0, 'one', 'one', 'first')
    return Core(HostSettings(identity, ()), 1).node


class Hooks:
    """Records the callbacks of a storage."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.full: list[StorageError] = []
        self.failures: list[StorageError] = []
        self.done = asyncio.Event()

    def log(self, event: LogEvent) -> None:
        """Ignore an event."""

    def submit(self, message: Message) -> None:
        """Record the message of a finished write."""
        self.messages.append(message)
        self.done.set()

    def report_disk_full(self, error: StorageError) -> None:
        """Record a delayed write."""
        self.full.append(error)

    def handle_storage_failure(self, error: StorageError) -> None:
        """Record a failed write."""
        self.failures.append(error)
        self.done.set()


class DiskFullTest(TestCase):
    """Writes while the disk is full."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, 'data')

    def test_nothing_of_the_write_is_left(self) -> None:
        """A write that failed on a full disk is rolled back and repeatable.

        Without the rollback, half of the first write stays in the file.
        """
        files = RealFiles(self.path)
        folder = DataFolder(files)
        folder.open('id', GROUPS)
        with mock.patch('os.write', HalfWrite()):
            self.assertRaises(DiskFullError, folder.execute, WRITE)
        folder.execute(WRITE)
        files.close()
        stored = DataFolder(RealFiles(self.path)).open('id', GROUPS)['one']
        self.assertThat(stored.entries, Equals(WRITE.entries))

    def test_quota_and_file_size_are_no_room(self) -> None:
        """A quota or a limit of the file size is waited for like a full disk.

        The process ended at its first write beyond them.
        """
        for number in (errno.EDQUOT, errno.EFBIG):
            folder = DataFolder(RealFiles(self.path))
            folder.open('id', GROUPS)
            with mock.patch('os.write', HalfWrite(number)):
                self.assertRaises(DiskFullError, folder.execute, WRITE)

    def test_no_room_for_a_new_file(self) -> None:
        """A file that cannot be created is reported as a full disk.

        The write was never finished nor reported, so its log stood still.
        """
        files = RealFiles(self.path)
        DataFolder(files).open('id', GROUPS)
        with mock.patch('os.open', side_effect=make_full_error()):
            self.assertRaises(DiskFullError, files.append, 'new', b'chunk')
        files.append('new', b'chunk')
        self.assertThat(files.read('new'), Equals(b'chunk'))

    def test_failed_sync_stops(self) -> None:
        """A failed sync is never retried: what is durable is unknown."""
        folder = DataFolder(RealFiles(self.path))
        folder.open('id', GROUPS)
        with mock.patch('os.fsync', side_effect=make_full_error()):
            error = self.assertRaises(StorageError, folder.execute, WRITE)
        self.assertThat(isinstance(error, DiskFullError), Equals(False))

    def test_start_waits_for_room(self) -> None:
        """A host that starts while its disk is full waits for room.

        Its process ended, and each restart ended in the same way.
        """
        hooks, voter_id = asyncio.run(self.async_start())
        self.assertThat(hooks.full, HasLength(1))
        folder = DataFolder(RealFiles(self.path))
        folder.open('other', (GROUP_DEPLOYMENT,))
        self.assertThat(folder.voter_id, Equals(voter_id))

    async def async_start(self) -> tuple[Hooks, str]:
        hooks = Hooks()
        loop = asyncio.get_running_loop()
        storage = Storage(self.path, hooks, loop, (GROUP_DEPLOYMENT,))
        node = make_node()
        effects = chain([make_full_error()], repeat(mock.DEFAULT))
        with mock.patch('os.write', side_effect=effects, wraps=os.write):
            await storage.async_load(node)
        await storage.async_close()
        return hooks, node.consensus.voter_id

    def test_close_does_not_wait_for_room(self) -> None:
        """A storage with a delayed write closes while the disk is full.

        A process that was asked to stop hung until it was killed.
        """
        hooks = asyncio.run(asyncio.wait_for(self.async_close_full(), 5))
        self.assertThat(hooks.failures, HasLength(0))
        self.assertThat(hooks.messages, HasLength(0))

    async def async_close_full(self) -> Hooks:
        hooks = Hooks()
        loop = asyncio.get_running_loop()
        storage = Storage(self.path, hooks, loop, GROUPS)
        storage._folder.open('id', GROUPS)
        full = DiskFullError('no room')
        with mock.patch.object(DataFolder, 'execute', side_effect=full):
            storage.persist(WRITE)
            while not hooks.full:
                await asyncio.sleep(0)
            await storage.async_close()
        return hooks

    def test_folder_of_an_earlier_release_is_in_use(self) -> None:
        """A folder that a process of an earlier release holds is not loaded.

        The new process would not know of the later votes and entries of it.
        """
        error = self.assertRaises(
            StorageError, asyncio.run, self.async_load_beside_old()
        )
        self.assertThat(str(error), Contains('locked'))

    async def async_load_beside_old(self) -> None:
        loop = asyncio.get_running_loop()
        storage = Storage(self.path, Hooks(), loop, (GROUP_DEPLOYMENT,))
        async with AsyncExitStack() as stack:
            old_lock = os.open(f'{self.path}.lock', os.O_RDWR | os.O_CREAT)
            stack.callback(os.close, old_lock)
            fcntl.flock(old_lock, fcntl.LOCK_EX)
            stack.push_async_callback(storage.async_close)
            await storage.async_load(make_node(), 0)

    def test_other_errors_stop(self) -> None:
        """Any other write error is not treated as a full disk."""
        folder = DataFolder(RealFiles(self.path))
        folder.open('id', GROUPS)
        with mock.patch('os.write', HalfWrite(errno.EIO)):
            error = self.assertRaises(StorageError, folder.execute, WRITE)
        self.assertThat(isinstance(error, DiskFullError), Equals(False))

    def test_host_waits_for_room(self) -> None:
        """A delayed write is retried until the disk has space again."""
        hooks = asyncio.run(self.async_write())
        self.assertThat(hooks.full, HasLength(1))
        self.assertThat(hooks.failures, HasLength(0))
        self.assertThat(hooks.messages, Equals([LogPersisted('one', 1)]))

    async def async_write(self) -> Hooks:
        hooks = Hooks()
        loop = asyncio.get_running_loop()
        storage = Storage(self.path, hooks, loop, GROUPS)
        storage._folder.open('id', GROUPS)
        full = [DiskFullError('no room'), LogPersisted('one', 1)]
        with mock.patch.object(DataFolder, 'execute', side_effect=full):
            storage.persist(WRITE)
            await hooks.done.wait()
        await storage.async_close()
        return hooks
