"""Tests of leases over the real log on virtual time."""

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
        """Voters and others get leases and one settled view."""
        run = ControlRun(1, voters=3, others=8)
        run.begin(2)
        self.assertThat(run.held(), HasLength(11))
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.current.hosts, HasLength(11))
            self.assertThat(view.settled, Equals(view.revision))


class IsolationTest(TestCase):
    """Hosts that are cut off in silence."""

    def test_leader_ten_minutes(self) -> None:
        """A cut-off leader grants nothing and comes back as a follower."""
        self._isolate(2, is_leader=True)

    def test_follower_ten_minutes(self) -> None:
        """A cut-off follower does not unseat the leader at its return."""
        self._isolate(3, is_leader=False)

    def test_restart_beside_cut_off_leader(self) -> None:
        """A diskless host that reaches only an old leader serves nothing."""
        run = ControlRun(4, voters=3, others=3)
        run.begin()
        old = run.leader.name
        together = {old, 'h003'}
        for name in run.hosts:
            for other in together:
                if name not in together:
                    run.network.cut(name, other)
                    run.network.cut(other, name)
        run.go(5)
        run.change('h004', 'after')
        run.go(5)
        self.assertThat(run.answers['after'].refusal, Equals(None))
        run.crash('h003')
        run.start_host('h003')
        for _ in range(100):
            run.go(0.2)
            self.assertThat(run.held(), Not(Contains('h003')))
        run.network.heal_all()
        run.go(8)
        self.assertThat(run.held(), HasLength(6))

    def test_one_way_cut_from_leader(self) -> None:
        """A host whose grants are lost holds no lease."""
        run = ControlRun(5, voters=3, others=3)
        run.begin()
        for voter in run.voters:
            run.network.cut(voter.name, 'h003')
        run.go(LEASE + MARGIN)
        self.assertThat(run.held(), Not(Contains('h003')))
        run.change('h004', 'meanwhile')
        run.go(6)
        self.assertThat(run.answers['meanwhile'].refusal, Equals(None))

    def test_lost_quorum(self) -> None:
        """Without a quorum no host holds a lease for longer than one."""
        run = ControlRun(6, voters=3, others=3)
        run.begin()
        run.crash('v0')
        run.crash('v1')
        run.go(LEASE + MARGIN)
        self.assertThat(run.held(), Equals([]))

    def test_lease_lost_is_told_once(self) -> None:
        """The end of the lease gives one notice."""
        run = ControlRun(7, voters=3, others=1)
        run.begin()
        told = []
        original = renewals.LeaseLost
        self.patch(
            renewals,
            'LeaseLost',
            lambda: told.append(run.now) or original(),
        )
        run.network.isolate('h003')
        run.go(30)
        self.assertThat(told, HasLength(1))

    def _isolate(self, seed: int, is_leader: bool) -> None:
        run = ControlRun(seed, voters=3, others=3)
        run.begin()
        lost = run.leader.name
        if not is_leader:
            lost = next(host.name for host in run.voters if host.name != lost)
        term = run.leader_term
        run.network.isolate(lost)
        run.go(LEASE + MARGIN)
        self.assertThat(run.held(), Not(Contains(lost)))
        for minute in range(10):
            run.change('h003', f'minute-{minute}')
            run.go(60)
            self.assertThat(
                run.answers[f'minute-{minute}'].refusal, Equals(None)
            )
            self.assertThat(run.held(), Not(Contains(lost)))
        leader = run.leader.name
        new_term = run.leader_term
        run.network.rejoin(lost)
        run.go(10)
        self.assertThat(run.held(), HasLength(6))
        self.assertThat(run.leader.name, Equals(leader))
        self.assertThat(run.leader_term, Equals(new_term))
        if not is_leader:
            self.assertThat(new_term, Equals(term))


