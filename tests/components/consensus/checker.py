"""Checks of Raft's safety properties across the replicas of a test."""

from __future__ import annotations

import json
from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.consensus.replica import Replica
from snipejunction.const import GROUP_SETTINGS


class Checker:
    """Compares the replicas of all hosts; raises AssertionError."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.votes: dict[tuple[str, str, int], str] = {}

    def check(self, replica: Replica) -> None:
        """Check that a leader is the only one of its term and complete."""
        if replica.is_leader:
            first_seen = self.leaders.setdefault(replica.term, replica.voter_id)
            assert first_seen == replica.voter_id, 'two leaders in one term'
            self._check_complete(replica)

    def check_vote(self, voter_id: str, vote, candidate: str) -> None:
        """Record a vote that was sent; a voter has one vote per term."""
        vote_key = (vote.group, voter_id, vote.term)
        first_seen = self.votes.setdefault(vote_key, candidate)
        assert first_seen == candidate, f'{vote_key} voted twice'

    def record_applied(self, index: int, term: int, payload: bytes) -> None:
        """Check that all replicas apply the same entry at an index."""
        entry = (term, payload)
        first_seen = self.committed.setdefault(index, entry)
        assert first_seen == entry, f'entry {index} was replaced'

    def _check_complete(self, replica: Replica) -> None:
        for index, (term, _) in self.committed.items():
            if index > replica.log.base_index and term < replica.term:
                stored_term = replica.log.term_at(index)
                assert stored_term == term, (
                    f'leader lacks committed entry {index}'
                )


class ListMachine:
    """Stores all payloads and reports applied entries to the checker."""

    def __init__(self, checker: Checker) -> None:
        self.checker = checker
        self.payloads: list[str] = []
        self.confirmed: list[int] = []
        self.is_leader = False

    def apply(self, node, index, term, payload, now) -> Iterator[Command]:
        self.payloads.append(payload.decode())
        if node.consensus.replicas[GROUP_SETTINGS].machine is self:
            self.checker.record_applied(index, term, payload)
        return iter(())

    def snapshot(self) -> bytes:
        return json.dumps(self.payloads).encode()

    def restore(self, node, state, index, now) -> Iterator[Command]:
        self.payloads = json.loads(state) if state else []
        return iter(())

    def on_confirmed(self, node, token, now) -> Iterator[Command]:
        self.confirmed.append(token)
        return iter(())

    def on_leadership(self, node, is_leader, now) -> Iterator[Command]:
        self.is_leader = is_leader
        return iter(())
