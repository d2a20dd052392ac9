"""Tests of the membership of control hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from snipejunction.components.deployment.systems.addressing import (
    find_control_ip,
)
from snipejunction.components.deployment.systems.membership import is_cut_off
from snipejunction.const import GROUP_DEPLOYMENT
from tests.components.deployment.harness import SEEDS, ControlCluster


class FormationTest(TestCase):
    """Formation of the group at the first start."""

    def test_one_group(self) -> None:
        """The seeds form one group and learn their data centres."""
        for seed in range(5):
            cluster = ControlCluster(seed)
            self.assertThat(cluster.voter_names(), Equals(set(SEEDS)))

    def test_no_group_without_first_start(self) -> None:
        """Hosts with wiped disks do not form a new group."""
        cluster = ControlCluster(1)
        for name in SEEDS:
            cluster.wipe(name)
        for name in SEEDS:
            cluster.start(name)
        cluster.run(20)
        self.assertThat(cluster.leader(), Equals(None))


class ReplacingTest(TestCase):
    """Replacement of lost disks and hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlCluster(7)

    def test_wiped_disk(self) -> None:
        """A host with a wiped disk becomes a new voter of the same name."""
        old_id = self.cluster.hosts['h3'].replica.voter_id
        self.cluster.wipe('h3')
        self.cluster.start('h3')
        self.cluster.run(4)
        node = self.cluster.leader().node
        members = node.consensus.members_of(GROUP_DEPLOYMENT)
        ids = {member.voter_id for member in members}
        self.assertThat(ids, Not(Contains(old_id)))
        self.assertThat(self.cluster.voter_names(), Equals(set(SEEDS)))

    def test_other_address(self) -> None:
        """A new host replaces a lost one of its data centre."""
        self.cluster.crash('h2')
        self.cluster.run(1)
        self.cluster.add_host('h4', 'dc1')
        self.cluster.run(6)
        self.assertThat(
            self.cluster.voter_names(),
            Equals({'h1', 'h3', 'h4'}),
        )

    def test_new_one_first(self) -> None:
        """A replacement may join before the old host stops."""
        self.cluster.add_host('h4', 'dc1')
        self.cluster.run(3)
        self.cluster.crash('h2')
        self.cluster.run(6)
        self.assertThat(
            self.cluster.voter_names(),
            Equals({'h1', 'h3', 'h4'}),
        )

    def test_lost_leader(self) -> None:
        """A lost leader is replaced."""
        leader = self.cluster.leader()
        data_centre = leader.settings.identity.data_centre
        self.cluster.crash(leader.name)
        self.cluster.add_host('h4', data_centre)
        self.cluster.run(8)
        voters = self.cluster.voter_names()
        self.assertThat(voters, Not(Contains(leader.name)))
        self.assertThat(voters, Contains('h4'))

    def test_wiped_disks_while_no_seed_leads(self) -> None:
        """Hosts rejoin though the seeds, all that they know, only follow.

        Guards against announcements that followers drop.
        """
        added = ('h4', 'h5', 'h6')
        for number, name in enumerate(added):
            self.cluster.add_host(name, f'dc{number}')
        everyone = {*SEEDS, *added}
        self.cluster.run_until(
            lambda: self.cluster.voter_names() == everyone,
        )
        leader = self.cluster.elect_any_of(added)
        for name in sorted(everyone - {leader})[:3]:
            self.cluster.wipe(name)
            self.cluster.start(name)
            self.cluster.run(9)
            new_id = self.cluster.hosts[name].replica.voter_id
            membership = self.cluster.hosts[leader].replica.membership
            self.assertThat(membership.current.voter_ids, Contains(new_id))
            self.assertThat(self.cluster.voter_names(), Equals(everyone))

    def test_silence_alone_removes_nobody(self) -> None:
        """A silent voter without a replacement is never removed."""
        self.cluster.isolate('h2')
        self.cluster.run(60)
        self.assertThat(self.cluster.voter_names(), Equals(set(SEEDS)))

    def test_acknowledged_survives_wipe_and_minority(self) -> None:
        """A committed change survives a wiped disk of the leader.

        One host missed the change. Only the host that has it may win the
        next election.
        """
        for seed in range(8):
            cluster = ControlCluster(seed)
            leader = cluster.leader().name
            behind, other = [name for name in SEEDS if name != leader]
            cluster.isolate(behind)
            cluster.accept(leader, 5, b'five')
            cluster.wipe(leader)
            cluster.crash(other)
            cluster.heal()
            cluster.start(leader)
            cluster.run(5)
            self.assertThat(cluster.leader(), Equals(None))
            cluster.start(other)
            cluster.wait_leader()
            self.assertThat(cluster.read(other).content, Equals(b'five'))


class CutOffTest(TestCase):
    """Control hosts that are isolated from the others."""

    def test_cut_off(self) -> None:
        """A host detects the loss and the return of a leader."""
        cluster = ControlCluster(3)
        name = next(seed for seed in SEEDS if seed != cluster.leader().name)
        cluster.isolate(name)
        cluster.run(4)
        node = cluster.hosts[name].node
        self.assertThat(is_cut_off(node, cluster.now), Equals(True))
        cluster.heal()
        cluster.run(3)
        self.assertThat(is_cut_off(node, cluster.now), Equals(False))

    def test_control_host_of_a_data_centre(self) -> None:
        """A searcher gets the control host of its data centre."""
        cluster = ControlCluster(4)
        node = cluster.hosts['h1'].node
        self.assertThat(find_control_ip(node, 'dc0', ()), Equals('127.0.0.1'))
        self.assertThat(
            find_control_ip(node, 'dc1', {'h2'}), Equals('127.0.0.1')
        )
        self.assertThat(find_control_ip(node, 'dc1', {'h3'}), Equals(None))
