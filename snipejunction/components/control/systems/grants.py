"""The leader's side of leases.

The leader counts a lease from the arrival of the renewal and adds the margin
for clock drift. It grants the lease only after a quorum has confirmed its
leadership since then.
"""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.systems.proposals import confirm
from snipejunction.components.control.const import (
    CONFIRM_RETRY_SECONDS,
    MAX_PENDING_RENEWALS,
    VIEW_REMOVAL_DELAY_SECONDS,
    RENEWAL_JOINING,
    RENEWAL_LAGGING,
    RENEWAL_NOT_LEADER,
)
from snipejunction.components.control.leadership_table import PendingRenewal
from snipejunction.components.control.messages import (
    GiveUpLease,
    LeaseGranted,
    LeaseRefused,
    RenewLease,
)
from snipejunction.components.control.systems.group import (
    group_state,
    leader_hint,
    settings_replica,
)
from snipejunction.components.control.systems.in_force import record_progress
from snipejunction.components.control.systems.membership import (
    is_newly_leaving,
)
from snipejunction.const import GROUP_SETTINGS
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node


@handle.register
def _on_renew_lease(
    message: RenewLease,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if message.entry.name != message.sender:
        return
    leadership = node.control.leadership
    if not leadership.is_leading:
        yield _refuse_renewal(message, RENEWAL_NOT_LEADER, node)
        return
    yield from record_progress(message, node, now)
    if len(leadership.pending) < MAX_PENDING_RENEWALS:
        leadership.pending.append(PendingRenewal(message, now))
    yield from begin_confirmation(node, now)


@handle.register
def _on_give_up_lease(
    message: GiveUpLease,
    node: Node,
    now: float,
) -> Iterator[Command]:
    lease = node.control.leadership.leases.get(message.sender)
    if lease is not None and lease.incarnation == message.incarnation:
        lease.expires_at = now - VIEW_REMOVAL_DELAY_SECONDS
        lease.retain_until = now
    return iter(())


@on_tick
def retry_confirmation(node: Node, now: float) -> Iterator[Command]:
    """Drop stale renewals and restart a confirmation that takes too long."""
    leadership = node.control.leadership
    if not leadership.is_leading:
        return
    too_old = now - node.host_settings.lease.duration
    leadership.pending = [
        pending
        for pending in leadership.pending
        if pending.received_at > too_old
    ]
    yield from begin_confirmation(node, now)


def begin_confirmation(node: Node, now: float) -> Iterator[Command]:
    """Ask a quorum whether this host still leads, one round at a time.

    A renewal that arrives during a round waits for the next one.
    """
    leadership = node.control.leadership
    replica = settings_replica(node)
    is_in_progress = now - leadership.confirm_started_at < CONFIRM_RETRY_SECONDS
    if replica is None or (leadership.confirming and is_in_progress):
        return
    leadership.confirming += leadership.pending
    leadership.pending = []
    if not leadership.confirming:
        return
    leadership.confirm_token += 1
    leadership.confirm_started_at = now
    if confirm(replica, leadership.confirm_token):
        yield Deliver(FlushLog(GROUP_SETTINGS))


def answer_renewals(token: int, node: Node, now: float) -> Iterator[Command]:
    """Answer the renewals that arrived before a confirmation began."""
    leadership = node.control.leadership
    if token != leadership.confirm_token or not leadership.is_leading:
        return
    confirmed = leadership.confirming
    leadership.confirming = []
    for pending in confirmed:
        yield _answer_renewal(pending, node, now)
    yield from begin_confirmation(node, now)


def _answer_renewal(pending: PendingRenewal, node: Node, now: float) -> Command:
    reason = _refusal_reason(pending.renewal, node, now)
    if reason:
        return _refuse_renewal(pending.renewal, reason, node)
    return _grant_lease(pending, node)


def _refusal_reason(renewal: RenewLease, node: Node, now: float) -> str:
    leadership = node.control.leadership
    grace = node.host_settings.lease.lag_grace
    if renewal.applied < leadership.required_revision(now - grace):
        return RENEWAL_LAGGING
    state = group_state(node)
    name = renewal.sender
    host = state.hosts.get(name)
    if host is None or host.incarnation != renewal.entry.incarnation:
        leadership.join_requests[name] = renewal
        return RENEWAL_JOINING
    if name in leadership.proposed_hosts:
        # Its removal from the view may be in flight.
        return RENEWAL_JOINING
    if is_newly_leaving(renewal.entry, host):
        leadership.join_requests[name] = renewal
    if renewal.applied < state.joined_at(name):
        return RENEWAL_LAGGING
    return ''


def _grant_lease(pending: PendingRenewal, node: Node) -> Command:
    renewal = pending.renewal
    timings = node.host_settings.lease
    lease = node.control.leadership.leases[renewal.sender]
    until = pending.received_at + timings.duration + timings.drift_margin
    lease.extend(until)
    lease.retain_until = lease.expires_at
    return SendPeer(
        renewal.sender,
        LeaseGranted(
            renewal.renewal_id,
            renewal.entry.incarnation,
            timings.duration,
            group_state(node).revision,
            node.view.settled,
        ),
    )


def _refuse_renewal(renewal: RenewLease, reason: str, node: Node) -> Command:
    return SendPeer(
        renewal.sender,
        LeaseRefused(
            renewal.renewal_id,
            renewal.entry.incarnation,
            reason,
            leader_hint(node),
            node.settings.revision,
        ),
    )
