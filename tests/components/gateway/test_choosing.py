"""Choice of the searcher for one attempt."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.routing import RouteIndex, pick_target
from tests.components.gateway.stage import (
    NAME,
    install,
    make_record,
    make_route,
    make_table,
    name_entries,
    tell,
)


class ChoosingTest(TestCase):
    """Searchers near and far, sound and troubled."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.route = make_route()
        install(self.table, self.route, max_connections=3)
        tell(self.table, make_record('a'), make_record('b', place='far'))

    def chosen(self, now: float = 1.0):
        found = choose_upstream('s', self.route, (), self.table, now)
        return None if found is None else found.searcher_id

    def test_near(self) -> None:
        """A searcher in the same data centre is the first choice."""
        self.assertThat(self.chosen(), Equals('a'))

    def test_stalled(self) -> None:
        """One that answers nothing is left alone until it answers."""
        upstream = self.table.upstreams['a']
        upstream.record_late(1)
        self.assertThat(self.chosen(), Equals('b'))
        upstream.record_latency(1, 1.1)
        self.assertThat(self.chosen(1.1), Equals('a'))

    def test_failing(self) -> None:
        """One that fails often is left alone for a while."""
        upstream = self.table.upstreams['a']
        for _ in range(6):
            upstream.record_failure(1)
        self.assertThat(self.chosen(), Equals('b'))
        self.assertThat(self.chosen(9), Equals('a'))

    def test_slow(self) -> None:
        """One that is much slower than usual loses its advantage."""
        for _ in range(40):
            self.table.latencies_of('r').add(0.02)
            self.table.upstreams['a'].record_latency(9, 1)
        self.assertThat(self.chosen(), Equals('b'))

    def test_connections(self) -> None:
        """No more attempts are open than there are connections."""
        self.table.upstreams['a'].in_flight = 3
        self.assertThat(self.chosen(), Equals('b'))
        self.table.upstreams['b'].in_flight = 3
        self.assertThat(self.chosen(), Is(None))

    def test_regions_of_a_route(self) -> None:
        """A route with regions never leaves them."""
        self.route.regions = frozenset(('two',))
        self.assertThat(self.chosen(), Equals('b'))
        self.route.regions = frozenset(('three',))
        self.assertThat(self.chosen(), Is(None))


class ColdTest(TestCase):
    """Searchers that are cold."""

    def setUp(self) -> None:
        super().setUp()
        self.route = make_route()
        self.names = [f'10.0.0.{number}:7001' for number in range(1, 12)]

    def sends_in_a_second(self) -> int:
        """Count what all hosts send to a cold searcher in one second."""
        count = 0
        for name in self.names:
            table = make_table(name)
            install(table, self.route)
            name_entries(table, self.names)
            tell(table, make_record('a', cold=3))
            for tick in range(100):
                now = 1 + tick / 100
                found = choose_upstream('s', self.route, (), table, now)
                if found is not None:
                    found.last_cold_send = now
                    count += 1
        return count

    def test_bound_of_all_hosts(self) -> None:
        """One host is in charge, and it keeps below the slack of five."""
        self.assertThat(self.sends_in_a_second(), Equals(2))

    def test_warm_one_first(self) -> None:
        """A cold searcher is not asked while a warm one is there."""
        table = make_table(NAME)
        install(table, self.route)
        tell(table, make_record('a', cold=3), make_record('b', place='far'))
        found = choose_upstream('s', self.route, (), table, 1)
        self.assertThat(found.searcher_id, Equals('b'))


class RoutingTest(TestCase):
    """Choice of routes and of targets."""

    def test_longest_prefix(self) -> None:
        """The longest prefix wins; other hosts and paths have no route."""
        short = make_route('short')
        long = make_route('long')
        long.path_prefix = '/p/q/'
        index = RouteIndex([short, long])
        self.assertThat(index.find('a.example', '/p/q/1'), Is(long))
        self.assertThat(index.find('a.example', '/p/q'), Is(short))
        self.assertThat(index.find('a.example', '/p'), Is(None))
        self.assertThat(index.find('b.example', '/p/'), Is(None))

    def test_weights(self) -> None:
        """Targets take requests by their weights, none without one."""
        route = make_route()
        target = type(route.targets[0])
        route.targets = (target('a', 1), target('b', 0), target('c', 3))
        points = [number / 8 for number in range(8)]
        found = [pick_target(route, point) for point in points]
        self.assertThat(found, Equals(list('aacccccc')))


class SlownessTest(TestCase):
    """How soon a searcher that turned slow is left alone."""

    def test_two_slow_answers(self) -> None:
        """Two answers of tenfold time send the next request elsewhere."""
        table = make_table()
        route = make_route()
        install(table, route)
        tell(table, make_record('a'), make_record('b', place='far'))
        for _ in range(16):
            table.latencies_of('r').add(0.02)
        for _ in range(2):
            table.upstreams['a'].record_latency(10, 1)
        found = choose_upstream('s', route, (), table, 1.05)
        self.assertThat(found.searcher_id, Equals('b'))
