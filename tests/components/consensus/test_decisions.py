"""Tests of single decisions of one replica."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.consensus.configuration import (
    pack_configuration,
)
from snipejunction.components.consensus.const import KIND_CONFIGURATION
from snipejunction.components.consensus.entry_log import EntryLog
from snipejunction.components.consensus.messages import (
    Configuration,
    ForwardedVoterChange,
    LogEntry,
    LogPersisted,
    Member,
    PersistLog,
    Snapshot,
    StoredLog,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.replication.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    VoteRequest,
    VoteResponse,
)
from snipejunction.components.consensus.systems.election import start_pre_vote
from snipejunction.components.consensus.writer import LogWriter
from snipejunction.handling import handle
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.messages import Message
from snipejunction.node import Node
from tests.components.consensus.checker import Checker, ListMachine
from tests.components.consensus.harness import GROUP

NAMES = ('a', 'b', 'c')
VOTERS = Configuration(
    [Member(name, name, '127.0.0.1', 1, True) for name in NAMES]
)


def entries(count: int, term: int = 1) -> list[LogEntry]:
    """Return ``count`` command entries of a term."""
    return [LogEntry(term, 1, b'%d' % number) for number in range(count)]


class SingleReplica:
    """Replica ``a`` of three, without a network; syncs are immediate."""

    def __init__(self, stored: list[LogEntry], term: int = 1) -> None:
        """Create a replica with entries after the first configuration."""
        identity = HostIdentity('a', '127.0.0.1', 1, 2, 'dc', 'r', 'i')
        self.node = Node(HostSettings(identity, ()), Random(1))
        snapshot = Snapshot(1, 0, VOTERS, b'')
        log = StoredLog(term, '', snapshot, stored)
        checker = Checker()
        self.node.consensus.load(
            'a',
            {GROUP: log},
            lambda _: ListMachine(checker),
        )
        self.sent: list[Message] = []

    @property
    def replica(self) -> Replica:
        """Return the replica."""
        return self.node.consensus.replicas[GROUP]

    def process(self, message: Message) -> None:
        """Handle a message and all syncs that follow."""
        message.sender = 'b'
        self._execute(handle(message, self.node, 0))

    def elect(self, term: int, to_id: str = 'a', voter_id: str = 'b') -> None:
        """Run an election in a term in which one other replica votes."""
        self.process(
            AppendRequest(GROUP, term - 1, 'b', 'a', 1, 0, 1, 0, []),
        )
        self._execute(start_pre_vote(self.replica, self.node, 0))
        for is_pre in (True, False):
            self.process(
                VoteResponse(GROUP, term, voter_id, to_id, True, is_pre),
            )

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in list(commands):
            if isinstance(command, PersistLog):
                done = LogPersisted(GROUP, command.token)
                self._execute(handle(done, self.node, 0))
            elif isinstance(command, Deliver):
                self._execute(handle(command.message, self.node, 0))
            elif isinstance(command, SendPeer):
                self.sent.append(command.message)


class FollowerTest(TestCase):
    """Handling of a leader's messages by a follower."""

    def test_commits_no_further_than_it_matches(self) -> None:
        """Entries after those the leader sent may be from another leader."""
        single = SingleReplica(entries(5))
        single.process(AppendRequest(GROUP, 2, 'b', 'a', 3, 1, 6, 0, []))
        self.assertThat(single.replica.commit_index, Equals(3))

    def test_replaces_what_conflicts(self) -> None:
        """A conflicting entry is replaced along with all that follow it."""
        single = SingleReplica(entries(5))
        single.process(
            AppendRequest(GROUP, 2, 'b', 'a', 3, 1, 3, 0, entries(1, term=2)),
        )
        self.assertThat(single.replica.log.last_index, Equals(4))
        self.assertThat(single.replica.log.last_term, Equals(2))

    def test_truncation_restores_the_previous_configuration(self) -> None:
        """Truncating a configuration entry restores the previous one."""
        single = SingleReplica(entries(1))
        fewer = Configuration(VOTERS.members[:2])
        entry = LogEntry(1, KIND_CONFIGURATION, pack_configuration(fewer))
        single.process(AppendRequest(GROUP, 1, 'b', 'a', 2, 1, 1, 0, [entry]))
        current = single.replica.membership.current
        self.assertThat(current.members, HasLength(2))
        single.process(
            AppendRequest(GROUP, 2, 'b', 'a', 2, 1, 1, 0, entries(1, term=2)),
        )
        current = single.replica.membership.current
        self.assertThat(current.members, HasLength(3))

    def test_late_append_removes_nothing(self) -> None:
        """A late copy of an earlier append keeps later entries."""
        single = SingleReplica(entries(5))
        single.process(
            AppendRequest(GROUP, 1, 'b', 'a', 1, 0, 1, 0, entries(2)),
        )
        self.assertThat(single.replica.log.last_index, Equals(6))
        self.assertThat(single.sent[-1].index, Equals(3))

    def test_mismatch_returns_a_hint(self) -> None:
        """A follower with a gap or a conflicting term returns a hint."""
        single = SingleReplica(entries(5))
        single.process(AppendRequest(GROUP, 3, 'b', 'a', 9, 2, 1, 0, []))
        self.assertThat(single.sent[-1].is_match, Is(False))
        self.assertThat(single.sent[-1].index, Equals(6))
        single.process(AppendRequest(GROUP, 3, 'b', 'a', 6, 2, 1, 0, []))
        self.assertThat(single.sent[-1].index, Equals(1))

    def test_late_snapshot_drops_no_acknowledged_entry(self) -> None:
        """Entries after the index of a late snapshot are kept."""
        single = SingleReplica(entries(5))
        single.process(
            SnapshotChunk(GROUP, 1, 'b', 'a', 4, 1, VOTERS, 0, 0, b''),
        )
        self.assertThat(single.replica.commit_index, Equals(4))
        self.assertThat(single.replica.log.last_index, Equals(6))

    def test_message_to_another_disk_is_ignored(self) -> None:
        """A message to an earlier disk of the host gets no response."""
        single = SingleReplica([], term=0)
        request = VoteRequest(GROUP, 1, 'b', 'old', 9, 9, False, False)
        single.process(request)
        self.assertThat(single.sent, HasLength(0))
        self.assertThat(single.replica.term, Equals(0))


