"""Tests of a roll-out over several entry hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.rollouts.const import (
    COMPLETED,
    EVENT_TARGET_STOPPED,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)
from tests.components.rollouts.fleet import (
    BEHAVIOURS,
    BOUNDS,
    CURRENT,
    TARGET,
    TARGETS,
    RolloutFleet,
)

_HOSTS = 8
# More hosts than the slack has requests.
_MANY_HOSTS = 40


class ExposureTest(TestCase):
    """What all hosts together send to the target."""

    def test_bounds(self) -> None:
        """Restarts, a cut and a new host keep the bounds at any moment."""
        for seed, behaviour in enumerate(BEHAVIOURS):
            fleet = RolloutFleet(_HOSTS, behaviour, seed)
            fleet.run(1)
            self.assertThat(fleet.count(TARGET), Equals(0))
            ordered_at = fleet.now
            fleet.move_to(RUNNING)
            fleet.cut.add('h1')
            for name in ('h0', 'h8', 'h0'):
                fleet.run(4)
                fleet.add_host(name)
            fleet.run(2)
            excess = fleet.largest_excess(ordered_at)
            self.assertThat(excess, LessThan(BOUNDS.slack), behaviour)
            self.assertThat(fleet.count(TARGET), GreaterThan(30), behaviour)

    def test_shared_slack(self) -> None:
        """Some hosts try the target though there is little for each."""
        fleet = RolloutFleet(_MANY_HOSTS, 'good', 1)
        fleet.move_to(RUNNING)
        fleet.run(3, rate=80)
        self.assertThat(fleet.count(TARGET), GreaterThan(15))
        self.assertThat(fleet.largest_excess(0), LessThan(BOUNDS.slack))

    def test_dead(self) -> None:
        """Hosts stop using a dead target; callers get other answers."""
        fleet = RolloutFleet(2, 'dead', 2)
        # Hosts that have just started may send few repeats.
        fleet.run(10)
        fleet.move_to(RUNNING)
        fleet.run(10)
        self.assertThat(fleet.count_events(EVENT_TARGET_STOPPED), Equals(2))
        self.assertThat(fleet.count(TARGET), LessThan(20))
        self.assertThat(set(fleet.statuses), Equals({200}))


class EvidenceTest(TestCase):
    """What hosts report of versions that behave differently."""

    def bad_by_route(self, behaviour: str) -> tuple[int, int]:
        """Return the bad answers of the target on each of two routes."""
        fleet = RolloutFleet(3, behaviour, 4)
        # Medians of the routes are known before an order.
        fleet.run(3)
        fleet.move_to(RUNNING)
        fleet.run(10)
        bad = {'r': 0, 'r2': 0}
        for name in fleet.names:
            for counts in fleet.report(name).evidence:
                bad[counts.route] += counts.target_bad
                self.assertThat(counts.current_bad, Equals(0))
        return bad['r'], bad['r2']

    def test_by_route(self) -> None:
        """Failures and slow answers count where they are."""
        self.assertThat(self.bad_by_route('good'), Equals((0, 0)))
        for behaviour in ('failing', 'slow', 'late'):
            least = min(self.bad_by_route(behaviour))
            self.assertThat(least, GreaterThan(4), behaviour)
        good, bad = self.bad_by_route('one route')
        self.assertThat(good, Equals(0))
        self.assertThat(bad, GreaterThan(4))


class StatesTest(TestCase):
    """Versions that get requests in the states of a roll-out."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = RolloutFleet(_HOSTS, 'good', 5)
        self.fleet.move_to(RUNNING)
        self.fleet.run(3)

    def test_rolled_back(self) -> None:
        """Nothing goes to the target from then on, except from a cut host."""
        self.fleet.move_to(SWITCHING)
        self.fleet.run(1)
        self.fleet.cut.add('h1')
        rolled_back_at = self.fleet.now
        self.fleet.move_to(ROLLED_BACK)
        self.fleet.run(3)
        late = {
            host
            for when, host, version in self.fleet.sends
            if version == TARGET and when > rolled_back_at
        }
        self.assertThat(late, Equals({'h1'}))

    def test_replaced(self) -> None:
        """Nothing goes to replaced searchers after the report that says so."""
        self.fleet.move_to(SWITCHING)
        self.fleet.run(2)
        self.assertThat(set(self.fleet.done_at), Equals(set(self.fleet.names)))
        for table in self.fleet.tables.values():
            for searcher in TARGETS:
                table.upstreams[searcher].refused_until = self.fleet.now + 1
        self.fleet.run(2)
        self.fleet.move_to(COMPLETED)
        self.fleet.run(2)
        late = [
            host
            for when, host, version in self.fleet.sends
            if version == CURRENT and when > self.fleet.done_at[host]
        ]
        self.assertThat(late, Equals([]))

    def test_without_target(self) -> None:
        """The current version goes on while no target is usable."""
        switched_at = self.fleet.now
        for table in self.fleet.tables.values():
            for searcher in TARGETS:
                table.upstreams[searcher].cold_until = switched_at + 60
        self.fleet.move_to(SWITCHING)
        self.fleet.run(2)
        count = self.fleet.count(CURRENT, switched_at)
        self.assertThat(count, GreaterThan(200))
        self.assertThat(self.fleet.done_at, Equals({}))
        self.assertThat(self.fleet.report('h0').busy, Equals([7]))
