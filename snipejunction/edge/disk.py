"""Data folder with the durable voter identity and replicated logs.

Each group has one file: a snapshot followed by the batches written since. A
newer snapshot starts a file of the next generation; the old file is removed
once the new one is synced.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgpack

from snipejunction.components.consensus.messages import (
    Configuration,
    LogPersisted,
    PersistLog,
    Snapshot,
    StoredLog,
)
from snipejunction.edge.disk_files import FileLayer
from snipejunction.edge.disk_frames import (
    pack_batch,
    pack_frame,
    replay_frame,
    split_frames,
)
from snipejunction.errors import StorageError
from snipejunction.helpers.wire import pack_fields, unpack_fields
from snipejunction.host_settings import VoterAddress

IDENTITY_NAME: Final = 'identity'
# Voters in the settings of the first start: the group may not exist yet when a
# host starts again.
VOTERS_NAME: Final = 'voters'
_LOG_SUFFIX: Final = '.log'
_NEW_SUFFIX: Final = '.new'


class DataFolder:
    """Stores the identity and the logs of a voter in one folder.

    After a failed write or sync it is unknown what is durable, so the
    process must stop.
    """

    __slots__ = ('_files', '_generations', '_voter_id')

    def __init__(self, files: FileLayer) -> None:
        """Create an unopened data folder; call ``open`` before use."""
        self._files = files
        self._voter_id = ''
        self._generations: dict[str, int] = {}

    @property
    def voter_id(self) -> str:
        """Return the voter id stored on this disk."""
        return self._voter_id

    def open(
        self,
        new_id: str,
        groups: Iterable[str],
        voters: Iterable[VoterAddress] = (),
    ) -> dict[str, StoredLog]:
        """Load the logs; an empty folder is initialized with ``new_id``.

        ``voters`` are those of the settings. They are stored unless there are
        none, or the folder is already initialized.

        Raises:
            StorageError: if a file is damaged or missing.
        """
        names = self._files.list_names()
        if IDENTITY_NAME not in names:
            self._store_voters(voters)
            self._initialize(groups, new_id)
        self._voter_id = self._read_identity()
        return {group: self.load_group(group) for group in groups}

    def read_voters(self) -> tuple[VoterAddress, ...]:
        """Return the stored voters of the first start, empty without any.

        Raises:
            StorageError: if the file is damaged.
        """
        if VOTERS_NAME not in self._files.list_names():
            return ()
        packed = msgpack.unpackb(self._read_frame(VOTERS_NAME))
        return tuple(unpack_fields(VoterAddress, fields) for fields in packed)

    def load_group(self, group: str) -> StoredLog:
        """Load the log of a group and truncate a torn tail.

        Raises:
            StorageError: if the file is damaged or missing.
        """
        generations = self._find_generations(group)
        if not generations:
            raise StorageError(f'{group}: the log is missing')
        newest = generations[-1]
        name = _log_name(group, newest)
        stored = self._replay_log(name)
        self._generations[group] = newest
        self._remove_older_generations(group, newest)
        return stored

    def execute(self, command: PersistLog) -> LogPersisted:
        """Append a batch to a log, or replace the log, and sync it.

        Raises:
            StorageError: if the disk failed.
        """
        frame = pack_batch(command)
        group = command.group
        if command.snapshot is None:
            name = _log_name(group, self._generations[group])
            self._files.append(name, frame)
            self._files.sync(name)
        else:
            self._write_generation(group, frame)
        return LogPersisted(group, command.token)

    def _write_generation(self, group: str, frame: bytes) -> None:
        generation = self._generations[group] + 1
        self._write_atomically(_log_name(group, generation), frame)
        self._generations[group] = generation
        self._remove_older_generations(group, generation)

    def _write_atomically(self, name: str, content: bytes) -> None:
        new_name = name + _NEW_SUFFIX
        if new_name in self._files.list_names():
            self._files.remove(new_name)
        self._files.append(new_name, content)
        self._files.sync(new_name)
        self._files.rename(new_name, name)
        self._files.sync_folder()

    def _remove_older_generations(self, group: str, newest: int) -> None:
        for generation in self._find_generations(group):
            if generation < newest:
                self._files.remove(_log_name(group, generation))

    def _find_generations(self, group: str) -> list[int]:
        prefix = f'{group}-'
        found: list[int] = []
        for name in self._files.list_names():
            number = name.removeprefix(prefix).removesuffix(_LOG_SUFFIX)
            if number.isdecimal() and name == _log_name(group, int(number)):
                found.append(int(number))
        return sorted(found)

    def _replay_log(self, name: str) -> StoredLog:
        content = self._files.read(name)
        stored: StoredLog | None = None
        end = 0
        for end, body in split_frames(name, content):
            stored = replay_frame(name, stored, body)
        if stored is None:
            raise StorageError(f'{name}: damaged at offset 0')
        if end < len(content):
            self._files.truncate(name, end)
            self._files.sync(name)
        return stored

    def _store_voters(self, voters: Iterable[VoterAddress]) -> None:
        packed = [pack_fields(voter) for voter in voters]
        if packed:
            frame = pack_frame(msgpack.packb(packed))
            self._write_atomically(VOTERS_NAME, frame)

    def _initialize(self, groups: Iterable[str], new_id: str) -> None:
        """Create the files of a new disk, the identity last.

        An interrupted first start leaves only empty logs. A log with entries
        and no identity file means that the identity was lost.
        """
        for group in groups:
            if self._find_generations(group):
                _check_log_empty(group, self.load_group(group))
            self._generations[group] = 0
            self._write_generation(group, _empty_frame(group))
        self._write_atomically(IDENTITY_NAME, pack_frame(new_id.encode()))

    def _read_identity(self) -> str:
        return self._read_frame(IDENTITY_NAME).decode()

    def _read_frame(self, name: str) -> bytes:
        """Return the body of a file of one frame."""
        content = self._files.read(name)
        bodies = [body for _, body in split_frames(name, content)]
        if len(bodies) != 1:
            raise StorageError(f'{name}: damaged at offset 0')
        return bodies[0]


def _log_name(group: str, generation: int) -> str:
    return f'{group}-{generation}{_LOG_SUFFIX}'


def _check_log_empty(group: str, stored: StoredLog) -> None:
    if stored.term or stored.entries or stored.snapshot.index:
        raise StorageError(f'{IDENTITY_NAME} is missing, {group} is not empty')


def _empty_frame(group: str) -> bytes:
    snapshot = Snapshot(0, 0, Configuration([]), b'')
    return pack_batch(PersistLog(group, 0, 0, '', 1, [], snapshot))