class CandidateTest(TestCase):
    """Counting of votes by a candidate."""

    def test_vote_for_an_earlier_disk_does_not_count(self) -> None:
        """A late vote for an earlier identity of the host is ignored."""
        single = SingleReplica(entries(1))
        for voter_id in ('b', 'c'):
            single.elect(term=3, to_id='old', voter_id=voter_id)
        self.assertThat(single.replica.is_leader, Is(False))
        single.elect(term=3)
        self.assertThat(single.replica.is_leader, Is(True))


class LeaderTest(TestCase):
    """Commits and membership changes of a leader."""

    def test_earlier_terms_wait_for_an_own_entry(self) -> None:
        """An earlier term's entry on a quorum is not committed by itself."""
        single = SingleReplica(entries(3))
        single.elect(term=3)
        single.process(AppendResponse(GROUP, 3, 'b', True, 4, 0))
        self.assertThat(single.replica.commit_index, Equals(1))
        single.process(AppendResponse(GROUP, 3, 'b', True, 5, 0))
        self.assertThat(single.replica.commit_index, Equals(5))

    def test_one_change_of_the_voters_at_a_time(self) -> None:
        """A second change waits until the first one is committed."""
        single = SingleReplica(entries(1))
        single.elect(term=3)
        self._remove(single, 'b')
        self.assertThat(self._voters(single), HasLength(3))
        single.process(AppendResponse(GROUP, 3, 'b', True, 3, 0))
        self._remove(single, 'b')
        self._remove(single, 'c')
        self.assertThat(self._voters(single), Equals({'a', 'c'}))

    def _remove(self, single: SingleReplica, name: str) -> None:
        member = Member(name, name, '127.0.0.1', 1, False)
        single.process(ForwardedVoterChange(GROUP, 1, True, member))

    def _voters(self, single: SingleReplica) -> frozenset[str]:
        return single.replica.membership.current.voter_ids


class LogWriterTest(TestCase):
    """Batching of log writes."""

    def test_changes_during_a_write_form_the_next(self) -> None:
        """Commands are deferred until the write that covers them is done."""
        log = EntryLog(0, 0, entries(1))
        writer = LogWriter(0)
        writer.mark_entries_dirty(1)
        writer.defer(Deliver(LogPersisted('first', 0)))
        first = writer.begin_write(GROUP, 1, '', log)
        log.append(LogEntry(1, 1, b'x'))
        log.append(LogEntry(1, 1, b'y'))
        writer.mark_entries_dirty(2)
        writer.defer(Deliver(LogPersisted('second', 0)))
        self.assertThat(writer.begin_write(GROUP, 1, '', log), Is(None))
        released = writer.finish_write(first.token)
        self.assertThat(released[0].message.group, Equals('first'))
        self.assertThat(writer.stable_index, Equals(1))
        second = writer.begin_write(GROUP, 1, '', log)
        self.assertThat(second.entries, HasLength(2))
        self.assertThat(writer.finish_write(second.token), HasLength(1))
        self.assertThat(writer.stable_index, Equals(3))

    def test_replaced_entries_are_not_stable(self) -> None:
        """A replaced entry is stable again once the new one is synced."""
        log = EntryLog(0, 0, entries(5))
        writer = LogWriter(5)
        log.truncate_from(3)
        log.append(LogEntry(2, 1, b'x'))
        writer.mark_entries_dirty(3)
        self.assertThat(writer.stable_index, Equals(2))
        write = writer.begin_write(GROUP, 2, '', log)
        writer.finish_write(write.token)
        self.assertThat(writer.stable_index, Equals(3))

    def test_entries_replaced_during_their_write(self) -> None:
        """Entries replaced while a write runs are not stable after it."""
        log = EntryLog(0, 0, entries(5))
        writer = LogWriter(2)
        writer.mark_entries_dirty(3)
        write = writer.begin_write(GROUP, 1, '', log)
        log.truncate_from(4)
        log.append(LogEntry(2, 1, b'x'))
        writer.mark_entries_dirty(4)
        writer.finish_write(write.token)
        self.assertThat(writer.stable_index, Equals(3))
