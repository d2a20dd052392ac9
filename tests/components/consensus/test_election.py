"""Tests of elections and of a leader's quorum check."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from tests.components.consensus.harness import SLOW_SYNC, Cluster


class ElectionTest(TestCase):
    """Elections of three and five voters."""

    def test_one_leader_comes_up_and_commits(self) -> None:
        """Hosts with empty disks form a group and apply entries in order."""
        cluster = Cluster(3, seed=1)
        cluster.commit(['a', 'b', 'c'])
        cluster.run(1)
        for host in cluster.running_hosts:
            self.assertThat(host.payloads, Equals(['a', 'b', 'c']))

    def test_isolated_voter_does_not_unseat_the_leader(self) -> None:
        """A voter isolated for ten minutes changes neither leader nor term."""
        cluster = Cluster(3, seed=2)
        leader = cluster.wait_leader()
        term = leader.replica.term
        isolated = next(
            host for host in cluster.running_hosts if host is not leader
        )
        cluster.isolate(isolated.name)
        cluster.run(600)
        cluster.commit(['while away'])
        cluster.heal()
        cluster.run(5)
        self.assertThat(cluster.leader(), Is(leader))
        self.assertThat(leader.replica.term, Equals(term))
        self.assertThat(isolated.payloads, Equals(['while away']))

    def test_isolated_voter_with_the_same_log_does_not_unseat_the_leader(
        self,
    ) -> None:
        """The pre-vote protects the leader although the logs are equal."""
        cluster = Cluster(3, seed=9)
        leader = cluster.wait_leader()
        cluster.run(1)
        term = leader.replica.term
        isolated = next(
            host for host in cluster.running_hosts if host is not leader
        )
        cluster.isolate(isolated.name)
        cluster.run(600)
        # It reaches the other voters again before it reaches the leader.
        cluster.heal()
        cluster.cuts.add((leader.name, isolated.name))
        cluster.run(5)
        cluster.heal()
        cluster.run(5)
        self.assertThat(cluster.leader(), Is(leader))
        self.assertThat(leader.replica.term, Equals(term))

    def test_isolated_leader_steps_down(self) -> None:
        """A leader without a quorum steps down and another one is elected."""
        cluster = Cluster(3, seed=3)
        old = cluster.wait_leader()
        cluster.isolate(old.name)
        cluster.run(5)
        self.assertThat(old.replica.is_leader, Is(False))
        self.assertThat(old.replica.machine.is_leader, Is(False))
        new = cluster.wait_leader()
        self.assertThat(new.replica.term, GreaterThan(1))

    def test_leader_without_responses_steps_down(self) -> None:
        """A leader that receives no responses steps down."""
        cluster = Cluster(3, seed=4)
        old = cluster.wait_leader()
        for other in cluster.hosts:
            cluster.cuts.add((other, old.name))
        cluster.run(5)
        self.assertThat(old.replica.is_leader, Is(False))
        cluster.commit(['after'])

    def test_five_voters_survive_the_loss_of_two(self) -> None:
        """Three of five voters keep committing; the others catch up later."""
        cluster = Cluster(5, seed=5)
        leader = cluster.wait_leader()
        follower = next(
            host for host in cluster.running_hosts if host is not leader
        )
        lost = [leader.name, follower.name]
        cluster.commit(['before'])
        for name in lost:
            cluster.crash(name)
        cluster.commit(['after'])
        for name in lost:
            cluster.start(name)
        cluster.run(3)
        for host in cluster.running_hosts:
            self.assertThat(host.payloads, Equals(['before', 'after']))

    def test_planned_stop_hands_leadership_over(self) -> None:
        """A stopping leader is replaced sooner than by an election timeout."""
        cluster = Cluster(3, seed=6)
        old = cluster.wait_leader()
        cluster.commit(['a'])
        started = cluster.now
        old.node.consensus.begin_stop()
        cluster.run_until(lambda: cluster.leader() not in {None, old})
        self.assertThat(cluster.now - started, LessThan(0.3))
        cluster.commit(['b'])


class DurabilityTest(TestCase):
    """Votes and acknowledgements wait for the disk sync."""

    def test_votes_wait_for_the_disk(self) -> None:
        """No vote counts before it is synced, the candidate's own included."""
        cluster = Cluster(3, seed=31)
        old = cluster.wait_leader()
        cluster.slow_disks = set(cluster.hosts)
        cluster.crash(old.name)
        cluster.run(0.6 + 2 * SLOW_SYNC)
        self.assertThat(_has_leader(cluster), Is(False))
        cluster.run(10)
        self.assertThat(_has_leader(cluster), Is(True))

    def test_followers_acknowledge_synced_entries_only(self) -> None:
        """An entry that only the leader has synced is not committed."""
        cluster = Cluster(3, seed=32)
        leader = cluster.wait_leader()
        cluster.slow_disks = set(cluster.hosts) - {leader.name}
        cluster.propose('a')
        cluster.run(SLOW_SYNC - 0.1)
        self.assertThat(leader.payloads, Equals([]))
        cluster.run(SLOW_SYNC)
        self.assertThat(leader.payloads, Equals(['a']))

    def test_leader_counts_itself_once_synced(self) -> None:
        """One follower and an unsynced leader do not form a quorum."""
        cluster = Cluster(3, seed=33)
        leader = cluster.wait_leader()
        absent = next(
            host for host in cluster.running_hosts if host is not leader
        )
        cluster.isolate(absent.name)
        cluster.slow_disks = {leader.name}
        cluster.propose('a')
        cluster.run(SLOW_SYNC - 0.1)
        self.assertThat(leader.payloads, Equals([]))
        cluster.run(SLOW_SYNC)
        self.assertThat(leader.payloads, Equals(['a']))


class ConfirmationTest(TestCase):
    """Quorum confirmations, which leases and reads depend on."""

    def test_confirmed_by_a_quorum_only(self) -> None:
        """An isolated leader gets no confirmation, not even after healing."""
        cluster = Cluster(3, seed=7)
        leader = cluster.wait_leader()
        cluster.confirm(leader, 1)
        cluster.run(0.1)
        self.assertThat(leader.replica.machine.confirmed, Equals([1]))
        cluster.isolate(leader.name)
        cluster.run(0.1)
        cluster.confirm(leader, 2)
        cluster.run(5)
        cluster.heal()
        cluster.run(5)
        self.assertThat(leader.replica.machine.confirmed, Equals([1]))

    def test_late_responses_confirm_no_later_token(self) -> None:
        """Responses already in flight before the call do not count."""
        cluster = Cluster(3, seed=8)
        leader = cluster.wait_leader()
        cluster.run(0.5)
        cluster.delay = (0.3, 0.3)
        cluster.run(0.4)
        for name in cluster.hosts:
            cluster.cuts.add((leader.name, name))
        cluster.confirm(leader, 3)
        cluster.run(1)
        self.assertThat(leader.replica.machine.confirmed, Equals([]))


def _has_leader(cluster: Cluster) -> bool:
    return any(host.replica.is_leader for host in cluster.running_hosts)
