"""Requests from the root to the leader of the journal."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.journal.const import (
    BEGIN_RESEND_SECONDS,
    FINISH_RESEND_SECONDS,
    MAX_KEPT_PAYLOAD_BYTES,
    REDIRECT_RETRY_SECONDS,
)
from snipejunction.components.journal.messages import (
    JournalBeginRequest,
    JournalFinishRequest,
    JournalRedirect,
)
from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.components.journal.state import not_kept_refusal
from snipejunction.const import GROUP_JOURNAL
from snipejunction.handling import handle
from snipejunction.messages import PeerMessage
from snipejunction.node import Node


def send_begin(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Send a begin request, or a lookup, for a run.

    A resend carries the same token, so the attempt begins at most once.
    """
    run.resend_due = now + BEGIN_RESEND_SECONDS
    is_lookup = run.phase is RunPhase.LOOKING_UP
    yield from _send_to_leader(
        JournalBeginRequest(
            run.run_id, run.key, run.digest, run.token, is_lookup
        ),
        run,
        node,
    )


def send_outcome(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Send the outcome of a run to be recorded."""
    run.phase = RunPhase.FINISHING
    run.resend_due = now + FINISH_RESEND_SECONDS
    message = JournalFinishRequest(
        run.run_id,
        run.key,
        run.token,
        run.refusal,
        run.payload,
    )
    if len(run.payload) > MAX_KEPT_PAYLOAD_BYTES:
        message.refusal = not_kept_refusal()
        message.payload = b''
    yield from _send_to_leader(message, run, node)


def switch_control_host(node: Node) -> None:
    """Switch to the next control host after the last one failed."""
    names = _control_hosts(node)
    contacted = node.journal.leader or node.journal.contacted_host
    node.journal.leader = ''
    if not names:
        return
    position = names.index(contacted) + 1 if contacted in names else 0
    node.journal.contacted_host = names[position % len(names)]


def _send_to_leader(
    message: PeerMessage, run: Run, node: Node
) -> Iterator[Command]:
    leader = _replica_leader(node) or node.journal.leader
    if not leader:
        if not node.journal.contacted_host:
            switch_control_host(node)
        leader = node.journal.contacted_host
    run.contact.start(leader)
    if leader:
        yield SendPeer(leader, message)


def _replica_leader(node: Node) -> str:
    replica = node.consensus.replicas.get(GROUP_JOURNAL)
    return '' if replica is None else replica.leader_name or ''


def _control_hosts(node: Node) -> list[str]:
    names = {voter.name for voter in node.host_settings.voters}
    replica = node.consensus.replicas.get(GROUP_JOURNAL)
    if replica is not None:
        members = replica.membership.current.members
        names.update(member.name for member in members)
    return sorted(names)


@handle.register
def _handle_redirect(
    message: JournalRedirect,
    node: Node,
    now: float,
) -> Iterator[Command]:
    has_leader = message.leader not in {'', message.sender}
    if has_leader:
        node.journal.leader = message.leader
    else:
        _leave_host_without_leader(message, node)
    run = node.journal.find(message.run_id, message.token)
    if run is None or not run.awaits_journal:
        return
    if has_leader and not run.contact.has_followed_redirect:
        # Redirects of other runs may have named this leader before.
        if run.contact.host != message.leader:
            yield from retry(run, node, now)
            run.contact.has_followed_redirect = True
    else:
        retry_due = now + REDIRECT_RETRY_SECONDS
        run.contact.retry_due = min(run.contact.retry_due, retry_due)


def _leave_host_without_leader(message: JournalRedirect, node: Node) -> None:
    if message.sender in {node.journal.leader, node.journal.contacted_host}:
        switch_control_host(node)


def is_retry_due(run: Run, now: float) -> bool:
    """Return whether to ask again before the regular resend."""
    return now >= run.contact.retry_due and run.awaits_journal


def retry(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Ask again after a redirect; the regular resend stays due."""
    resend_due = run.resend_due
    if run.phase is RunPhase.FINISHING:
        yield from send_outcome(run, node, now)
    else:
        yield from send_begin(run, node, now)
    run.resend_due = resend_due
