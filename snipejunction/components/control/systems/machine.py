"""The state machine of the settings group."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatchmethod

from snipejunction.commands import Command, LogEvent
from snipejunction.components.consensus.machine import register_machine
from snipejunction.components.control.const import (
    EVENT_LEADING,
    EVENT_LEADING_ENDED,
)
from snipejunction.components.control.replication.codec import (
    pack_snapshot,
    unpack_group_snapshot,
)
from snipejunction.components.control.replication.messages import (
    FeedEntry,
    SettingsEntry,
    ViewEntry,
)
from snipejunction.components.control.replication.state import ReplicatedState
from snipejunction.components.control.systems.applying import (
    apply_entries,
    apply_snapshot,
)
from snipejunction.components.control.systems.grants import answer_renewals
from snipejunction.components.control.systems.membership import (
    begin_leadership,
    sync_leases,
)
from snipejunction.components.control.systems.proposing import resolve_change
from snipejunction.const import GROUP_SETTINGS
from snipejunction.helpers.wire import decode
from snipejunction.node import Node


class SettingsMachine:
    """Applies committed entries to the group's state and to the host."""

    __slots__ = ('_state',)

    def __init__(self) -> None:
        """Create a machine in the empty state."""
        self._state = ReplicatedState()

    @property
    def state(self) -> ReplicatedState:
        """Return the state up to the last applied entry."""
        return self._state

    def apply(
        self,
        node: Node,
        index: int,
        term: int,
        payload: bytes,
        now: float,
    ) -> Iterator[Command]:
        """Apply a committed log entry."""
        previous = self._state.revision
        entry = decode(payload)
        yield from self._apply_entry(entry, node, index, now)
        if self._state.revision == previous:
            return
        leadership = node.control.leadership
        if leadership.is_leading:
            leadership.record_commit(index, now)
        feed_entry = FeedEntry(index, previous, payload)
        yield from apply_entries([feed_entry], node, now)

    def snapshot(self) -> bytes:
        """Return the packed state."""
        return pack_snapshot(self._state.snapshot())

    def restore(
        self,
        node: Node,
        state: bytes,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        """Replace the state; the host applies it only if it is newer."""
        self._state = ReplicatedState()
        if state:
            snapshot = unpack_group_snapshot(state)
            self._state.restore(snapshot)
            yield from apply_snapshot(snapshot.host, node.name, node)

    def on_confirmed(
        self,
        node: Node,
        token: int,
        now: float,
    ) -> Iterator[Command]:
        """Answer the renewals that waited for this confirmation."""
        yield from answer_renewals(token, node, now)

    def on_leadership(
        self,
        node: Node,
        is_leader: bool,
        now: float,
    ) -> Iterator[Command]:
        """Start to grant leases, or drop the state of the leader."""
        if is_leader:
            begin_leadership(node, now)
            yield LogEvent(EVENT_LEADING, revision=self._state.revision)
        elif node.control.leadership.is_leading:
            node.control.leadership.reset()
            yield LogEvent(EVENT_LEADING_ENDED)

    @singledispatchmethod
    def _apply_entry(
        self,
        entry: object,
        node: Node,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        raise TypeError(f'{type(entry).__name__} is not a settings log entry')

    @_apply_entry.register
    def _apply_settings(
        self,
        entry: SettingsEntry,
        node: Node,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        answer = self._state.apply_change(index, entry)
        yield from resolve_change(entry, answer, node, now)

    @_apply_entry.register
    def _apply_view(
        self,
        entry: ViewEntry,
        node: Node,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        self._state.apply_view(index, entry)
        sync_leases(index, node, now)
        return iter(())


register_machine(GROUP_SETTINGS, SettingsMachine)
