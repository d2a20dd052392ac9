"""Membership of control hosts: discovery and replacement of lost voters.

The number of hosts is not configured. A control host announces itself to the
hosts that it knows. The leader adds it as a learner, and consensus promotes
it to a voter once it has caught up. A silent voter is removed only if its data
centre has another live voter, because silence alone does not prove that a host
is lost.
"""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.leadership import Leadership
from snipejunction.components.consensus.messages import Configuration, Member
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.forwarding import (
    forward_to_leader,
)
from snipejunction.components.consensus.systems.membership import (
    can_change_members,
    propose_configuration,
    remove_member,
)
from snipejunction.components.deployment.const import (
    CUT_OFF_SECONDS,
    EVENT_CONTROL_JOINED,
    EVENT_CONTROL_REPLACED,
    EVENT_CUT_OFF,
    EVENT_LEADER_FOUND,
    HEARTBEAT_INTERVAL_SECONDS,
    VOTER_TIMEOUT_SECONDS,
)
from snipejunction.components.deployment.messages import ControlAnnouncement
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle, on_tick
from snipejunction.node import Node


def known_controls(node: Node) -> list[str]:
    """Return the names of the members, or the seeds if there are none."""
    members = node.consensus.members_of(GROUP_DEPLOYMENT)
    names = {member.name for member in members}
    return sorted(names or node.deployment.seeds)


def is_cut_off(node: Node, now: float) -> bool:
    """Return whether no leader sent a message for ``CUT_OFF_SECONDS``."""
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None or replica.is_leader:
        return replica is None
    return now > replica.last_leader_contact_at + CUT_OFF_SECONDS


@on_tick
def run_membership(node: Node, now: float) -> Iterator[Command]:
    """Announce this control host; replace lost voters if it leads."""
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None:
        return
    if now >= node.deployment.announcement_due:
        node.deployment.announcement_due = now + HEARTBEAT_INTERVAL_SECONDS
        yield from _announce(replica, node, now)
    yield from _update_cut_off(replica, node, now)
    leadership = replica.leadership
    if leadership is not None and can_change_members(replica):
        yield from _replace_lost_voter(replica, leadership, now)


def _announce(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    identity = node.identity
    own_member = replica.membership.current.member(replica.voter_id)
    if own_member is not None and own_member.data_centre:
        return
    announcement = ControlAnnouncement(
        replica.voter_id,
        identity.ip,
        identity.peer_port,
        identity.data_centre,
    )
    for name in sorted({*known_controls(node), *node.deployment.seeds}):
        if name != node.name:
            yield SendPeer(name, announcement)
    if replica.is_leader:
        announcement.sender = node.name
        yield from _handle_announcement(announcement, node, now)


def _update_cut_off(
    replica: Replica, node: Node, now: float
) -> Iterator[Command]:
    table = node.deployment
    if not is_cut_off(node, now):
        if table.cut_off_since is not None:
            table.cut_off_since = None
            table.hosts_update_due = now
            yield LogEvent(EVENT_LEADER_FOUND, leader=replica.leader_name)
    elif table.cut_off_since is None:
        table.cut_off_since = now
        table.hosts_update_due = now
        age = round(now - replica.last_leader_contact_at, 3)
        yield LogEvent(EVENT_CUT_OFF, age=age)


@handle.register
def _handle_announcement(
    message: ControlAnnouncement,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None:
        return
    if not can_change_members(replica):
        # The announcement is repeated until it takes effect.
        yield from forward_to_leader(replica, message)
        return
    current = replica.membership.current
    member = current.member(message.voter_id)
    if member is None:
        yield LogEvent(
            EVENT_CONTROL_JOINED,
            name=message.source,
            data_centre=message.data_centre,
            voter_id=message.voter_id,
        )
    elif member.data_centre:
        return
    located = Member(
        message.voter_id,
        message.source,
        message.ip,
        message.peer_port,
        member is not None and member.is_voter,
        message.data_centre,
    )
    other_members = remove_member(current, message.voter_id).members
    yield from propose_configuration(
        replica, Configuration([*other_members, located]), now
    )


def _replace_lost_voter(
    replica: Replica,
    leadership: Leadership,
    now: float,
) -> Iterator[Command]:
    current = replica.membership.current
    for member in current.members:
        seconds_silent = _seconds_silent(member, replica, leadership, now)
        if seconds_silent < VOTER_TIMEOUT_SECONDS:
            continue
        replacements = [
            other
            for other in current.members
            if other.is_voter
            and other.voter_id != member.voter_id
            and other.data_centre == member.data_centre
            and _seconds_silent(other, replica, leadership, now)
            < HEARTBEAT_INTERVAL_SECONDS
        ]
        if replacements and member.data_centre:
            yield LogEvent(
                EVENT_CONTROL_REPLACED,
                name=member.name,
                seconds=round(seconds_silent, 3),
                data_centre=member.data_centre,
            )
            reduced = remove_member(current, member.voter_id)
            yield from propose_configuration(replica, reduced, now)
            return


def _seconds_silent(
    member: Member,
    replica: Replica,
    leadership: Leadership,
    now: float,
) -> float:
    if member.voter_id == replica.voter_id:
        return 0.0
    progress = leadership.progress.get(member.voter_id)
    return 0.0 if progress is None else now - progress.last_contact_at
