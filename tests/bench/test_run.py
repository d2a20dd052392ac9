"""Tests of benchmark scenarios and runs."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan, Not

from snipejunction.bench.run import (
    COORDINATED,
    LEAST_OUTSTANDING,
    POLICIES,
    RANDOM,
    run_scenario,
)
from snipejunction.bench.scenarios.catalogue import (
    make_scenario,
    scenario_names,
)


class ScenarioTest(TestCase):
    """Creation of the scenarios in the catalogue."""

    def test_all_can_be_made(self) -> None:
        """Every scenario has three services and a load for each caller."""
        for name in scenario_names():
            scenario = make_scenario(name)
            self.assertThat(scenario.script.services, HasLength(3))
            self.assertThat(len(scenario.load_profiles), GreaterThan(8))

    def test_unknown_name_is_refused(self) -> None:
        """An unknown scenario name raises a KeyError."""
        self.assertRaises(KeyError, make_scenario, 'ayo-none')


class RunTest(TestCase):
    """Runs of all policies with the same seed."""

    def test_run_repeats(self) -> None:
        """The same seed gives the same report."""
        first = run_scenario('ayo-calm', 3).document()
        second = run_scenario('ayo-calm', 3).document()
        self.assertThat(second, Equals(first))

    def test_slow_searcher_tells_policies_apart(self) -> None:
        """A slow searcher raises the p99 of the baselines only."""
        report = run_scenario('ayo-slow-searcher', 1)
        self.assertThat(report.policies(), Equals(list(POLICIES)))
        own = report.of_policy(COORDINATED)[0]
        naive = report.of_policy(RANDOM)[0]
        fixed = report.of_policy(LEAST_OUTSTANDING)[0]
        self.assertThat(own.breaches, Equals({}))
        self.assertThat(naive.breaches, Not(Equals({})))
        p99 = own.percentiles['p99']
        self.assertThat(p99 * 3, LessThan(naive.percentiles['p99']))
        self.assertThat(p99, LessThan(fixed.percentiles['p99']))
        self.assertThat(own.coverage, GreaterThan(0.99))

    def test_stated_limits_tell_policies_apart(self) -> None:
        """The baselines exceed stated rates; nobody's coverage suffers."""
        report = run_scenario('bereket-stated-limits', 1)
        own = report.of_policy(COORDINATED)[0]
        self.assertThat(own.breaches, Equals({}))
        self.assertThat(own.coverage, GreaterThan(0.99))
        for policy in (RANDOM, LEAST_OUTSTANDING):
            breaches = report.of_policy(policy)[0].breaches
            self.assertThat(sum(breaches.values()), GreaterThan(100))
