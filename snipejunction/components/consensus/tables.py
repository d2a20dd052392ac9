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
        '_is_stopping',
        '_next_change_id',
        '_replicas',
        '_voter_changes',
        '_voter_id',
    )

    def __init__(self) -> None:
        """Create a table without replicas."""
        self._voter_id = ''
        self._replicas: dict[str, Replica] = {}
        self._is_stopping = False
        self._voter_changes: dict[int, VoterChange] = {}
        self._next_change_id = 1

    @property
    def voter_id(self) -> str:
        """Return the identity of the disk, empty without a disk."""
        return self._voter_id

    @property
    def replicas(self) -> dict[str, Replica]:
        """Return the replicas by group."""
        return self._replicas

    @property
    def voter_changes(self) -> dict[int, VoterChange]:
        """Return the pending voter changes of operators by their ids."""
        return self._voter_changes

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop transfers leadership away."""
        return self._is_stopping

    def load(
        self,
        voter_id: str,
        stored: Mapping[str, StoredLog],
        machine_factory: Callable[[str], StateMachine] = make_machine,
    ) -> None:
        """Create the replicas from the stored logs, before the start."""
        self._voter_id = voter_id
        for group, log in stored.items():
            self._replicas[group] = Replica(
                group,
                voter_id,
                log,
                machine_factory(group),
                _read_membership(log),
            )

    def begin_stop(self) -> None:
        """Transfer leadership away from now on."""
        self._is_stopping = True

    def add_voter_change(self, change: VoterChange) -> int:
        """Add a pending voter change and return its id."""
        change_id = self._next_change_id
        self._next_change_id += 1
        self._voter_changes[change_id] = change
        return change_id

    def members_of(self, group: str) -> list[Member]:
        """Return the members of a group, empty if no replica is here."""
        replica = self._replicas.get(group)
        return [] if replica is None else replica.membership.current.members

    def other_names(self, group: str, own_name: str) -> list[str]:
        """Return the hosts of a group except ``own_name``, sorted."""
        names = {member.name for member in self.members_of(group)}
        return sorted(names - {own_name})

    def find_member(self, name: str) -> Member | None:
        """Return a member of any group by host name, None if unknown."""
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
