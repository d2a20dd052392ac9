"""Tests of bounds on a searcher or a service that all hosts share."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from tests.components.gateway.fleet import (
    REPEAT_RATIO,
    REPEAT_SLACK,
    REPEAT_WINDOW_SECONDS,
    Fleet,
)

_HOSTS = 9
_CONNECTIONS = 36
# What a cold searcher bears in one second without a rate of its own.
_COLD_REQUESTS = 5


class AllHostsTogetherTest(TestCase):
    """Sums over all entry hosts, also over one that was forgotten."""

    def test_connections(self) -> None:
        """Open requests stay within the connections of a searcher."""
        for departing in ((), ('h1', 'h2')):
            fleet = Fleet(_HOSTS, ('a', 'b'), 1, max_connections=_CONNECTIONS)
            fleet.max_answer_seconds = 2
            fleet.send_requests(100, 5)
            for name in departing:
                fleet.depart(name)
            fleet.send_requests(100, 10)
            for searcher, most in fleet.most_open.items():
                self.assertThat(most, LessThan(_CONNECTIONS + 1), searcher)
                self.assertThat(most, GreaterThan(_CONNECTIONS / 2))

    def test_repeats(self) -> None:
        """Retries and hedges of all hosts stay within the budget."""
        for departing in ((), ('h1', 'h2')):
            fleet = Fleet(_HOSTS, ('a', 'b', 'c'), 2)
            fleet.failing = {'s-a', 's-b', 's-c'}
            fleet.send_requests(100, 15)
            for name in departing:
                fleet.depart(name)
            fleet.send_requests(100, 15)
            requests = 100 * REPEAT_WINDOW_SECONDS
            allowed = REPEAT_RATIO * requests + REPEAT_SLACK
            most = fleet.most_repeats(REPEAT_WINDOW_SECONDS)
            self.assertThat(most, LessThan(allowed))
            self.assertThat(most, GreaterThan(allowed / 2))

    def test_cold_rate(self) -> None:
        """A cold searcher gets few requests in any second."""
        for departing in ((), ('h1', 'h2')):
            fleet = Fleet(_HOSTS, ('a',), 3, cold=20)
            fleet.send_requests(60, 5)
            for name in departing:
                fleet.depart(name)
            fleet.send_requests(60, 10)
            most = fleet.most_arrivals('s-a', 0, 1)
            self.assertThat(most, LessThan(_COLD_REQUESTS + 1))
            self.assertThat(most, GreaterThan(1))

    def test_no_health_checks(self) -> None:
        """Idle hosts send nothing to searchers."""
        fleet = Fleet(_HOSTS, ('a', 'b'), 4)
        fleet.limits = {'s-a': 1.0}
        fleet.send_requests(0.001, 60)
        self.assertThat(fleet.arrivals, Equals({}))
