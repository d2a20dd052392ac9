"""Tables of the consensus component."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from snipejunction.components.consensus.configuration import (
    unpack_configuration,
)
from snipejunction.components.consensus.const import KIND_CONFIGURATION
from snipejunction.components.consensus.machine import (
    StateMachine,
    make_machine,
)
from snipejunction.components.consensus.membership import Membership
from snipejunction.components.consensus.messages import Member, StoredLog
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.voter_changes import VoterChange


class ConsensusTable:
    """The replicas of this host by group; empty on a host without a disk."""

    __slots__ = (
        '_changes',
        '_is_leaving',
        '_next_change_id',
        '_replicas',
        '_voter_id',
    )

    def __init__(self) -> None:
        """Create a table without replicas."""
        self._voter_id = ''
        self._replicas: dict[str, Replica] = {}
        self._is_leaving = False
        self._changes: dict[int, VoterChange] = {}
        self._next_change_id = 1

    @property
    def voter_id(self) -> str:
        """Return the identity on the disk, empty without a disk."""
        return self._voter_id

    @property
    def replicas(self) -> dict[str, Replica]:
        """Return the replicas by group."""
        return self._replicas

    @property
    def changes(self) -> dict[int, VoterChange]:
        """Return the changes of the voters that operators wait for."""
        return self._changes

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop gives leadership away."""
        return self._is_leaving

    def load(
        self,
        voter_id: str,
        stored: Mapping[str, StoredLog],
        machine_of: Callable[[str], StateMachine] = make_machine,
    ) -> None:
        """Make the replicas of what the disk holds, before the start."""
        self._voter_id = voter_id
        for group, log in stored.items():
            self._replicas[group] = Replica(
                group,
                voter_id,
                log,
                machine_of(group),
                _read_membership(log),
            )

    def leave(self) -> None:
        """Give leadership away from now on."""
        self._is_leaving = True

    def add_change(self, change: VoterChange) -> int:
        """Keep an operator's change; return its number."""
        number = self._next_change_id
        self._next_change_id += 1
        self._changes[number] = change
        return number

    def members_of(self, group: str) -> list[Member]:
        """Return the members of a group, none without a replica of it."""
        replica = self._replicas.get(group)
        return [] if replica is None else replica.membership.current.members

    def other_names(self, group: str, own_name: str) -> list[str]:
        """Return the hosts of a group other than the one named."""
        names = {member.name for member in self.members_of(group)}
        return sorted(names - {own_name})

    def find_member(self, name: str) -> Member | None:
        """Return a member of any group by the name of its host."""
        for replica in self._replicas.values():
            for member in replica.membership.current.members:
                if member.name == name:
                    return member
        return None


def _read_membership(stored: StoredLog) -> Membership:
    snapshot = stored.snapshot
    membership = Membership(snapshot.index, snapshot.configuration)
    for offset, entry in enumerate(stored.entries, start=1):
        if entry.kind == KIND_CONFIGURATION:
            configuration = unpack_configuration(entry.payload)
            membership.append(snapshot.index + offset, configuration)
    return membership
