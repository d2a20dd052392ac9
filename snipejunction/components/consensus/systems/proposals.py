"""Proposals of entries and leadership confirmations by a quorum."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.consensus.const import (
    KIND_COMMAND,
    MAX_UNCOMMITTED_ENTRIES,
)
from snipejunction.components.consensus.messages import (
    FlushLog,
    LogEntry,
    LogPersisted,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.commitment import (
    advance_commit_index,
)
from snipejunction.components.consensus.systems.replication import (
    report_confirmations,
    send_heartbeats,
    send_new_entries,
)
from snipejunction.components.consensus.systems.writing import (
    append,
    start_write,
)
from snipejunction.handling import handle
from snipejunction.helpers.records import Record
from snipejunction.node import Node


class Proposal(Record):
    """Index and term of a proposed entry, which is not committed yet.

    It is committed once an entry of this term is applied at this index. If
    an entry of another term is applied there, the proposal was replaced.
    """

    __slots__ = ('index', 'term')

    def __init__(self, index: int, term: int) -> None:
        """Create a proposal."""
        self.index = index
        self.term = term


def propose(replica: Replica, payload: bytes) -> Proposal | None:
    """Append an entry as a ready leader; return None if it is rejected.

    The caller must deliver ``FlushLog`` afterwards.
    """
    leadership = replica.leadership
    if leadership is None or not leadership.is_ready:
        return None
    uncommitted = replica.log.last_index - replica.commit_index
    if leadership.transfer_target or uncommitted >= MAX_UNCOMMITTED_ENTRIES:
        return None
    entry = LogEntry(replica.term, KIND_COMMAND, payload)
    return Proposal(append(replica, entry), replica.term)


def confirm(replica: Replica, token: int) -> bool:
    """Request a leadership confirmation that starts after this call.

    The caller must deliver ``FlushLog`` afterwards; ``on_confirmed`` of the
    state machine follows unless leadership is lost. Return False if the
    replica is not a ready leader.
    """
    leadership = replica.leadership
    if leadership is None or not leadership.is_ready:
        return False
    leadership.queued_tokens.append(token)
    return True


@handle.register
def _handle_flush(
    message: FlushLog,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None:
        return
    leadership = replica.leadership
    if leadership is not None:
        if leadership.queued_tokens and not leadership.confirming_tokens:
            yield from send_heartbeats(replica, now)
            yield from report_confirmations(replica, node, now)
        else:
            yield from send_new_entries(replica, now)
    yield from start_write(replica)


@handle.register
def _handle_persisted(
    message: LogPersisted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None:
        return
    yield from replica.writer.finish_write(message.token)
    yield from advance_commit_index(replica, node, now)
    yield from start_write(replica)
