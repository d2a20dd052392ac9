"""Application of committed orders, decisions and first versions."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.rollouts.const import (
    COMPLETED,
    EVENT_ROLLOUT_CONFLICT,
    EVENT_ROLLOUT_STARTED,
    EVENT_VERSIONS_PINNED,
    STATE_EVENTS,
)
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutStartEntry,
    RolloutStateEntry,
    VersionPinEntry,
)
from snipejunction.node import Node


def apply_start(
    entry: RolloutStartEntry, node: Node, now: float
) -> Iterator[Command]:
    """Apply an order; repeated ones and conflicts change nothing."""
    state = node.deployment.state
    conflict = state.rollouts.find_conflict(entry)
    if conflict:
        yield LogEvent(
            EVENT_ROLLOUT_CONFLICT,
            service=entry.service,
            target=entry.target,
            reason=conflict,
        )
        return
    record = state.rollouts.start(entry, state.index)
    if record is None:
        return
    state.update_index = state.index
    node.rollouts.note_record(record, state.index, now)
    if record.state == COMPLETED:
        yield _state_event(record)
        return
    yield LogEvent(
        EVENT_ROLLOUT_STARTED,
        number=record.number,
        service=record.service,
        target=record.target,
        duration=record.duration,
    )


def apply_state(
    entry: RolloutStateEntry, node: Node, now: float
) -> Iterator[Command]:
    """Apply a decision unless the roll-out has passed that state."""
    state = node.deployment.state
    record = state.rollouts.move(entry)
    if record is None:
        return
    state.update_index = state.index
    node.rollouts.note_record(record, state.index, now)
    yield _state_event(record)


def apply_pins(
    entry: VersionPinEntry, node: Node, now: float
) -> Iterator[Command]:
    """Apply first versions of services."""
    state = node.deployment.state
    pinned = state.rollouts.pin(entry.versions)
    if pinned:
        state.update_index = state.index
        yield LogEvent(
            EVENT_VERSIONS_PINNED, index=state.index, versions=pinned
        )


def note_records(node: Node, now: float) -> None:
    """Note the states of all roll-outs, as restored from a snapshot."""
    state = node.deployment.state
    for record in state.rollouts.records.values():
        node.rollouts.note_record(record, state.update_index, now)


def _state_event(record: RolloutRecord) -> LogEvent:
    return LogEvent(
        STATE_EVENTS[record.state],
        number=record.number,
        service=record.service,
        target=record.target,
        reason=record.reason,
    )
