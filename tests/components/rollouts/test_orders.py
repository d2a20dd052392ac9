"""Orders of roll-outs, and the state that they leave."""

from __future__ import annotations

import msgpack
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is, Not

from snipejunction.components.deployment.machine import DeploymentMachine
from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    OrderCommitted,
    OrderResult,
)
from snipejunction.components.rollouts.const import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)
from snipejunction.components.rollouts.messages import (
    RolloutStartEntry,
    RolloutStateEntry,
)
from snipejunction.components.rollouts.tables import (
    RolloutState,
    unpack_rollouts,
)
from snipejunction.helpers.wire import decode, encode
from tests.components.deployment.harness import SEEDS
from tests.components.rollouts.harness import DURATION, SERVICE, make_cluster


class StateTest(TestCase):
    """The replicated state."""

    def setUp(self) -> None:
        super().setUp()
        self.state = RolloutState()
        self.state.pin({SERVICE: 'v1'})

    def start(self, target: str, index: int, ordered_ms: int = 1000):
        entry = RolloutStartEntry(SERVICE, target, 12.0, ordered_ms)
        return self.state.start(entry, index)

    def move(self, number: int, state: int):
        return self.state.move(RolloutStateEntry(SERVICE, number, state, 'x'))

    def test_states_go_forward(self) -> None:
        """Neither an ended roll-out nor an earlier state comes back."""
        self.start('v2', 5)
        self.assertThat(self.move(5, COMPLETED), Is(None))
        self.move(5, SWITCHING)
        self.assertThat(self.move(5, RUNNING), Is(None))
        self.move(5, COMPLETED)
        for state in (RUNNING, SWITCHING, ROLLED_BACK):
            self.assertThat(self.move(5, state), Is(None))
        self.assertThat(self.state.versions, Equals({SERVICE: 'v2'}))

    def test_other_number(self) -> None:
        """A decision on an earlier roll-out does not touch the next one."""
        self.start('v2', 5)
        self.move(5, ROLLED_BACK)
        self.start('v3', 9)
        self.assertThat(self.move(5, ROLLED_BACK), Is(None))
        self.assertThat(self.state.records[SERVICE].state, Equals(RUNNING))

    def test_repeated(self) -> None:
        """The same order changes nothing until some time after its end."""
        self.start('v2', 5)
        self.assertThat(self.start('v2', 6, 5000), Is(None))
        self.move(5, ROLLED_BACK)
        self.assertThat(self.start('v2', 7, 21000), Is(None))
        self.assertThat(self.start('v2', 8, 24000).number, Equals(8))

    def test_conflict(self) -> None:
        """Another target is refused while a roll-out is in progress."""
        self.start('v2', 5)
        self.assertThat(self.start('v3', 6), Is(None))
        self.move(5, SWITCHING)
        self.assertThat(self.start('v3', 7), Is(None))
        self.move(5, COMPLETED)
        self.assertThat(self.start('v3', 8).number, Equals(8))

    def test_current_version(self) -> None:
        """An order of the current version is completed at once."""
        record = self.start('v1', 5)
        self.assertThat(record.state, Equals(COMPLETED))

    def test_pinned_once(self) -> None:
        """A pinned version stays."""
        self.assertThat(self.state.pin({SERVICE: 'v9'}), Equals({}))
        self.assertThat(self.state.versions, Equals({SERVICE: 'v1'}))

    def test_packed(self) -> None:
        """The state comes back from its packed form."""
        self.start('v2', 5)
        copy = unpack_rollouts(self.state.pack())
        self.assertThat(copy.records, Equals(self.state.records))
        self.assertThat(copy.versions, Equals(self.state.versions))


