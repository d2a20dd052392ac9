"""Status of the replicas of a host for operators."""

from __future__ import annotations

from snipejunction.components.consensus.messages import Member
from snipejunction.components.consensus.replica import Replica
from snipejunction.helpers.records import Record
from snipejunction.node import Node


class GroupStatus(Record):
    """Status of one replica."""

    __slots__ = (
        'applied_index',
        'commit_index',
        'group',
        'is_leader',
        'leader_name',
        'members',
        'term',
    )

    def __init__(self, replica: Replica) -> None:
        """Create the status of ``replica``."""
        self.group = replica.group
        self.term = replica.term
        self.is_leader = replica.is_ready
        self.leader_name = replica.leader_name
        self.commit_index = replica.commit_index
        self.applied_index = replica.applied_index
        self.members: list[Member] = replica.membership.current.members


class VoterStatus(Record):
    """Identity of the disk, empty without one, and replica status."""

    __slots__ = ('groups', 'voter_id')

    def __init__(self, voter_id: str, groups: list[GroupStatus]) -> None:
        """Create a status."""
        self.voter_id = voter_id
        self.groups = groups


def voter_status(node: Node) -> VoterStatus:
    """Return the status of the replicas of this host."""
    replicas = node.consensus.replicas.values()
    groups = [GroupStatus(replica) for replica in replicas]
    return VoterStatus(node.consensus.voter_id, groups)
