"""Tests of orders and reads of operators."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.consensus.conditional import (
    UNCONDITIONAL,
    Revisions,
)
from snipejunction.components.deployment.machine import DeploymentMachine
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderResult,
    ReadConfirmed,
    ReadResult,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.helpers.wire import encode
from tests.components.deployment.harness import SEEDS, ControlCluster


class OrdersTest(TestCase):
    """Orders sent to any control host."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlCluster(11)

    def states(self) -> set[tuple[int, bytes]]:
        states = [
            host.node.deployment.state for host in self.cluster.running_hosts
        ]
        return {
            (state.version, unpack_document(state.content)) for state in states
        }

    def test_accepted_everywhere(self) -> None:
        """An order sent to any host is applied at all hosts."""
        for version, name in enumerate(SEEDS, start=1):
            self.cluster.accept(name, version, b'%d' % version)
        self.cluster.run(1)
        self.assertThat(self.states(), Equals({(3, b'3')}))

    def test_highest_version_holds(self) -> None:
        """Lower and equal versions are accepted without a change."""
        self.cluster.accept('h1', 5, b'first')
        self.cluster.accept('h2', 5, b'other')
        self.cluster.accept('h3', 4, b'older')
        self.cluster.run(1)
        self.assertThat(self.states(), Equals({(5, b'first')}))

    def test_race(self) -> None:
        """All hosts keep the same one of two documents of one version."""
        for seed in range(6):
            cluster = ControlCluster(seed)
            cluster.put('h1', 9, b'one')
            cluster.put('h2', 9, b'two')
            cluster.run(2)
            held = {
                unpack_document(host.node.deployment.state.content)
                for host in cluster.running_hosts
            }
            self.assertThat(len(held), Equals(1))
            self.assertThat(held <= {b'one', b'two'}, Is(True))

    def test_drains_in_order(self) -> None:
        """The last order for a data centre wins."""
        for is_out in (True, False, True):
            call_id = self.cluster.order('h2', DrainEntry('dc1', is_out))
            self.cluster.run(1)
            accepted = self.cluster.is_accepted('h2', call_id)
            self.assertThat(accepted, Is(True))
        drains = [
            host.node.deployment.state.drained
            for host in self.cluster.running_hosts
        ]
        self.assertThat(drains, Equals([{'dc1': True} for _ in SEEDS]))

    def test_power_loss_of_all(self) -> None:
        """An accepted document survives a power loss of all hosts."""
        for seed in range(6):
            cluster = ControlCluster(seed)
            cluster.accept('h2', 3, b'kept')
            for name in SEEDS:
                cluster.crash(name)
            for name in SEEDS:
                cluster.start(name)
            cluster.wait_leader()
            answer = cluster.read('h1')
            self.assertThat(answer.content, Equals(b'kept'))


