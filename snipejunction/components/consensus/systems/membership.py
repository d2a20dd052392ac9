"""Membership changes, one at a time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.configuration import (
    pack_configuration,
)
from snipejunction.components.consensus.const import (
    CHANGE_RESEND_SECONDS,
    CHANGE_TIMEOUT_SECONDS,
    KIND_CONFIGURATION,
    QUORUM_TIMEOUT_SECONDS,
)
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.messages import (
    Configuration,
    ForwardedVoterChange,
    LogEntry,
    Member,
    VoterChangeRequest,
    VoterChangeResponse,
    VoterChangeResult,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.forwarding import (
    forward_to_leader,
)
from snipejunction.components.consensus.systems.replication import (
    send_new_entries,
)
from snipejunction.components.consensus.systems.transfer import start_transfer
from snipejunction.components.consensus.systems.writing import (
    append,
    start_write,
)
from snipejunction.components.consensus.voter_changes import VoterChange
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_OUTCOME_UNKNOWN,
    GROUP_JOURNAL,
    GROUP_SETTINGS,
)
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal

ACTION_ADD: Final = 'add'
ACTION_REMOVE: Final = 'remove'
GROUPS: Final = (GROUP_SETTINGS, GROUP_JOURNAL)


@on_tick
def run_voter_changes(node: Node, now: float) -> Iterator[Command]:
    """Promote learners that caught up and resend pending changes."""
    for replica in node.consensus.replicas.values():
        leadership = replica.leadership
        if leadership is not None and can_change_members(replica):
            yield from _promote_learner(replica, leadership, now)
    for change_id, change in list(node.consensus.voter_changes.items()):
        yield from _resend_or_expire(change_id, change, node, now)


def can_change_members(replica: Replica) -> bool:
    """Return whether a leader may append a membership change.

    The previous change and an entry of its own term must be committed.
    """
    if not replica.is_ready:
        return False
    return replica.membership.index <= replica.commit_index


def _promote_learner(
    replica: Replica,
    leadership: Leadership,
    now: float,
) -> Iterator[Command]:
    current = replica.membership.current
    for member in current.members:
        progress = leadership.progress.get(member.voter_id)
        if member.is_voter or progress is None:
            continue
        is_reachable = now < progress.last_contact_at + QUORUM_TIMEOUT_SECONDS
        if is_reachable and progress.match_index >= replica.commit_index:
            yield from propose_configuration(
                replica, _promotion_step(current, member), now
            )
            return


def _promotion_step(current: Configuration, learner: Member) -> Configuration:
    """Return the next configuration on the way to promote a learner.

    A voter of the same host has lost its disk; it is removed first, so that
    it does not count for the quorum.
    """
    replaced = [
        member
        for member in current.members
        if member.is_voter and member.name == learner.name
    ]
    if replaced and len(current.voter_ids) > 1:
        return remove_member(current, replaced[0].voter_id)
    voter = Member(
        learner.voter_id,
        learner.name,
        learner.ip,
        learner.peer_port,
        True,
        learner.data_centre,
    )
    kept = remove_member(current, learner.voter_id).members
    return Configuration([*kept, voter])


def remove_member(current: Configuration, voter_id: str) -> Configuration:
    return Configuration(
        [member for member in current.members if member.voter_id != voter_id]
    )


def propose_configuration(
    replica: Replica,
    configuration: Configuration,
    now: float,
) -> Iterator[Command]:
    payload = pack_configuration(configuration)
    append(replica, LogEntry(replica.term, KIND_CONFIGURATION, payload))
    yield from send_new_entries(replica, now)
    yield from start_write(replica)


@handle.register
def _handle_operator_change(
    message: VoterChangeRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if message.action not in {ACTION_ADD, ACTION_REMOVE}:
        refusal = not_run_refusal(CODE_BAD_REQUEST, 'action is add or remove')
        yield VoterChangeResponse(message.call_id, refusal)
        return
    if not message.voter_id:
        refusal = not_run_refusal(CODE_BAD_REQUEST, 'voter_id is missing')
        yield VoterChangeResponse(message.call_id, refusal)
        return
    member = Member(
        message.voter_id,
        message.name,
        message.ip,
        message.peer_port,
        False,
    )
    change = VoterChange(
        message.call_id,
        member,
        message.action == ACTION_REMOVE,
        set(GROUPS),
        now + CHANGE_TIMEOUT_SECONDS,
    )
    change_id = node.consensus.add_voter_change(change)
    yield from _resend_or_expire(change_id, change, node, now)


def _resend_or_expire(
    change_id: int,
    change: VoterChange,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if now >= change.deadline:
        node.consensus.voter_changes.pop(change_id)
        detail = 'the change is not known to be complete: ask again'
        refusal = may_have_run_refusal(CODE_OUTCOME_UNKNOWN, detail)
        yield VoterChangeResponse(change.call_id, refusal)
    elif now >= change.resend_due:
        change.resend_due = now + CHANGE_RESEND_SECONDS
        names = {voter.name for voter in node.host_settings.voters}
        for group in sorted(change.open_groups):
            request = ForwardedVoterChange(
                group,
                change_id,
                change.is_removal,
                change.member,
            )
            for name in sorted(names | _member_names(node, group)):
                yield SendPeer(name, request)


def _member_names(node: Node, group: str) -> set[str]:
    replica = node.consensus.replicas.get(group)
    if replica is None:
        return set()
    return {member.name for member in replica.membership.current.members}


@handle.register
def _handle_forwarded_change(
    message: ForwardedVoterChange,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None:
        return
    if not can_change_members(replica):
        # The request is resent until its result is received.
        yield from forward_to_leader(replica, message)
        return
    if _is_in_effect(replica, message):
        yield _change_result(message, None)
    elif message.is_removal:
        yield from _remove_member(replica, message, now)
    elif replica.membership.current.member(message.member.voter_id) is None:
        members = [*replica.membership.current.members, message.member]
        yield from propose_configuration(replica, Configuration(members), now)


def _is_in_effect(replica: Replica, message: ForwardedVoterChange) -> bool:
    member = replica.membership.current.member(message.member.voter_id)
    if message.is_removal:
        return member is None
    return member is not None and member.is_voter


def _remove_member(
    replica: Replica,
    message: ForwardedVoterChange,
    now: float,
) -> Iterator[Command]:
    current = replica.membership.current
    voter_id = message.member.voter_id
    if current.voter_ids == {voter_id}:
        detail = 'the last voter cannot be removed'
        yield _change_result(message, not_run_refusal(CODE_BAD_REQUEST, detail))
    elif voter_id == replica.voter_id:
        start_transfer(replica, now)
    else:
        yield from propose_configuration(
            replica, remove_member(current, voter_id), now
        )


def _change_result(
    message: ForwardedVoterChange,
    refusal: Refusal | None,
) -> SendPeer:
    result = VoterChangeResult(message.group, message.change_id, refusal)
    return SendPeer(message.source, result)


@handle.register
def _handle_result(
    message: VoterChangeResult,
    node: Node,
    now: float,
) -> Iterator[Command]:
    change = node.consensus.voter_changes.get(message.change_id)
    if change is None:
        return
    change.open_groups.discard(message.group)
    if message.refusal is not None or not change.open_groups:
        node.consensus.voter_changes.pop(message.change_id)
        yield VoterChangeResponse(change.call_id, message.refusal)
