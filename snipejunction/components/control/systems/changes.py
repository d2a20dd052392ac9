"""Settings changes at the host that received them from an operator."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, SendPeer
from snipejunction.components.control.const import (
    CHANGE_RETRY_SECONDS,
    CHANGE_TIMEOUT_SECONDS,
    MAX_CHANGE_BYTES,
    MAX_CHANGE_ID_CHARACTERS,
    MAX_OPEN_CHANGES,
)
from snipejunction.components.control.messages import (
    ChangeOutcome,
    ChangeRequest,
    ChangeResponse,
    NotLeader,
    ProposeChange,
)
from snipejunction.components.control.open_changes import OpenChange
from snipejunction.components.control.operators import operator_by_name
from snipejunction.components.control.replication.codec import pack_documents
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_FORBIDDEN,
    CODE_NO_LEADER,
    CODE_OVERLOAD,
)
from snipejunction.errors import SettingsError
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node
from snipejunction.schema.shared import check_change
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal

_ASK_ID_BITS: Final = 53
# Delay before a change is sent to another host after a redirect.
_REDIRECT_SECONDS: Final = 0.1


@handle.register
def _on_change_request(
    message: ChangeRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    refusal = _check_request(message, node)
    if refusal is not None:
        revision = node.settings.revision
        yield ChangeResponse(message.call_id, revision, refusal)
        return
    proposal = ProposeChange(
        node.random.getrandbits(_ASK_ID_BITS),
        0,
        message.change_id,
        message.operator,
        message.asked_at,
        message.base,
        pack_documents(message.written),
    )
    deadline = now + CHANGE_TIMEOUT_SECONDS
    change = OpenChange(message.call_id, proposal, deadline, now)
    node.control.open_changes[proposal.ask_id] = change
    yield from _send_change(change, node, now)


@handle.register
def _on_change_outcome(
    message: ChangeOutcome,
    node: Node,
    now: float,
) -> Iterator[Command]:
    change = node.control.open_changes.pop(message.ask_id, None)
    if change is not None:
        yield ChangeResponse(
            change.call_id,
            message.revision,
            message.refusal,
        )


@handle.register
def _on_not_leader(
    message: NotLeader,
    node: Node,
    now: float,
) -> Iterator[Command]:
    change = node.control.open_changes.get(message.ask_id)
    if change is not None:
        change.unresolved_attempts.discard(message.attempt)
        change.leader = message.leader
        change.due = min(change.due, now + _REDIRECT_SECONDS)
    return iter(())


@on_tick
def resend_changes(node: Node, now: float) -> Iterator[Command]:
    """Resend unanswered changes; fail those past their deadline."""
    for ask_id, change in list(node.control.open_changes.items()):
        if now >= change.deadline:
            node.control.open_changes.pop(ask_id)
            yield _expire_change(change, node)
        elif now >= change.due:
            yield from _send_change(change, node, now)


def _send_change(
    change: OpenChange, node: Node, now: float
) -> Iterator[Command]:
    change.due = now + CHANGE_RETRY_SECONDS
    leader = change.leader or node.control.renewals.leader
    change.leader = ''
    if not leader:
        return
    previous = change.proposal
    change.proposal = ProposeChange(
        previous.ask_id,
        previous.attempt + 1,
        previous.change_id,
        previous.operator,
        previous.asked_at,
        previous.base,
        previous.written,
    )
    change.unresolved_attempts.add(change.proposal.attempt)
    yield SendPeer(leader, change.proposal)


def _expire_change(change: OpenChange, node: Node) -> Command:
    if change.unresolved_attempts:
        refusal = may_have_run_refusal(
            CODE_NO_LEADER,
            'no answer from the control leader; ask again with the same id',
        )
    else:
        refusal = not_run_refusal(
            CODE_NO_LEADER, 'no control leader was found', 1
        )
    return ChangeResponse(change.call_id, node.settings.revision, refusal)


def _check_request(message: ChangeRequest, node: Node) -> Refusal | None:
    operator = operator_by_name(node.settings.documents, message.operator)
    if operator is None or not operator.may_write_all(message.written):
        return not_run_refusal(
            CODE_FORBIDDEN,
            'the operator may not write these paths',
            -1,
        )
    problem = _find_problem(message)
    if problem:
        return not_run_refusal(CODE_BAD_REQUEST, problem, -1)
    if len(node.control.open_changes) >= MAX_OPEN_CHANGES:
        return not_run_refusal(
            CODE_OVERLOAD,
            'too many open changes at this host',
            CHANGE_RETRY_SECONDS,
        )
    return None


def _find_problem(message: ChangeRequest) -> str:
    length = len(message.change_id)
    if not 0 < length <= MAX_CHANGE_ID_CHARACTERS:
        return f'change id: 1 to {MAX_CHANGE_ID_CHARACTERS} characters'
    if message.base < 0:
        return 'base: at least 0'
    try:
        check_change(message.written)
    except SettingsError as error:
        return str(error)
    size = len(pack_documents(message.written).encode())
    if size > MAX_CHANGE_BYTES:
        return f'change: {size} bytes, at most {MAX_CHANGE_BYTES}'
    return ''