class OvertakenTest(TestCase):
    """Orders that waited while their sender went to another host."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlCluster(12)

    def result(self, name: str, is_out: bool, base: int) -> OrderResult:
        """Order a drain with a base; return the result."""
        entry = DrainEntry('dc1', is_out, base)
        call_id = self.cluster.order(name, entry)
        self.cluster.run(1)
        return next(
            output
            for output in self.cluster.hosts[name].outputs
            if isinstance(output, OrderResult) and output.call_id == call_id
        )

    def drained(self) -> list[bool]:
        """Return whether the data centre is out, by host."""
        return [
            host.node.deployment.state.drained['dc1']
            for host in self.cluster.running_hosts
        ]

    def revisions(self) -> set[int]:
        """Return the revisions of the data centre at all hosts."""
        return {
            host.node.deployment.state.revisions.of('data centre dc1')
            for host in self.cluster.running_hosts
        }

    def check_stale(self, name: str, is_out: bool) -> None:
        """An order from before both of its successors changes nothing."""
        base = max(self.revisions())
        for successor in (is_out, not is_out):
            newest = self.result('h2', successor, max(self.revisions()))
            self.assertThat(newest.is_accepted, Is(True))
        revisions = self.revisions()
        stale = self.result(name, is_out, base)
        self.assertThat(stale.is_accepted, Is(False))
        self.assertThat({stale.overtaken_by}, Equals(revisions))
        self.assertThat(self.drained(), Equals([not is_out for _ in SEEDS]))
        self.assertThat(self.revisions(), Equals(revisions))

    def test_both_directions(self) -> None:
        """An acknowledged start outlasts an older end, and the reverse."""
        for name in SEEDS:
            for is_out in (True, False):
                self.check_stale(name, is_out)

    def test_repeated(self) -> None:
        """An order that agrees with the state is acknowledged again."""
        first = self.result('h1', True, 0)
        revision = max(self.revisions())
        again = self.result('h3', True, 0)
        accepted = (first.is_accepted, again.is_accepted)
        self.assertThat(accepted, Equals((True, True)))
        self.assertThat(min(self.revisions()) > revision, Is(True))

    def test_earlier_release(self) -> None:
        """Orders without a base are applied."""
        for is_out in (True, False):
            answer = self.result('h2', is_out, UNCONDITIONAL)
            self.assertThat(answer.is_accepted, Is(True))
            self.assertThat(self.drained(), Equals([is_out for _ in SEEDS]))
        entry = DrainEntry('dc1', is_out=True)
        self.assertThat(encode(entry), Equals(b'\x94\x01\xcc\x8d\xa3dc1\xc3'))

    def test_snapshot(self) -> None:
        """Revisions come back from a snapshot."""
        self.result('h1', True, 0)
        self.result('h1', False, max(self.revisions()))
        host = self.cluster.hosts['h2']
        snapshot = host.replica.machine.snapshot()
        revisions = self.revisions()
        host.node.deployment.state.revisions = Revisions()
        restored = DeploymentMachine().restore(
            host.node, snapshot, 9, self.cluster.now
        )
        list(restored)
        self.assertThat(self.revisions(), Equals(revisions))

    def test_power_loss_of_all(self) -> None:
        """Revisions outlast a restart of all hosts."""
        base = max(self.revisions())
        self.result('h1', True, base)
        newest = self.result('h1', False, max(self.revisions()))
        self.assertThat(newest.is_accepted, Is(True))
        for name in SEEDS:
            self.cluster.crash(name)
        for name in SEEDS:
            self.cluster.start(name)
        self.cluster.wait_leader()
        self.cluster.run(2)
        stale = self.result('h2', True, base)
        self.assertThat(stale.overtaken_by, Equals(max(self.revisions())))

    def test_thawed_leader(self) -> None:
        """An order that a cut-off leader proposed does not come back."""
        leader = self.cluster.leader().name
        others = [name for name in SEEDS if name != leader]
        self.cluster.isolate(leader)
        base = max(self.revisions())
        self.cluster.order(leader, DrainEntry('dc1', True, base))
        # The others elect a leader.
        self.cluster.run(5)
        for is_out in (True, False):
            newest = self.result(others[0], is_out, max(self.revisions()))
            self.assertThat(newest.is_accepted, Is(True))
        self.cluster.heal()
        self.cluster.run(5)
        self.assertThat(self.drained(), Equals([False for _ in SEEDS]))


class ReadsTest(TestCase):
    """Linearizable reads."""

    def answers(self, name: str, call_id: int) -> list[bytes | None]:
        return [
            output.content
            for output in self.cluster.hosts[name].outputs
            if isinstance(output, ReadResult) and output.call_id == call_id
        ]

    def test_cut_off_leader(self) -> None:
        """An isolated leader answers no reads."""
        cluster = ControlCluster(5)
        cluster.accept('h1', 1, b'old')
        leader = cluster.leader().name
        cluster.isolate(leader)
        self.assertThat(cluster.read(leader), Is(None))
        other = next(name for name in SEEDS if name != leader)
        cluster.accept(other, 2, b'new')
        self.assertThat(cluster.read(leader), Is(None))
        cluster.heal()
        cluster.run(2)
        self.assertThat(cluster.read(leader).content, Equals(b'new'))

    def test_any_host(self) -> None:
        """Every host answers with the newest document."""
        cluster = ControlCluster(6)
        cluster.accept('h3', 8, b'eight')
        for name in SEEDS:
            self.assertThat(cluster.read(name).version, Equals(8))

    def test_waits_for_the_log(self) -> None:
        """A host answers after it has applied the leader's index."""
        self.cluster = ControlCluster(7)
        self.cluster.accept('h1', 1, b'old')
        host = self.cluster.hosts['h2']
        settled = ReadConfirmed(900, host.node.deployment.state.index + 1)
        settled.sender = self.cluster.leader().name
        self.cluster.process(host, settled)
        self.assertThat(self.answers('h2', 900), Equals([]))
        self.cluster.accept('h1', 2, b'new')
        self.cluster.run(1)
        self.assertThat(self.answers('h2', 900), Equals([b'new']))


class MachineTest(TestCase):
    """The state machine of the deployment group."""

    def test_first_content_of_a_version_holds(self) -> None:
        """If two hosts propose the same version, the first one wins."""
        cluster = ControlCluster(2)
        leader = cluster.leader()
        machine = DeploymentMachine()
        for index, content in enumerate((b'first', b'other'), start=90):
            payload = encode(DocumentEntry(5, content))
            list(machine.apply(leader.node, index, 1, payload, cluster.now))
        state = leader.node.deployment.state
        self.assertThat(state.content, Equals(b'first'))
        self.assertThat(state.index, Equals(91))
