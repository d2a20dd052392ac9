"""Append requests from the leader to its followers."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.const import (
    HEARTBEAT_INTERVAL_SECONDS,
    MAX_APPEND_BYTES,
    MAX_APPEND_ENTRIES,
)
from snipejunction.components.consensus.leadership import Leadership, Progress
from snipejunction.components.consensus.messages import (
    LogEntry,
    Member,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.replication.messages import (
    AppendRequest,
    AppendResponse,
)
from snipejunction.components.consensus.systems.commitment import (
    advance_commit_index,
)
from snipejunction.components.consensus.systems.roles import become_follower
from snipejunction.components.consensus.systems.snapshots import (
    send_snapshot_chunk,
)
from snipejunction.components.consensus.systems.writing import start_write
from snipejunction.handling import handle
from snipejunction.node import Node


def send_heartbeats(replica: Replica, now: float) -> Iterator[Command]:
    """Start a heartbeat round; new entries are sent along."""
    leadership = replica.leadership
    if leadership is None:
        return
    leadership.heartbeat_due = now + HEARTBEAT_INTERVAL_SECONDS
    leadership.start_round()
    _update_progress(replica, leadership, now)
    for member in replica.other_members:
        progress = leadership.progress[member.voter_id]
        yield from _send_entries(
            replica, member, progress, now, is_heartbeat=True
        )


def send_new_entries(replica: Replica, now: float) -> Iterator[Command]:
    """Send new entries to each follower whose send window is open."""
    leadership = replica.leadership
    if leadership is None:
        return
    _update_progress(replica, leadership, now)
    for member in replica.other_members:
        progress = leadership.progress[member.voter_id]
        yield from _send_entries(
            replica, member, progress, now, is_heartbeat=False
        )


def report_confirmations(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Report the tokens that a quorum confirmed to the state machine."""
    leadership = replica.leadership
    if leadership is None or not leadership.confirming_tokens:
        return
    current = replica.membership.current
    rounds = [
        leadership.round_number
        if voter_id == replica.voter_id
        else leadership.progress[voter_id].confirmed_round
        for voter_id in current.voter_ids
    ]
    rounds.sort(reverse=True)
    for token in leadership.pop_confirmed(rounds[current.quorum - 1]):
        yield from replica.machine.on_confirmed(node, token, now)
    if leadership.queued_tokens and not leadership.confirming_tokens:
        yield from send_heartbeats(replica, now)


def _update_progress(
    replica: Replica,
    leadership: Leadership,
    now: float,
) -> None:
    progress = leadership.progress
    member_ids = {member.voter_id for member in replica.other_members}
    if member_ids == progress.keys():
        return
    for voter_id in progress.keys() - member_ids:
        progress.pop(voter_id)
    for added_id in member_ids - progress.keys():
        progress[added_id] = Progress(replica.log.last_index + 1, now)


def _send_entries(
    replica: Replica,
    member: Member,
    progress: Progress,
    now: float,
    *,
    is_heartbeat: bool,
) -> Iterator[Command]:
    if progress.next_index <= replica.log.base_index:
        yield from send_snapshot_chunk(replica, member, progress, now)
        if is_heartbeat:
            yield _append_request(replica, member, 0, [])
        return
    # A follower whose disk stalls acknowledges nothing, but applies what is
    # committed, so each heartbeat takes entries along. Answers to entries wait
    # for that disk, those to an empty request do not.
    if is_heartbeat and not progress.has_send_window:
        yield _append_request(replica, member, progress.next_index - 1, [])
    is_due = is_heartbeat
    while is_due or progress.has_send_window:
        entries = replica.log.batch(
            progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES
        )
        if not (entries or is_due):
            return
        prev_index = progress.next_index - 1
        if entries:
            progress.record_sent(prev_index + len(entries))
        yield _append_request(replica, member, prev_index, entries)
        is_due = False


def _append_request(
    replica: Replica,
    member: Member,
    prev_index: int,
    entries: list[LogEntry],
) -> SendPeer:
    leadership = replica.leadership
    message = AppendRequest(
        replica.group,
        replica.term,
        replica.voter_id,
        member.voter_id,
        prev_index,
        replica.log.term_at(prev_index) or 0,
        replica.commit_index,
        0 if leadership is None else leadership.round_number,
        entries,
    )
    return SendPeer(member.name, message)


@handle.register
def _handle_append_response(
    message: AppendResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or replica.leadership is None:
        return
    if message.term > replica.term:
        yield from become_follower(replica, node, message.term, '', now)
        yield from start_write(replica)
        return
    leadership = replica.leadership
    if message.term < replica.term:
        return
    progress = leadership.progress.get(message.voter_id)
    member = replica.membership.current.member(message.voter_id)
    if progress is None or member is None:
        return
    progress.last_contact_at = now
    progress.confirmed_round = max(
        progress.confirmed_round,
        message.round_number,
    )
    if not message.is_match:
        progress.record_mismatch(message.index)
    elif progress.record_match(message.index):
        yield from advance_commit_index(replica, node, now)
    yield from report_confirmations(replica, node, now)
    if replica.leadership is leadership:
        yield from _send_entries(
            replica, member, progress, now, is_heartbeat=False
        )
        yield from start_write(replica)