class WireTest(TestCase):
    """Messages that earlier releases know."""

    def test_without_rollouts(self) -> None:
        """Messages without roll-outs are the same as before."""
        update = DeploymentUpdate(7, 2, b'c', {'z': True})
        self.assertThat(
            encode(update),
            Equals(b'\x96\x01\xcc\x92\x07\x02\xc4\x01c\x81\xa1z\xc3'),
        )
        self.assertThat(decode(encode(update)), Equals(update))
        committed = OrderCommitted(3)
        self.assertThat(encode(committed), Equals(b'\x93\x01\xcc\x8f\x03'))

    def test_with_versions(self) -> None:
        """Versions and roll-outs reach the entry hosts."""
        state = RolloutState()
        record = state.start(RolloutStartEntry('s', 'v2', 12.0, 1), 4)
        update = DeploymentUpdate(7, 2, b'c', {}, [record], {'s': 'v1'})
        self.assertThat(decode(encode(update)), Equals(update))


class OvertakenTest(TestCase):
    """Orders that waited while their sender went to another host."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = make_cluster(4)

    def result(self, name: str, target: str, base: int) -> OrderResult:
        """Order a roll-out with a base; return the result."""
        entry = RolloutStartEntry(
            SERVICE, target, DURATION, self.cluster.unix_ms(), base
        )
        call_id = self.cluster.order(name, entry)
        self.cluster.run(1)
        outcome = self.cluster.outcome(name, call_id)
        self.assertThat(outcome, Not(Is(None)))
        return outcome

    def revision(self) -> int:
        """Return the revision of the service at the leader."""
        state = self.cluster.leader().node.deployment.state
        return state.revisions.of(f'roll-out of {SERVICE}')

    def end_rollout(self) -> None:
        """Run until the roll-out that is in progress has ended."""
        ended = (COMPLETED, ROLLED_BACK)
        self.cluster.run_until(lambda: self.cluster.record().state in ended)
        # Until then the same order counts as repeated.
        self.cluster.run(2 * DURATION)

    def test_stale(self) -> None:
        """An order from before a later one starts nothing after its end."""
        for target in ('v2', 'v1'):
            base = self.revision()
            newest = self.result('h1', target, base)
            self.assertThat(newest.is_accepted, Is(True))
            self.end_rollout()
        number = self.cluster.record().number
        for name in SEEDS:
            stale = self.result(name, 'v2', base)
            self.assertThat(stale.overtaken_by, Equals(self.revision()))
        self.assertThat(self.cluster.record().number, Equals(number))
        answer = self.result('h2', 'v2', self.revision())
        self.assertThat(answer.is_accepted, Is(True))

    def test_repeated(self) -> None:
        """An order is acknowledged again while it is in progress."""
        for name in SEEDS:
            answer = self.result(name, 'v2', 0)
            self.assertThat(answer.is_accepted, Is(True))

    def test_conflict(self) -> None:
        """An order that is in conflict overtakes no other."""
        self.result('h1', 'v2', 0)
        revision = self.revision()
        refused = self.result('h2', 'v3', revision)
        self.assertThat(refused.conflict, Not(Equals('')))
        self.assertThat(self.revision(), Equals(revision))


class MachineTest(TestCase):
    """Snapshots of the state machine."""

    def test_snapshot(self) -> None:
        """A roll-out comes back from a snapshot, with its age."""
        cluster = make_cluster(3)
        call_id = cluster.start_rollout('h1', 'v2')
        cluster.run(3)
        self.assertThat(cluster.outcome('h1', call_id).is_accepted, Is(True))
        snapshot = cluster.hosts['h2'].replica.machine.snapshot()
        cluster.crash('h2')
        cluster.start('h2')
        node = cluster.hosts['h2'].node
        list(DeploymentMachine().restore(node, snapshot, 9, cluster.now))
        self.assertThat(cluster.record('h2'), Equals(cluster.record('h1')))
        started_at = node.rollouts.progress[SERVICE].started_at
        self.assertThat(round(cluster.now - started_at, 2), Equals(3.0))

    def test_earlier_snapshot(self) -> None:
        """A snapshot without roll-outs still loads."""
        cluster = make_cluster(4)
        node = cluster.hosts['h1'].node
        fields = [9, 1, b'', {}, 9, []]
        packed = bytes(msgpack.packb(fields))
        list(DeploymentMachine().restore(node, packed, 9, cluster.now))
        self.assertThat(node.deployment.state.rollouts.records, Equals({}))

    def test_clock_that_jumped(self) -> None:
        """An age read from another clock lies within the duration."""
        cluster = make_cluster(5)
        for jump_ms in (-(10**9), 10**9):
            cluster.start_rollout('h1', 'v2', cluster.unix_ms() + jump_ms)
            cluster.run(1)
            record = cluster.record('h1')
            cluster.crash('h3')
            cluster.start('h3')
            table = cluster.hosts['h3'].node.rollouts
            progress = table.note_record(record, 1, cluster.now)
            age = cluster.now - progress.started_at
            self.assertThat(0 <= age <= DURATION, Is(True))


class OrdersTest(TestCase):
    """Orders at any control host."""

    def test_race(self) -> None:
        """One of two operators wins at all hosts, the other is told so."""
        for seed in range(6):
            cluster = make_cluster(seed)
            calls = {
                name: cluster.start_rollout(name, target)
                for name, target in (('h1', 'v2'), ('h2', 'v3'))
            }
            cluster.run(1)
            outcomes = [cluster.outcome(*call) for call in calls.items()]
            accepted = [outcome.is_accepted for outcome in outcomes]
            self.assertThat(sorted(accepted), Equals([False, True]))
            winner = ('v2', 'v3')[accepted.index(True)]
            self.assertThat(cluster.record().target, Equals(winner))
            loser = outcomes[accepted.index(False)]
            self.assertThat(loser.conflict, Contains('is in progress'))
            self.assertThat(len(set(cluster.records())), Equals(1))

    def test_repeated(self) -> None:
        """A repeated order is acknowledged by any host."""
        cluster = make_cluster(2)
        for name in SEEDS:
            call_id = cluster.start_rollout(name, 'v2')
            cluster.run(1)
            self.assertThat(
                cluster.outcome(name, call_id).is_accepted, Is(True)
            )
        self.assertThat(len(set(cluster.records())), Equals(1))

    def test_leader_dies_before_commit(self) -> None:
        """An order that is not committed is not acknowledged."""
        cluster = make_cluster(8)
        leader = cluster.leader().name
        cluster.isolate(leader)
        call_id = cluster.start_rollout(leader, 'v2')
        cluster.run(1)
        self.assertThat(cluster.outcome(leader, call_id), Is(None))
        cluster.crash(leader)
        cluster.heal()
        cluster.wait_leader()
        self.assertThat(cluster.record(), Is(None))
        other = cluster.leader().name
        call_id = cluster.start_rollout(other, 'v2')
        cluster.run(1)
        self.assertThat(cluster.outcome(other, call_id).is_accepted, Is(True))

    def test_leader_dies_after_commit(self) -> None:
        """The next leader has the record and acknowledges the order again."""
        cluster = make_cluster(9)
        leader = cluster.leader().name
        cluster.start_rollout(leader, 'v2')
        cluster.run(1)
        number = cluster.record().number
        cluster.crash(leader)
        other = cluster.wait_leader().name
        call_id = cluster.start_rollout(other, 'v2')
        cluster.run(1)
        self.assertThat(cluster.outcome(other, call_id).is_accepted, Is(True))
        self.assertThat(cluster.record().number, Equals(number))

    def test_power_loss_of_all(self) -> None:
        """A roll-out goes on after a loss of all power."""
        cluster = make_cluster(10)
        cluster.start_rollout('h1', 'v2')
        cluster.run(5)
        number = cluster.record().number
        for name in SEEDS:
            cluster.crash(name)
        for name in SEEDS:
            cluster.start(name)
        cluster.wait_leader()
        self.assertThat(cluster.record().number, Equals(number))
        progress = cluster.leader().node.rollouts.progress[SERVICE]
        age = cluster.now - progress.started_at
        self.assertThat(age >= 5, Is(True))
