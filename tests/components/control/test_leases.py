"""Tests of leases through the replicated log."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from snipejunction.components.control.messages import LeaseGranted
from snipejunction.components.control.systems import renewals
from tests.components.control.harness import ControlRun

LEASE = 2.0
MARGIN = 0.1


class FirstStartTest(TestCase):
    """An empty cluster."""

    def test_starts_from_settings_alone(self) -> None:
        """All hosts get leases and one settled view."""
        run = ControlRun(1, voters=3, others=8)
        run.start_and_wait(2)
        self.assertThat(run.lease_holders(), HasLength(11))
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.current.hosts, HasLength(11))
            self.assertThat(view.settled, Equals(view.revision))


class IsolationTest(TestCase):
    """Hosts isolated from the others without connection errors."""

    def test_leader_ten_minutes(self) -> None:
        """An isolated leader grants no lease and returns as a follower."""
        self._isolate(2, is_leader=True)

    def test_follower_ten_minutes(self) -> None:
        """An isolated follower does not depose the leader on its return."""
        self._isolate(3, is_leader=False)

    def test_restart_beside_isolated_leader(self) -> None:
        """A diskless host that reaches only an old leader gets no lease."""
        run = ControlRun(4, voters=3, others=3)
        run.start_and_wait()
        old = run.leader.name
        together = {old, 'h003'}
        for name in run.hosts:
            for other in together:
                if name not in together:
                    run.network.cut(name, other)
                    run.network.cut(other, name)
        run.run_for(5)
        run.change('h004', 'after')
        run.run_for(5)
        self.assertThat(run.answers['after'].refusal, Equals(None))
        run.crash('h003')
        run.start_host('h003')
        for _ in range(100):
            run.run_for(0.2)
            self.assertThat(run.lease_holders(), Not(Contains('h003')))
        run.network.heal_all()
        run.run_for(8)
        self.assertThat(run.lease_holders(), HasLength(6))

    def test_one_way_cut_from_leader(self) -> None:
        """A host whose grants are lost holds no lease."""
        run = ControlRun(5, voters=3, others=3)
        run.start_and_wait()
        for voter in run.voters:
            run.network.cut(voter.name, 'h003')
        run.run_for(LEASE + MARGIN)
        self.assertThat(run.lease_holders(), Not(Contains('h003')))
        run.change('h004', 'meanwhile')
        run.run_for(6)
        self.assertThat(run.answers['meanwhile'].refusal, Equals(None))

    def test_lost_quorum(self) -> None:
        """Without a quorum all leases expire after one lease duration."""
        run = ControlRun(6, voters=3, others=3)
        run.start_and_wait()
        run.crash('v0')
        run.crash('v1')
        run.run_for(LEASE + MARGIN)
        self.assertThat(run.lease_holders(), Equals([]))

    def test_lease_lost_is_delivered_once(self) -> None:
        """The expiry of the lease is delivered as one notice."""
        run = ControlRun(7, voters=3, others=1)
        run.start_and_wait()
        lost_at = []
        original = renewals.LeaseLost
        self.patch(
            renewals,
            'LeaseLost',
            lambda: lost_at.append(run.now) or original(),
        )
        run.network.isolate('h003')
        run.run_for(30)
        self.assertThat(lost_at, HasLength(1))

    def _isolate(self, seed: int, is_leader: bool) -> None:
        run = ControlRun(seed, voters=3, others=3)
        run.start_and_wait()
        lost = run.leader.name
        if not is_leader:
            lost = next(host.name for host in run.voters if host.name != lost)
        term = run.leader_term
        run.network.isolate(lost)
        run.run_for(LEASE + MARGIN)
        self.assertThat(run.lease_holders(), Not(Contains(lost)))
        for minute in range(10):
            run.change('h003', f'minute-{minute}')
            run.run_for(60)
            self.assertThat(
                run.answers[f'minute-{minute}'].refusal, Equals(None)
            )
            self.assertThat(run.lease_holders(), Not(Contains(lost)))
        leader = run.leader.name
        new_term = run.leader_term
        run.network.rejoin(lost)
        run.run_for(10)
        self.assertThat(run.lease_holders(), HasLength(6))
        self.assertThat(run.leader.name, Equals(leader))
        self.assertThat(run.leader_term, Equals(new_term))
        if not is_leader:
            self.assertThat(new_term, Equals(term))


class GrantTest(TestCase):
    """Late and duplicated grants and those for another incarnation."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlRun(8, voters=1, others=1)
        self.cluster.start_and_wait()
        self.host = self.cluster.hosts['h001']
        self.cluster.network.isolate('h001')
        self.node = self.host.core.node
        # Renewals are sent and lost; their ids stay outstanding.
        self.cluster.run_for(0.6)
        self.last_id = max(self.node.control.renewals._outstanding)

    def test_late_grant(self) -> None:
        """The lease of a grant starts when its renewal was sent."""
        sent = self.node.control.renewals._outstanding[self.last_id]
        self.cluster.run_for(1.0)
        self._grant(self.last_id, self.node.identity.incarnation)
        self.assertThat(self.node.lease.held_until, Equals(sent + LEASE))

    def test_doubled_grant(self) -> None:
        """A duplicated grant does not extend the lease."""
        incarnation = self.node.identity.incarnation
        self._grant(self.last_id, incarnation)
        until = self.node.lease.held_until
        self.cluster.run_for(1.5)
        self._grant(self.last_id, incarnation)
        self.assertThat(self.node.lease.held_until, Equals(until))

    def test_grant_for_earlier_start(self) -> None:
        """A grant for another incarnation is ignored."""
        until = self.node.lease.held_until
        self._grant(self.last_id, 'h001#0')
        self.assertThat(self.node.lease.held_until, Equals(until))

    def test_very_late_grant(self) -> None:
        """A grant that arrives after its lease expired gives none."""
        incarnation = self.node.identity.incarnation
        self.cluster.run_for(3)
        self._grant(self.last_id, incarnation)
        self.assertThat(self.node.lease.is_held(self.host.now), Equals(False))

    def _grant(self, renewal_id: int, incarnation: str) -> None:
        message = LeaseGranted(renewal_id, incarnation, LEASE, 0, 0)
        message.sender = 'v0'
        self.host.receive(message)


