"""The host's side of leases: renewals, grants and the end of a lease."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, Deliver, LogEvent, SendPeer
from snipejunction.components.control.const import (
    EVENT_LEASE_GAINED,
    EVENT_LEASE_LOST,
    LEADER_TIMEOUT_SECONDS,
    RENEWAL_NOT_LEADER,
)
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.control.messages import (
    CheckLease,
    LeaseGranted,
    LeaseRefused,
    RenewLease,
)
from snipejunction.components.control.systems.applying import settle_views
from snipejunction.components.control.systems.group import (
    leader_hint,
    voter_names,
)
from snipejunction.components.control.view import HostEntry
from snipejunction.components.owner.systems.release import released_revision
from snipejunction.const import HOST_ACTIVE, HOST_LEAVING
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import (
    LeaseLost,
    PeerLost,
    SettingsChanged,
    ViewChanged,
)
from snipejunction.node import Node

# Fraction of the renewal period by which hosts spread their renewals.
_JITTER: Final = 0.1
# Delay before the next voter is tried if one knows no leader.
_LEADER_SEARCH_SECONDS: Final = 0.1


@on_tick
def renew_if_due(node: Node, now: float) -> Iterator[Command]:
    """Renew the lease when it is due or when the report changed."""
    renewals = node.control.renewals
    if now >= renewals.due or renewals.last_report != _current_report(node):
        yield from renew(node, now)


def renew(node: Node, now: float) -> Iterator[Command]:
    """Send a renewal with the applied revisions to the leader."""
    renewals = node.control.renewals
    if renewals.has_given_up:
        return
    _update_leader(node, now)
    if not renewals.leader:
        return
    jitter = node.random.uniform(1 - _JITTER, 1)
    renewals.due = now + node.host_settings.lease.renew_every * jitter
    renewals.last_report = _current_report(node)
    applied, released = renewals.last_report
    yield SendPeer(
        renewals.leader,
        RenewLease(
            renewals.start_renewal(now), make_own_entry(node), applied, released
        ),
    )


def make_own_entry(node: Node) -> HostEntry:
    """Return the entry of this host that the view should contain."""
    identity = node.identity
    is_leaving = node.lifecycle.phase in {Phase.LEAVING, Phase.STOPPED}
    return HostEntry(
        identity.name,
        identity.ip,
        identity.peer_port,
        identity.http_port,
        identity.data_centre,
        identity.region,
        identity.incarnation,
        HOST_LEAVING if is_leaving else HOST_ACTIVE,
    )


@handle.register
def _on_lease_granted(
    message: LeaseGranted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    renewals = node.control.renewals
    if message.incarnation != node.identity.incarnation:
        # Renewal ids restart at 1 in each incarnation.
        return
    sent_at = renewals.pop_sent_at(message.renewal_id)
    if sent_at is None or renewals.has_given_up:
        return
    renewals.set_leader(message.sender)
    _record_committed(message.committed, node)
    node.lease.extend(sent_at + message.duration)
    if node.lease.is_held(now) and not renewals.is_lease_held:
        renewals.is_lease_held = True
        if node.lifecycle.phase is Phase.STARTING:
            node.lifecycle.enter_phase(Phase.SERVING)
        node.timers.schedule(node.lease.held_until, CheckLease())
        yield LogEvent(EVENT_LEASE_GAINED, leader=message.sender)
    yield from settle_views(message.settled, node)


@handle.register
def _on_lease_refused(
    message: LeaseRefused,
    node: Node,
    now: float,
) -> Iterator[Command]:
    renewals = node.control.renewals
    if message.incarnation == node.identity.incarnation:
        if renewals.pop_sent_at(message.renewal_id) is not None:
            _handle_refusal(message, node, now)
    return iter(())


def _handle_refusal(message: LeaseRefused, node: Node, now: float) -> None:
    renewals = node.control.renewals
    if message.reason != RENEWAL_NOT_LEADER:
        renewals.record_answer()
        _record_committed(message.committed, node)
        return
    if message.sender != renewals.leader:
        return
    if message.leader and message.leader != message.sender:
        renewals.set_leader(message.leader)
        renewals.due = now
    else:
        renewals.set_leader(_next_voter(node))
        renewals.due = min(renewals.due, now + _LEADER_SEARCH_SECONDS)


@handle.register
def _on_check_lease(
    message: CheckLease,
    node: Node,
    now: float,
) -> Iterator[Command]:
    renewals = node.control.renewals
    if not renewals.is_lease_held:
        return
    if node.lease.is_held(now):
        node.timers.schedule(node.lease.held_until, message)
        return
    renewals.is_lease_held = False
    yield LogEvent(EVENT_LEASE_LOST)
    yield Deliver(LeaseLost())


def _report_progress(
    notice: SettingsChanged | ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    # The leader waits for this report before it answers the change.
    if node.control.renewals.last_report != _current_report(node):
        yield from renew(node, now)


def _switch_leader(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    renewals = node.control.renewals
    if notice.host == renewals.leader:
        renewals.set_leader(_next_voter(node))
        renewals.due = now
    return iter(())


def _current_report(node: Node) -> tuple[int, int]:
    return node.settings.revision, released_revision(node)


def _record_committed(revision: int, node: Node) -> None:
    follower = node.control.follower
    follower.committed = max(follower.committed, revision)


def _update_leader(node: Node, now: float) -> None:
    renewals = node.control.renewals
    hint = leader_hint(node)
    if hint and hint != renewals.leader:
        renewals.set_leader(hint)
        return
    is_silent = now - renewals.unanswered_since > LEADER_TIMEOUT_SECONDS
    if is_silent or not renewals.leader:
        renewals.set_leader(_next_voter(node))


def _next_voter(node: Node) -> str:
    voters = voter_names(node)
    leader = node.control.renewals.leader
    if leader in voters:
        return voters[(voters.index(leader) + 1) % len(voters)]
    if node.name in voters:
        return node.name
    return node.random.choice(voters) if voters else ''


add_listener(SettingsChanged, _report_progress)
add_listener(ViewChanged, _report_progress)
add_listener(PeerLost, _switch_leader)
