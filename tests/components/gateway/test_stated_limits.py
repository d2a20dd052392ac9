"""Tests of the request rates that searchers state for all hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesRegex

from snipejunction.components.gateway.const import (
    EVENT_LIMIT_LIFTED,
    EVENT_LIMIT_REACHED,
)
from tests.components.gateway.fleet import Fleet

# Hosts may send this long above a limit that they have just learned of.
LEARN_SECONDS = 4.0
WINDOW_SECONDS = 4.0


class UpstreamGetsMoreThanItStatesTest(TestCase):
    """The sum over all hosts stays within the limit that a searcher states."""

    def assert_within_limits(self, fleet: Fleet, since: float) -> None:
        for searcher, limit in fleet.limits.items():
            most = fleet.most_arrivals(searcher, since, WINDOW_SECONDS)
            # Less than one request per window still allows one at a time.
            allowed = max(limit * WINDOW_SECONDS, 1 + limit * 2)
            self.assertThat(most, LessThan(allowed + 0.001))

    def test_each_host_sends_the_whole_rate(self) -> None:
        """Two of three searchers state half of what they get."""
        for seed in range(3):
            fleet = Fleet(9, ('a', 'b', 'c'), seed)
            fleet.limits = {'s-a': 15.0, 's-b': 18.3}
            fleet.send_requests(90, 30)
            self.assert_within_limits(fleet, LEARN_SECONDS)
            self.assertThat(fleet.statuses[503], Equals(0))

    def test_answers_to_earlier_requests_lift_no_limit(self) -> None:
        """Answers that were under way when a limit came say nothing of it."""
        for seed in range(4):
            fleet = Fleet(9, ('a', 'b', 'c'), seed)
            fleet.send_requests(200, 5)
            fleet.limits = {'s-a': 15.0, 's-b': 18.3}
            fleet.send_requests(200, 15)
            self.assert_within_limits(fleet, 5 + LEARN_SECONDS)
            self.assertThat(fleet.count_events(EVENT_LIMIT_LIFTED), Equals(0))
            fleet.limits = {}
            fleet.send_requests(90, 5)
            self.assertThat(fleet.count_events(EVENT_LIMIT_LIFTED), Equals(18))

    def test_limit_of_zero_ends(self) -> None:
        """A searcher that takes nothing is asked rarely, but again."""
        fleet = Fleet(9, ('a', 'b'), 3)
        fleet.limits = {'s-a': 0.0}
        fleet.send_requests(60, 100)
        self.assertThat(fleet.most_arrivals('s-a', LEARN_SECONDS), Equals(1))
        fleet.limits = {}
        fleet.send_requests(60, 40)
        last = [when for when in fleet.arrivals['s-a'] if when > 135]
        self.assertThat(len(last), GreaterThan(100))

    def test_few_confirmations(self) -> None:
        """One host confirms a limit to all others, not each of them."""
        fleet = Fleet(18, ('a', 'b', 'c'), 3)
        fleet.limits = {'s-a': 20.0}
        fleet.send_requests(120, 40)
        self.assertThat(fleet.reports, GreaterThan(10))
        self.assertThat(fleet.reports, LessThan(40))

    def test_limit_that_varies(self) -> None:
        """A limit that differs from answer to answer causes few reports."""
        fleet = Fleet(18, ('a', 'b', 'c'), 3)
        fleet.limits = {'s-a': 20.0}
        fleet.varying = {'s-a'}
        fleet.send_requests(120, 40)
        self.assert_within_limits(fleet, LEARN_SECONDS)
        self.assertThat(fleet.reports, LessThan(60))

    def test_failures_lift_no_limit(self) -> None:
        """A searcher that fails without a word of its limit keeps it."""
        fleet = Fleet(9, ('a', 'b', 'c'), 2)
        fleet.limits = {'s-a': 15.0}
        fleet.failing = {'s-a'}
        fleet.send_requests(90, 20)
        self.assert_within_limits(fleet, LEARN_SECONDS)
        self.assertThat(fleet.count_events(EVENT_LIMIT_LIFTED), Equals(0))

    def test_limit_far_below_one_request_per_host(self) -> None:
        """Many hosts together keep to a few requests per second or less."""
        for limit in (0.2, 0.5, 1.0, 2.5, 6.0):
            fleet = Fleet(18, ('a', 'b'), 1)
            fleet.limits = {'s-a': limit, 's-b': limit}
            fleet.send_requests(60, 40)
            self.assert_within_limits(fleet, LEARN_SECONDS)

    def test_all_searchers_of_all_shards_are_limited(self) -> None:
        """Shards share their limits; hedges and repeats count, too."""
        fleet = Fleet(9, ('a', 'b', 'c'), 4, ('s0', 's1', 's2', 's3'))
        fleet.limits = {
            f's{shard}-{name}': 10.0 for shard in range(4) for name in 'abc'
        }
        fleet.send_requests(60, 20)
        self.assert_within_limits(fleet, LEARN_SECONDS)


class CallersAreRefusedBelowTheLimitTest(TestCase):
    """What searchers state is used while there is demand for it."""

    def test_most_of_the_limit_is_used(self) -> None:
        """Requests are refused only above what all searchers state."""
        for limit in (1.0, 6.0, 13.6, 20.0):
            fleet = Fleet(9, ('a', 'b', 'c'), 1)
            fleet.limits = {f's-{name}': limit for name in 'abc'}
            fleet.send_requests(90, 30)
            for searcher in fleet.limits:
                arrivals = fleet.arrivals[searcher]
                used = sum(when >= 10 for when in arrivals) / 20
                self.assertThat(used, GreaterThan(0.9 * limit))

    def test_refusals_are_explained(self) -> None:
        """A refusal names the limits, this host's shares and their age."""
        fleet = Fleet(2, ('a',), 1)
        fleet.limits = {'s-a': 2.5}
        fleet.send_requests(20, 6)
        explained = [
            event.fields['limits']
            for event in fleet.events
            if event.event is EVENT_LIMIT_REACHED
        ]
        self.assertThat(
            explained[-1],
            MatchesRegex(
                r's-a states 2\.5 \(5 in 4 s here, told \d\.\d s ago\)$'
            ),
        )

    def test_low_limit_does_not_stop_all_hosts(self) -> None:
        """Some hosts may send soon after a low limit was stated."""
        fleet = Fleet(9, ('a', 'b', 'c'), 1)
        fleet.limits = {f's-{name}': 1.0 for name in 'abc'}
        fleet.send_requests(90, 4)
        for searcher in fleet.limits:
            times = fleet.arrivals[searcher]
            soon = len([when for when in times if int(when) in {1, 2, 3}])
            self.assertThat(soon, GreaterThan(1))
