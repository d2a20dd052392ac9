"""Verdicts on target versions whose behaviour is known."""

from __future__ import annotations

import sys
from collections.abc import Callable
from random import Random
from types import MappingProxyType

from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.components.rollouts.judging import (
    BAD,
    GOOD,
    UNDECIDED,
    judge,
    judge_alone,
)
from snipejunction.components.rollouts.messages import RouteEvidence

ROLLOUTS = 200
DURATION = 12.0
STEP = 0.5
# Share of the requests that reaches the target before its verdict.
SHARE = 0.06
# Requests a second by route.
RATES = (('browse', 31.5), ('scan', 18.2), ('history', 10.5))

# Returns the rates of bad answers of the target and of the current version,
# from the route and the time since the order in seconds.
Behaviour = Callable[[str, float], tuple[float, float]]


def constant(target: float, current: float = 0.005) -> Behaviour:
    return lambda route, at: (target, current)


def on_one_route(route: str, at: float) -> tuple[float, float]:
    return (0.5 if route == 'scan' else 0.005), 0.005


def late(route: str, at: float) -> tuple[float, float]:
    return (0.5 if at > 4 else 0.005), 0.005


def burst(route: str, at: float) -> tuple[float, float]:
    rate = 0.6 if 3 <= at < 5 else 0.005
    return rate, rate


def under_load(route: str, at: float) -> tuple[float, float]:
    return (0.4 if at >= 0.7 * DURATION else 0.005), 0.005


# Behaviour, requests as a multiple of the rates, verdict, and how many of the
# roll-outs must get it.
TABLE = MappingProxyType(
    {
        'good': (constant(0.005), 1, GOOD, ROLLOUTS),
        'good, all fail a little': (constant(0.08, 0.08), 1, GOOD, ROLLOUTS),
        'good, never fails': (constant(0, 0), 1, GOOD, ROLLOUTS),
        'good, fault of the service': (constant(0.4, 0.4), 1, GOOD, ROLLOUTS),
        'good, burst': (burst, 1, GOOD, ROLLOUTS),
        'good, little traffic': (constant(0.005), 0.02, GOOD, ROLLOUTS),
        'good, much traffic': (constant(0.01, 0.01), 10, GOOD, ROLLOUTS),
        'fails always': (constant(1), 1, BAD, ROLLOUTS),
        'fails 30 %': (constant(0.3), 2, BAD, ROLLOUTS),
        'fails 10 %, much traffic': (constant(0.1), 10, BAD, ROLLOUTS),
        'slow on 90 %': (constant(0.9, 0.02), 1, BAD, ROLLOUTS),
        'fails 50 % on one route': (on_one_route, 4, BAD, ROLLOUTS),
        'fails 50 % after 4 s': (late, 2, BAD, ROLLOUTS),
        # About 30 requests reach the target: too few to show each of these.
        'same, 8 requests there': (on_one_route, 1, BAD, 0.85 * ROLLOUTS),
        'fails 30 %, 30 requests': (constant(0.3), 1, BAD, 0.98 * ROLLOUTS),
        'fails 10 %, 60 requests': (constant(0.1), 2, BAD, 0.75 * ROLLOUTS),
        'fails 10 %, 30 requests': (constant(0.1), 1, BAD, 0.4 * ROLLOUTS),
        'fails 50 % from 4 s, 30 of them': (late, 1, BAD, 0.98 * ROLLOUTS),
    }
)


class SampledRollout:
    """Counts of one roll-out, drawn from a seed."""

    def __init__(self, behaviour: Behaviour, load: float, seed: int) -> None:
        self._behaviour = behaviour
        self._load = load
        self._random = Random(seed)
        self.sums = {route: RouteEvidence(1, route) for route, _ in RATES}
        self.at = 0.0

    @property
    def target_total(self) -> int:
        return sum(part.target_total for part in self.sums.values())

    @property
    def target_bad(self) -> int:
        return sum(part.target_bad for part in self.sums.values())

    def add_step(self, share: float) -> None:
        self.at += STEP
        for route, rate in RATES:
            part = self.sums[route]
            target_rate, current_rate = self._behaviour(route, self.at)
            for _ in range(self._draw_count(rate * self._load * STEP)):
                if self._random.random() < share:
                    part.target_total += 1
                    part.target_bad += self._random.random() < target_rate
                else:
                    part.current_total += 1
                    part.current_bad += self._random.random() < current_rate

    def run(self) -> int:
        """Run to the verdict and return it."""
        decision = UNDECIDED
        while decision == UNDECIDED and self.at < DURATION:
            self.add_step(SHARE)
            share = self.at / DURATION
            decision = judge(self.sums.values(), share, True).decision
        return decision

    def run_switching(self) -> int:
        """Run for the time of a switch and return the verdict on it."""
        for _ in range(3):
            self.add_step(1)
            if judge_alone(self.sums.values()).decision == BAD:
                return BAD
        return UNDECIDED

    def _draw_count(self, mean: float) -> int:
        whole = int(mean)
        return whole + (self._random.random() < mean - whole)


