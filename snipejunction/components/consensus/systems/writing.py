"""Changes to the log and commands deferred until they are synced."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.consensus.configuration import (
    unpack_configuration,
)
from snipejunction.components.consensus.const import KIND_CONFIGURATION
from snipejunction.components.consensus.messages import LogEntry
from snipejunction.components.consensus.replica import Replica


def append(replica: Replica, entry: LogEntry) -> int:
    """Append an entry, not synced yet, and return its index."""
    index = replica.log.append(entry)
    replica.writer.mark_entries_dirty(index)
    if entry.kind == KIND_CONFIGURATION:
        configuration = unpack_configuration(entry.payload)
        replica.membership.append(index, configuration)
    return index


def truncate_from(replica: Replica, index: int) -> None:
    """Remove the uncommitted entries from ``index`` to the end."""
    if index <= replica.commit_index:
        raise AssertionError(
            f'cannot truncate {replica.group} log at {index}: '
            f'entries up to {replica.commit_index} are committed'
        )
    replica.log.truncate_from(index)
    replica.membership.truncate_from(index)
    replica.writer.mark_entries_dirty(index)


def run_after_sync(replica: Replica, command: Command) -> Iterator[Command]:
    """Run a command once all current changes are synced."""
    yield from replica.writer.defer(command)


def start_write(replica: Replica) -> Iterator[Command]:
    """Start a write of all changes unless one is running."""
    command = replica.writer.begin_write(
        replica.group,
        replica.term,
        replica.voted_for,
        replica.log,
    )
    if command is not None:
        yield command
