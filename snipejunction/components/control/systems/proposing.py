"""The leader's side of settings changes."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from types import MappingProxyType
from typing import Final

from snipejunction.commands import Command, Deliver, LogEvent, SendPeer
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.systems.proposals import propose
from snipejunction.components.control.const import (
    EVENT_CHANGE_APPLIED,
    EVENT_CHANGE_REFUSED,
    MAX_CHANGES_IN_FLIGHT,
)
from snipejunction.components.control.leadership_table import PendingChange
from snipejunction.components.control.messages import (
    ChangeOutcome,
    NotLeader,
    ProposeChange,
)
from snipejunction.components.control.replication.codec import (
    change_digest,
    unpack_documents,
)
from snipejunction.components.control.replication.messages import (
    ChangeRecord,
    SettingsEntry,
)
from snipejunction.components.control.systems.group import (
    group_state,
    leader_hint,
    settings_replica,
)
from snipejunction.components.control.systems.in_force import (
    answer_when_in_force,
)
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_CONFLICT,
    CODE_FORBIDDEN,
    CODE_ID_EXPIRED,
    CODE_ID_REUSED,
    CODE_OVERLOAD,
    GROUP_SETTINGS,
)
from snipejunction.errors import SettingsError
from snipejunction.handling import handle
from snipejunction.helpers.wire import encode
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.node import Node
from snipejunction.schema.shared import check_change
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal

# Answers that no later log entry can change, because revisions and the
# horizon of ids only grow. Any other refusal must come from the log, because
# this leader may have been replaced and its state may be behind.
_FINAL_CODES: Final = frozenset(
    ('', CODE_CONFLICT, CODE_ID_REUSED, CODE_ID_EXPIRED),
)
_DETAILS: Final = MappingProxyType(
    {
        CODE_ID_REUSED: 'the change id was used with other content',
        CODE_FORBIDDEN: 'the operator may not write these paths',
        CODE_BAD_REQUEST: 'the base revision does not exist yet',
        CODE_OVERLOAD: 'too many settings documents',
    },
)


@handle.register
def _on_propose_change(
    message: ProposeChange,
    node: Node,
    now: float,
) -> Iterator[Command]:
    leadership = node.control.leadership
    if not leadership.is_leading:
        yield _not_leader_reply(message, node)
        return
    if not _is_well_formed(message):
        return
    entry = SettingsEntry(
        message.change_id,
        message.operator,
        message.sender,
        message.asked_at,
        message.base,
        message.written,
    )
    requester = (message.sender, message.ask_id)
    if _join_in_flight(entry, requester, node):
        return
    known = group_state(node).find_answer(entry)
    if known is not None and known.code in _FINAL_CODES:
        change = PendingChange(entry, now)
        change.requesters.add(requester)
        yield from _answer_change(change, known, node, now)
    elif leadership.count_in_flight() < MAX_CHANGES_IN_FLIGHT:
        yield from _propose_change(entry, message, node, now)


def resolve_change(
    entry: SettingsEntry,
    answer: ChangeRecord,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Answer the requesters of a change that was applied from the log."""
    yield _change_event(entry, answer)
    in_flight = node.control.leadership.in_flight
    digest = change_digest(entry)
    for change in in_flight.pop(entry.change_id, []):
        if change_digest(change.entry) == digest:
            yield from _answer_change(change, answer, node, now)
        else:
            in_flight.setdefault(entry.change_id, []).append(change)


def make_refusal(answer: ChangeRecord) -> Refusal:
    """Build the refusal of a change that had no effect."""
    if answer.code == CODE_ID_EXPIRED:
        # It is not applied now, but may have been before it was forgotten.
        return may_have_run_refusal(
            answer.code,
            'the base revision is older than all remembered change ids',
        )
    if answer.code == CODE_CONFLICT:
        return not_run_refusal(
            answer.code,
            f'the subtree was changed at revision {answer.revision}',
            -1,
        )
    return not_run_refusal(answer.code, _DETAILS[answer.code], -1)


def _is_well_formed(message: ProposeChange) -> bool:
    # The receiving host already validated the change for its operator. This
    # check rejects documents from a host that uses another schema.
    try:
        check_change(unpack_documents(message.written))
    except (SettingsError, WireError):
        return False
    return True


def _join_in_flight(
    entry: SettingsEntry,
    requester: tuple[str, int],
    node: Node,
) -> bool:
    leadership = node.control.leadership
    digest = change_digest(entry)
    in_flight = leadership.in_flight.get(entry.change_id, [])
    for change in chain(in_flight, leadership.applied_changes):
        is_same_id = change.entry.change_id == entry.change_id
        if is_same_id and change_digest(change.entry) == digest:
            change.requesters.add(requester)
            return True
    return False


def _propose_change(
    entry: SettingsEntry,
    message: ProposeChange,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = settings_replica(node)
    proposal = None if replica is None else propose(replica, encode(entry))
    if proposal is None:
        yield _not_leader_reply(message, node)
        return
    change = PendingChange(entry, now)
    change.requesters.add((message.sender, message.ask_id))
    in_flight = node.control.leadership.in_flight
    in_flight.setdefault(entry.change_id, []).append(change)
    yield Deliver(FlushLog(GROUP_SETTINGS))


def _answer_change(
    change: PendingChange,
    answer: ChangeRecord,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if not answer.code:
        yield from answer_when_in_force(change, answer.revision, node, now)
        return
    refusal = make_refusal(answer)
    for host, ask_id in sorted(change.requesters):
        yield SendPeer(host, ChangeOutcome(ask_id, answer.revision, refusal))


def _not_leader_reply(message: ProposeChange, node: Node) -> Command:
    return SendPeer(
        message.sender,
        NotLeader(message.ask_id, message.attempt, leader_hint(node)),
    )


def _change_event(entry: SettingsEntry, answer: ChangeRecord) -> LogEvent:
    if answer.code:
        return LogEvent(
            EVENT_CHANGE_REFUSED,
            change_id=entry.change_id,
            operator=entry.operator,
            code=answer.code,
        )
    return LogEvent(
        EVENT_CHANGE_APPLIED,
        change_id=entry.change_id,
        operator=entry.operator,
        revision=answer.revision,
    )
