"""Decisions of the leader in a group of control hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, Is, MatchesRegex

from snipejunction.components.rollouts.const import (
    COMPLETED,
    LOST_HOST_SECONDS,
    REPORT_INTERVAL_SECONDS,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)
from snipejunction.components.rollouts.messages import (
    RolloutReport,
    RouteEvidence,
)
from snipejunction.components.rollouts.tables import HostReports
from tests.components.deployment.harness import SEEDS
from tests.components.rollouts.harness import (
    DURATION,
    SERVICE,
    make_cluster,
)

BAD_COUNTS = (60, 20, 700, 2)


class DecidingTest(TestCase):
    """Roll-outs from the order to the end."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = make_cluster(21)
        self.cluster.start_rollout('h1', 'v2')
        self.cluster.run(0.5)

    def state(self) -> int:
        return self.cluster.record().state

    def versions(self) -> list[dict[str, str]]:
        return [
            host.node.deployment.state.rollouts.versions
            for host in self.cluster.running_hosts
        ]

    def test_good(self) -> None:
        """A good target is switched to and completed before the deadline."""
        self.cluster.run_beating(7)
        self.assertThat(self.state(), Equals(RUNNING))
        self.cluster.run_beating(4)
        self.assertThat(self.state(), Equals(COMPLETED))
        self.assertThat(self.cluster.record().reason, Contains('all 3 entry'))
        self.assertThat(
            self.versions(), Equals([{SERVICE: 'v2'} for _ in SEEDS])
        )

    def test_bad(self) -> None:
        """A bad target is rolled back, with the counts as the reason."""
        # No host alone has seen enough of them.
        self.cluster.evidence = RouteEvidence(0, 'r', 8, 3, 200, 1)
        self.cluster.run_beating(1.5)
        self.assertThat(self.state(), Equals(ROLLED_BACK))
        reason = self.cluster.record().reason
        self.assertThat(reason, MatchesRegex('6 of 16 answers|9 of 24 answers'))
        self.assertThat(
            self.versions(), Equals([{SERVICE: 'v1'} for _ in SEEDS])
        )
        self.cluster.evidence = self.cluster.good
        self.cluster.run_beating(12)
        self.assertThat(self.state(), Equals(ROLLED_BACK))

    def test_bad_while_switching(self) -> None:
        """A target that turns bad with all requests is rolled back."""
        self.cluster.busy = [self.cluster.record().number]
        while self.state() == RUNNING:
            self.cluster.run_beating(0.5)
        self.assertThat(self.state(), Equals(SWITCHING))
        self.cluster.evidence = RouteEvidence(0, 'r', 90, 40, 600, 2)
        self.cluster.run_beating(1)
        self.assertThat(self.state(), Equals(ROLLED_BACK))

    def test_busy_host(self) -> None:
        """A busy host delays the end for a bounded time."""
        self.cluster.busy = [self.cluster.record().number]
        while self.state() == RUNNING:
            self.cluster.run_beating(0.5)
        self.cluster.run_beating(LOST_HOST_SECONDS - 0.5)
        self.assertThat(self.state(), Equals(SWITCHING))
        self.cluster.run_beating(1)
        self.assertThat(self.state(), Equals(COMPLETED))

    def test_silent_host(self) -> None:
        """A connected host without reports delays the end, too.

        It may be leaving and connected to any control host.
        """
        leader = self.cluster.leader().name
        control = next(name for name in SEEDS if name != leader)
        self.cluster.connect('e9', control)
        self.cluster.silent.add('e9')
        self.cluster.leaving.add('e9')
        while self.state() == RUNNING:
            self.cluster.run_beating(0.5)
        self.cluster.run_beating(LOST_HOST_SECONDS - 0.5)
        self.assertThat(self.state(), Equals(SWITCHING))
        self.cluster.run_beating(1)
        self.assertThat(self.state(), Equals(COMPLETED))

    def test_no_traffic(self) -> None:
        """A roll-out without any answer ends as good."""
        self.cluster.evidence = RouteEvidence(0, 'r')
        self.cluster.run_beating(11.5)
        self.assertThat(self.state(), Equals(COMPLETED))

    def test_no_searchers(self) -> None:
        """A roll-out without searchers of the target is rolled back."""
        self.cluster = make_cluster(22)
        self.cluster.start_rollout('h1', 'v9')
        self.cluster.run_beating(11)
        self.assertThat(self.state(), Equals(RUNNING))
        self.cluster.run_beating(2)
        self.assertThat(self.state(), Equals(ROLLED_BACK))

    def test_next_leader(self) -> None:
        """The next leader has the evidence after one report of each host."""
        self.cluster.run_beating(3)
        leader = self.cluster.leader().name
        self.cluster.crash(leader)
        self.cluster.evidence = RouteEvidence(0, 'r', *BAD_COUNTS)
        self.cluster.wait_leader()
        self.cluster.run_beating(1.5)
        self.assertThat(self.state(), Equals(ROLLED_BACK))
        self.assertThat(self.cluster.record().reason, Contains('of the target'))

    def test_late_leader(self) -> None:
        """A leader without reports yet does not call a target good."""
        self.cluster.run_beating(7.5)
        self.cluster.crash(self.cluster.leader().name)
        self.cluster.wait_leader()
        led_since = self.cluster.leader().node.rollouts.led_since
        while self.state() == RUNNING:
            self.cluster.run_beating(0.5)
        waited = self.cluster.now - led_since
        self.assertThat(waited >= 2 * REPORT_INTERVAL_SECONDS, Is(True))

    def test_late_leader_without_searchers(self) -> None:
        """A leader that has just started waits for searchers to be heard."""
        self.cluster.run_beating(6)
        for name in SEEDS:
            self.cluster.crash(name)
        self.cluster.run(DURATION)
        for name in SEEDS:
            self.cluster.start(name)
        self.cluster.wait_leader()
        led_since = self.cluster.leader().node.rollouts.led_since
        self.cluster.run(led_since + REPORT_INTERVAL_SECONDS - self.cluster.now)
        self.assertThat(self.state(), Equals(RUNNING))
        self.cluster.run_beating(6)
        self.assertThat(self.state(), Equals(COMPLETED))

    def test_minority(self) -> None:
        """Control hosts that are cut off decide nothing."""
        leader = self.cluster.leader().name
        self.cluster.isolate(leader)
        self.cluster.evidence = RouteEvidence(0, 'r', *BAD_COUNTS)
        for name in self.cluster.entries:
            self.cluster.connect(name, leader)
        self.cluster.run_beating(3)
        record = self.cluster.record(leader)
        self.assertThat(record.state, Equals(RUNNING))
        self.cluster.heal()
        self.cluster.run_beating(3)
        states = {state for _, state in self.cluster.records()}
        self.assertThat(states, Equals({ROLLED_BACK}))

    def test_without_settings(self) -> None:
        """Without bounds of the exposure no version is pinned."""
        cluster = make_cluster(23)
        for name in SEEDS:
            node = cluster.hosts[name].node
            node.rollouts.is_in_force = False
            node.deployment.state.rollouts.versions.clear()
        cluster.run_beating(3)
        versions = cluster.leader().node.deployment.state.rollouts.versions
        self.assertThat(versions, Equals({}))


