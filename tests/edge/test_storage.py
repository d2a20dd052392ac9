"""Tests of writes in the background."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from threading import Event
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from snipejunction.components.consensus.messages import (
    Configuration,
    PersistLog,
    Snapshot,
)
from snipejunction.edge.storage import Storage
from tests.edge.test_disk_full import GROUPS, WRITE, Hooks

REPLACE = PersistLog(
    'one', 2, 3, 'id', 2, [], Snapshot(1, 3, Configuration([]), b'state')
)


class ReplacedFileTest(TestCase):
    """Removal of the file of a log that a snapshot replaced."""

    def setUp(self) -> None:
        """Create a folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, 'data')

    def test_no_write_waits_for_it(self) -> None:
        """Writes are acknowledged while the removal takes long.

        Control hosts replace their logs at the same entry; nothing was
        committed until a majority of them had also removed the old file.
        """
        hooks = asyncio.run(self.async_write_during_removal())
        tokens = [message.token for message in hooks.messages]
        self.assertThat(tokens, Equals([WRITE.token, REPLACE.token, 3]))
        self.assertThat(hooks.failures, HasLength(0))
        names = [name for name in os.listdir(self.path) if 'one' in name]
        self.assertThat(names, Equals(['one-2.log']))

    async def async_write_during_removal(self) -> Hooks:
        hooks = Hooks()
        loop = asyncio.get_running_loop()
        storage = Storage(self.path, hooks, loop, GROUPS)
        storage._folder.open('id', GROUPS)
        may_remove = Event()
        remove_late = partial(_remove_late, may_remove, Path.unlink)
        later = PersistLog('one', 3, 3, 'id', 2, WRITE.entries, None)
        with mock.patch.object(Path, 'unlink', autospec=True) as unlink:
            unlink.side_effect = remove_late
            for command in (WRITE, REPLACE, later):
                storage.persist(command)
            async with asyncio.timeout(2):
                while len(hooks.messages) < 3:
                    await asyncio.sleep(0)
            may_remove.set()
            await storage.async_close()
        return hooks


def _remove_late(
    may_remove: Event, unlink: Callable[[Path], None], path: Path
) -> None:
    may_remove.wait(5)
    unlink(path)