class GrantTest(TestCase):
    """Grants that come late, twice or for another start."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlRun(8, voters=1, others=1)
        self.cluster.begin()
        self.host = self.cluster.hosts['h001']
        self.cluster.network.isolate('h001')
        self.node = self.host.core.node
        # Renewals go out and are lost; their ids stay outstanding.
        self.cluster.go(0.6)
        self.last_id = max(self.node.control.renewals._outstanding)

    def test_late_grant(self) -> None:
        """A grant counts from when its renewal was sent."""
        sent = self.node.control.renewals._outstanding[self.last_id]
        self.cluster.go(1.0)
        self._grant(self.last_id, self.node.identity.incarnation)
        self.assertThat(self.node.lease.held_until, Equals(sent + LEASE))

    def test_doubled_grant(self) -> None:
        """The second copy of a grant extends nothing."""
        incarnation = self.node.identity.incarnation
        self._grant(self.last_id, incarnation)
        until = self.node.lease.held_until
        self.cluster.go(1.5)
        self._grant(self.last_id, incarnation)
        self.assertThat(self.node.lease.held_until, Equals(until))

    def test_grant_for_earlier_start(self) -> None:
        """A grant for another incarnation is ignored."""
        until = self.node.lease.held_until
        self._grant(self.last_id, 'h001#0')
        self.assertThat(self.node.lease.held_until, Equals(until))

    def test_very_late_grant(self) -> None:
        """A grant later than its lease gives none."""
        incarnation = self.node.identity.incarnation
        self.cluster.go(3)
        self._grant(self.last_id, incarnation)
        self.assertThat(self.node.lease.is_held(self.host.now), Equals(False))

    def _grant(self, renewal_id: int, incarnation: str) -> None:
        message = LeaseGranted(renewal_id, incarnation, LEASE, 0, 0)
        message.sender = 'v0'
        self.host.receive(message)


class NewLeaderTest(TestCase):
    """Leases that an earlier leader granted."""

    def test_waits_for_unknown_leases(self) -> None:
        """A new leader accepts nothing while an old lease may be held."""
        for seed in range(10, 16):
            run = ControlRun(seed, voters=3, others=3)
            run.begin()
            run.network.isolate('h003')
            run.crash(run.leader.name)
            # The watch fails if h003 still holds its lease then.
            run.change('h004', 'new')
            run.go(8)
            self.assertThat(run.answers['new'].refusal, Equals(None))

    def test_drifting_clocks(self) -> None:
        """The margin covers a fast clock here and a slow one there."""
        for seed in range(20, 24):
            run = ControlRun(seed, voters=3, others=3)
            for host in run.hosts.values():
                host.drift = 0.02 if host in run.voters else -0.02
            run.begin()
            run.network.isolate('h003')
            # The watch fails if h003 still holds its lease then.
            run.change('h004', 'one')
            run.go(4)
            self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_stale_grants_from_unconfirmed_leader(self) -> None:
        """A leader that only receives grants nothing."""
        run = ControlRun(20, voters=3, others=3)
        run.begin()
        leader = run.leader.name
        for voter in run.voters:
            run.network.cut(voter.name, leader)
        run.go(LEASE + MARGIN)
        self.assertThat(run.held(), Not(Contains(leader)))
        run.go(6)
        self.assertThat(len(run.held()), GreaterThan(4))


class IncarnationTest(TestCase):
    """Hosts that start again under the same name."""

    def test_waits_for_old_lease(self) -> None:
        """The new start joins after the lease of the old one ran out."""
        run = ControlRun(30, voters=3, others=2)
        run.begin()
        killed_at = run.now
        lease_end = run.node('h003').lease.remaining(
            run.hosts['h003'].now,
        )
        run.crash('h003')
        run.start_host('h003')
        while 'h003' not in run.held():
            run.go(0.01)
            self.assertThat(run.now - killed_at, LessThan(5.0))
        self.assertThat(run.now - killed_at, GreaterThan(lease_end))

    def test_given_up_lease(self) -> None:
        """After a planned stop the next start joins at once."""
        run = ControlRun(31, voters=3, others=2)
        run.begin()
        run.hosts['h003'].stop()
        run.go(12)
        self.assertThat(run.hosts['h003'].is_alive, Equals(False))
        started_at = run.now
        run.start_host('h003')
        while 'h003' not in run.held():
            run.go(0.01)
            self.assertThat(run.now - started_at, LessThan(1.0))