class HostReportsTest(TestCase):
    """Reports that arrive late, twice or from an earlier start."""

    def setUp(self) -> None:
        super().setUp()
        self.reports = HostReports()

    def add(self, start: str, index: int, total: int, busy=(), now=1.0) -> None:
        evidence = [RouteEvidence(5, 'r', total, 1, 100, 0)]
        report = RolloutReport(f'e1 {start}', index, evidence, list(busy))
        self.reports.add('e1', report, now)

    def total(self) -> int:
        parts = self.reports.sum_evidence()[5]
        return sum(part.target_total for part in parts)

    def test_late_and_twice(self) -> None:
        """Only the newest sums of a start count, and count once."""
        for total in (10, 30, 20, 30):
            self.add('a', 7, total)
        self.assertThat(self.total(), Equals(30))

    def test_two_starts(self) -> None:
        """The sums of an earlier start of a host still count."""
        self.add('a', 7, 10)
        self.add('b', 7, 4, now=2)
        self.add('a', 7, 10, now=3)
        self.assertThat(self.total(), Equals(14))

    def test_earlier_start_switches_nothing(self) -> None:
        """A report of an earlier start doesn't show what a host does now."""
        self.add('a', 9, 10)
        self.add('b', 7, 4, now=2)
        self.add('a', 9, 10, now=3)
        waiting = self.reports.find_waiting(['e1'], 9, 5)
        self.assertThat(waiting, Equals(['e1']))
        self.add('b', 9, 4, busy=[5], now=4)
        waiting = self.reports.find_waiting(['e1'], 9, 5)
        self.assertThat(waiting, Equals(['e1']))
        self.add('b', 9, 4, now=5)
        waiting = self.reports.find_waiting(['e1', 'e2'], 9, 5)
        self.assertThat(waiting, Equals(['e2']))
