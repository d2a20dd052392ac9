"""Tests of a roll-out over several entry hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

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
    RolloutFleet,
)

_HOSTS = 8
# More hosts than the slack has requests.
_MANY_HOSTS = 40


class ExposureTest(TestCase):
    """What all hosts together send to the target."""

    def test_bounds(self) -> None:
        """A restart, a cut and a new host keep the bounds."""
        for seed, behaviour in enumerate(BEHAVIOURS):
            fleet = RolloutFleet(_HOSTS, behaviour, seed)
            fleet.run(1)
            self.assertThat(fleet.count(TARGET), Equals(0))
            ordered_at = fleet.now
            fleet.move_to(RUNNING)
            fleet.cut.add('h1')
            fleet.run(4)
            fleet.restart_host('h0')
            fleet.add_host('h8')
            fleet.run(4)
            fleet.restart_host('h0')
            fleet.run(4)
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

    def test_stopped(self) -> None:
        """Each host stops using a dead target by itself."""
        fleet = RolloutFleet(2, 'dead', 2)
        fleet.move_to(RUNNING)
        fleet.run(10)
        self.assertThat(fleet.count_events(EVENT_TARGET_STOPPED), Equals(2))
        self.assertThat(fleet.count(TARGET), LessThan(20))

    def test_answers(self) -> None:
        """Callers of a failing target get the answers of the old version."""
        fleet = RolloutFleet(_HOSTS, 'failing', 3)
        # Hosts that have just started may send few repeats.
        fleet.run(10)
        fleet.move_to(RUNNING)
        fleet.run(5)
        self.assertThat(set(fleet.statuses), Equals({200}))


class EvidenceTest(TestCase):
    """What hosts report of versions that behave differently."""

    def bad_by_route(self, behaviour: str) -> dict[str, tuple[int, int]]:
        fleet = RolloutFleet(3, behaviour, 4)
        # Medians of the routes are known before an order.
        fleet.run(3)
        fleet.move_to(RUNNING)
        fleet.run(10)
        counts = {'r': (0, 0), 'r2': (0, 0)}
        for name in fleet.names:
            for route in fleet.report(name).evidence:
                bad, current_bad = counts[route.route]
                counts[route.route] = (
                    bad + route.target_bad,
                    current_bad + route.current_bad,
                )
        return counts

    def test_good(self) -> None:
        """A good target has no bad answers."""
        self.assertThat(
            self.bad_by_route('good'), Equals({'r': (0, 0), 'r2': (0, 0)})
        )

    def test_bad(self) -> None:
        """Failures and slow answers are counted, those of the target only."""
        for behaviour in ('failing', 'slow', 'late'):
            for bad, current_bad in self.bad_by_route(behaviour).values():
                self.assertThat(bad, GreaterThan(4), behaviour)
                self.assertThat(current_bad, Equals(0))

    def test_one_route(self) -> None:
        """Failures on one route are counted there."""
        counts = self.bad_by_route('one route')
        self.assertThat(counts['r'], Equals((0, 0)))
        self.assertThat(counts['r2'][0], GreaterThan(4))


class StatesTest(TestCase):
    """Versions that get requests in the states of a roll-out."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = RolloutFleet(_HOSTS, 'good', 5)
        self.fleet.move_to(RUNNING)
        self.fleet.run(3)

    def test_rolled_back(self) -> None:
        """Nothing goes to the target from then on, except from a cut host."""
        for state in (RUNNING, SWITCHING):
            self.fleet.move_to(state)
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
        for upstreams in (
            table.upstreams for table in self.fleet.tables.values()
        ):
            for searcher in ('s-v2a', 's-v2b'):
                upstreams[searcher].refused_until = self.fleet.now + 1
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
        for table in self.fleet.tables.values():
            for searcher in ('s-v2a', 's-v2b'):
                table.upstreams[searcher].cold_until = self.fleet.now + 60
        switched_at = self.fleet.now
        self.fleet.move_to(SWITCHING)
        self.fleet.run(2)
        self.assertThat(
            self.fleet.count(CURRENT, switched_at), GreaterThan(200)
        )
        self.assertThat(self.fleet.done_at, Equals({}))
        self.assertThat(self.fleet.report('h0').busy, Contains(7))