class NewLeaderTest(TestCase):
    """Leases granted by an earlier leader."""

    def test_waits_for_unknown_leases(self) -> None:
        """A new leader accepts nothing while an old lease may be held."""
        for seed in range(10, 16):
            run = ControlRun(seed, voters=3, others=3)
            run.start_and_wait()
            run.network.isolate('h003')
            run.crash(run.leader.name)
            # The checker fails if h003 still holds its lease then.
            run.change('h004', 'new')
            run.run_for(8)
            self.assertThat(run.answers['new'].refusal, Equals(None))

    def test_drifting_clocks(self) -> None:
        """The margin covers fast clocks at voters and slow ones at hosts."""
        for seed in range(20, 24):
            run = ControlRun(seed, voters=3, others=3)
            for host in run.hosts.values():
                host.drift = 0.02 if host in run.voters else -0.02
            run.start_and_wait()
            run.network.isolate('h003')
            # The checker fails if h003 still holds its lease then.
            run.change('h004', 'one')
            run.run_for(4)
            self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_stale_grants_from_unconfirmed_leader(self) -> None:
        """A leader without answers from the voters grants no lease."""
        run = ControlRun(20, voters=3, others=3)
        run.start_and_wait()
        leader = run.leader.name
        for voter in run.voters:
            run.network.cut(voter.name, leader)
        run.run_for(LEASE + MARGIN)
        self.assertThat(run.lease_holders(), Not(Contains(leader)))
        run.run_for(6)
        self.assertThat(len(run.lease_holders()), GreaterThan(4))


class IncarnationTest(TestCase):
    """Hosts that restart under the same name."""

    def test_waits_for_old_lease(self) -> None:
        """A new incarnation joins once the lease of the old one expired."""
        run = ControlRun(30, voters=3, others=2)
        run.start_and_wait()
        killed_at = run.now
        lease_end = run.node('h003').lease.remaining(
            run.hosts['h003'].now,
        )
        run.crash('h003')
        run.start_host('h003')
        while 'h003' not in run.lease_holders():
            run.run_for(0.01)
            self.assertThat(run.now - killed_at, LessThan(5.0))
        self.assertThat(run.now - killed_at, GreaterThan(lease_end))

    def test_given_up_lease(self) -> None:
        """After a planned stop the next incarnation joins at once."""
        run = ControlRun(31, voters=3, others=2)
        run.start_and_wait()
        run.hosts['h003'].stop()
        run.run_for(12)
        self.assertThat(run.hosts['h003'].is_alive, Equals(False))
        started_at = run.now
        run.start_host('h003')
        while 'h003' not in run.lease_holders():
            run.run_for(0.01)
            self.assertThat(run.now - started_at, LessThan(1.0))