def measure(behaviour: Behaviour, load: float, verdict: int) -> list:
    """Return the roll-outs that got a verdict."""
    sampled = [
        SampledRollout(behaviour, load, seed) for seed in range(ROLLOUTS)
    ]
    return [rollout for rollout in sampled if rollout.run() == verdict]


def describe(name: str, found: list, verdict: int) -> str:
    """Return a line of the table of verdicts."""
    ordered = sorted(rollout.at for rollout in found)
    spent = sorted(rollout.target_total for rollout in found)
    bad = sorted(rollout.target_bad for rollout in found)
    word = 'good' if verdict == GOOD else 'bad'
    head = f'{name:32} {word:5} {len(found):4} of {ROLLOUTS}'
    if not found:
        return head
    middle = len(found) // 2
    return (
        f'{head}, after {ordered[middle]:4} s (at most {ordered[-1]:4}), '
        f'{spent[middle]:4} requests (at most {spent[-1]:4}), '
        f'{bad[middle]:3} bad'
    )


class VerdictsTest(TestCase):
    """Sampled roll-outs of versions whose behaviour is known."""

    def test_table(self) -> None:
        """No good version is rolled back, no bad one is completed."""
        for name, (behaviour, load, verdict, least) in TABLE.items():
            found = measure(behaviour, load, verdict)
            sys.stdout.write(f'{describe(name, found, verdict)}\n')
            self.assertThat(len(found) >= least, Equals(True), name)

    def test_bad_under_load(self) -> None:
        """A version that turns bad with all requests is found bad."""
        for seed in range(ROLLOUTS):
            rollout = SampledRollout(under_load, 1, seed)
            if rollout.run() == GOOD:
                self.assertThat(rollout.run_switching(), Equals(BAD), seed)

    def test_good_under_load(self) -> None:
        """A good version that gets all requests stays good."""
        for seed in range(ROLLOUTS):
            rollout = SampledRollout(constant(0.01, 0.01), 1, seed)
            rollout.run()
            self.assertThat(rollout.run_switching(), Equals(UNDECIDED), seed)


class JudgeTest(TestCase):
    """Verdicts on given counts."""

    def decide(self, *counts: int, share=0.1, is_ready=True) -> int:
        evidence = [RouteEvidence(1, 'r', *counts)] if counts else []
        return judge(evidence, share, is_ready).decision

    def test_no_traffic(self) -> None:
        """Without answers a target with ready searchers is good in time."""
        self.assertThat(self.decide(share=0.69), Equals(UNDECIDED))
        self.assertThat(self.decide(share=0.7), Equals(GOOD))

    def test_no_searchers(self) -> None:
        """A target whose searchers do not get ready is bad at the end."""
        decision = self.decide(20, 0, 300, 1, share=0.99, is_ready=False)
        self.assertThat(decision, Equals(UNDECIDED))
        decision = self.decide(share=1, is_ready=False)
        self.assertThat(decision, Equals(BAD))

    def test_no_current_answers(self) -> None:
        """A target can be found bad without answers to compare with."""
        self.assertThat(self.decide(12, 12), Equals(BAD))
        self.assertThat(self.decide(12, 0, share=0.7), Equals(GOOD))

    def test_few_bad_answers(self) -> None:
        """Three bad answers in a row prove nothing."""
        self.assertThat(self.decide(3, 3, 500, 0), Equals(UNDECIDED))

    def test_doubt_delays(self) -> None:
        """Evidence that falls short of the threshold delays the verdict."""
        counts = (30, 2, 400, 2)
        self.assertThat(self.decide(*counts, share=0.7), Equals(UNDECIDED))
        self.assertThat(self.decide(*counts, share=0.9), Equals(GOOD))

    def test_late_exact_test(self) -> None:
        """The exact test finds what the sequential one cannot yet."""
        counts = (40, 5, 500, 2)
        self.assertThat(self.decide(*counts, share=0.7), Equals(UNDECIDED))
        self.assertThat(self.decide(*counts, share=0.9), Equals(BAD))

    def test_reason(self) -> None:
        """The reason names the counts and the route."""
        evidence = [
            RouteEvidence(1, 'browse', 300, 0, 3000, 4),
            RouteEvidence(1, 'scan', 12, 12, 200, 1),
        ]
        verdict = judge(evidence, 0.2, True)
        self.assertThat(verdict.decision, Equals(BAD))
        self.assertThat(verdict.reason, Contains('12 of'))
        self.assertThat(verdict.reason, Contains('current version are bad on'))

    def test_large_counts(self) -> None:
        """The tests are exact enough with many answers."""
        decision = self.decide(10**6, 10**4, 10**7, 10**5, share=0.8)
        self.assertThat(decision, Equals(GOOD))
