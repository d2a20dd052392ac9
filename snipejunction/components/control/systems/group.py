"""Access to this host's replica of the settings group."""

from __future__ import annotations

from snipejunction.components.consensus.replica import Replica
from snipejunction.components.control.replication.state import ReplicatedState
from snipejunction.const import GROUP_SETTINGS
from snipejunction.node import Node


def settings_replica(node: Node) -> Replica | None:
    """Return the replica, None on a host that is not a voter."""
    return node.consensus.replicas.get(GROUP_SETTINGS)


def is_replica_member(node: Node) -> bool:
    """Return whether this host applies settings from its own log.

    After its disk was wiped, a voter has a replica that is not a member of
    the group. Until it is added as a new voter, it follows a feeder like a
    host without a replica.
    """
    replica = settings_replica(node)
    if replica is None:
        return False
    return replica.membership.current.member(replica.voter_id) is not None


def leader_hint(node: Node) -> str:
    """Return the name of the leader known to the replica, or empty."""
    replica = settings_replica(node)
    if replica is None or replica.leader_name is None:
        return ''
    return replica.leader_name


def group_state(node: Node) -> ReplicatedState:
    """Return the replicated state; this host must be a voter."""
    state: ReplicatedState = getattr(
        node.consensus.replicas[GROUP_SETTINGS].machine,
        'state',
    )
    return state


def voter_names(node: Node) -> list[str]:
    """Return the names of the control hosts in the settings file."""
    return [voter.name for voter in node.host_settings.voters]
