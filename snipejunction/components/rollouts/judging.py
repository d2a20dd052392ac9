"""Verdicts on target versions, from sums of answers and the time only.

Answers of both versions are counts of good and bad ones. The hypothesis is
that the target fails no more often than the current version. Two tests share
the error probability:

- while a roll-out runs, a mixture likelihood ratio that may be looked at any
  number of times: the mixtures of both rates over the largest likelihood that
  a common rate reaches;
- at one time late in the roll-out, an exact test of both counts.

Each is made in total and for each route.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import exp, inf, lgamma, log
from typing import Final

from snipejunction.components.rollouts.messages import RouteEvidence
from snipejunction.helpers.records import Record

UNDECIDED: Final = 0
GOOD: Final = 1
BAD: Final = 2
VERDICT_NAMES: Final = ('undecided', 'good', 'bad')
# Probability that a target which is as good as the current version is ever
# found bad.
ERROR_PROBABILITY: Final = 0.001
# Shares of the duration: a target without evidence against it is good from
# the first one on, any other at the second one if the exact test passes it.
GOOD_SHARE: Final = 0.7
FINAL_SHARE: Final = 0.85
# Largest probability of the counts of a good target that is evidence against.
DOUBT_PROBABILITY: Final = 0.05
# Fewest bad answers of a bad target while a roll-out runs, and late in it: one
# pause of one searcher spoils a few answers.
MIN_BAD_ANSWERS: Final = 4
MIN_BAD_ANSWERS_LATE: Final = 3
# Smallest excess of the rate of bad answers of a bad target.
MIN_EXCESS: Final = 0.03
# While all requests go to the target, nothing else shows what the service
# would answer now, so that the excess has to be larger.
MIN_EXCESS_ALONE: Final = 0.1
# Fewest answers that the rate of the current version comes from. Missing ones
# count with the rate below.
_MIN_CURRENT_ANSWERS: Final = 20
_ASSUMED_BAD_RATE: Final = 0.05
_ALL_ROUTES: Final = 'all routes'


class Verdict(Record):
    """A decision with the evidence that it rests on."""

    __slots__ = ('decision', 'reason')

    def __init__(self, decision: int, reason: str) -> None:
        """Create a verdict."""
        self.decision = decision
        self.reason = reason


class _Counts:
    """Answers of both versions on one route, or on all."""

    __slots__ = (
        '_current_total',
        '_name',
        '_rate',
        '_target_bad',
        '_target_total',
        'current_bad',
        'text',
    )

    def __init__(self, name: str, sums: RouteEvidence) -> None:
        self._name = name
        self._target_total = sums.target_total
        self._target_bad = sums.target_bad
        missing = max(0, _MIN_CURRENT_ANSWERS - sums.current_total)
        self._current_total = sums.current_total + missing
        self.current_bad = sums.current_bad + missing * _ASSUMED_BAD_RATE
        self._rate = self.current_bad / self._current_total
        self.text = (
            f'{sums.target_bad} of {sums.target_total} answers of the target '
            f'and {sums.current_bad} of {sums.current_total} of the current '
            f'version are bad on {name}'
        )

    def has_excess(self, min_excess: float, min_bad: int) -> bool:
        """Return whether the target fails often enough to matter."""
        if self._target_bad < min_bad:
            return False
        return self._target_bad / self._target_total > self._rate + min_excess

    def log_ratio(self) -> float:
        """Return the logarithm of the mixture likelihood ratio."""
        total = self._target_total + self._current_total
        bad = self._target_bad + self.current_bad
        target_good = self._target_total - self._target_bad
        current_good = self._current_total - self.current_bad
        mixtures = _log_beta(self._target_bad + 1, target_good + 1)
        mixtures += _log_beta(self.current_bad + 0.5, current_good + 0.5)
        mixtures -= _log_beta(0.5, 0.5)
        common = _power(bad, bad / total) + _power(total - bad, 1 - bad / total)
        return mixtures - common

    def probability(self) -> float:
        """Return the exact probability of as many bad answers or more.

        Given all bad answers, those of a target that is as good as the
        current version are spread by chance.
        """
        total = self._target_total + self._current_total
        # Assumed answers may be parts of one.
        bad = round(self._target_bad + self.current_bad)
        most = min(bad, self._target_total)
        return sum(
            exp(
                _log_choose(self._target_total, count)
                + _log_choose(self._current_total, bad - count)
                - _log_choose(total, bad)
            )
            for count in range(self._target_bad, most + 1)
            if bad - count <= self._current_total
        )


def judge(
    evidence: Iterable[RouteEvidence],
    elapsed_share: float,
    is_ready: bool,
) -> Verdict:
    """Return the verdict on the target of a roll-out that runs.

    ``evidence`` holds the sums of all hosts by route, ``elapsed_share`` the
    time since the order as a share of its duration; ``is_ready`` is set if
    searchers of the target are ready.
    """
    counts = _count_all(evidence)
    bad = _find_bad(counts, MIN_EXCESS)
    if bad is not None:
        return bad
    if elapsed_share < GOOD_SHARE:
        return Verdict(UNDECIDED, counts[0].text)
    if not is_ready:
        if elapsed_share < 1:
            return Verdict(UNDECIDED, 'no searcher of the target is ready')
        return Verdict(BAD, 'no searcher of the target got ready in time')
    return _judge_late(counts, elapsed_share)


def judge_alone(evidence: Iterable[RouteEvidence]) -> Verdict:
    """Return the verdict on a target that all requests are sent to."""
    counts = _count_all(evidence)
    bad = _find_bad(counts, MIN_EXCESS_ALONE)
    return Verdict(UNDECIDED, counts[0].text) if bad is None else bad


def _judge_late(counts: list[_Counts], elapsed_share: float) -> Verdict:
    doubted = None
    for single, error in _with_errors(counts):
        probability = single.probability()
        if elapsed_share >= FINAL_SHARE and probability < error:
            if single.has_excess(MIN_EXCESS, MIN_BAD_ANSWERS_LATE):
                return Verdict(BAD, single.text)
        if probability < DOUBT_PROBABILITY:
            doubted = single
    if doubted is not None and elapsed_share < FINAL_SHARE:
        return Verdict(UNDECIDED, doubted.text)
    return Verdict(GOOD, counts[0].text)


def _find_bad(counts: list[_Counts], min_excess: float) -> Verdict | None:
    for single, error in _with_errors(counts):
        has_excess = single.has_excess(min_excess, MIN_BAD_ANSWERS)
        if has_excess and single.log_ratio() > -log(error):
            return Verdict(BAD, single.text)
    return None


def _with_errors(counts: list[_Counts]) -> Iterator[tuple[_Counts, float]]:
    """Yield counts with the error probability of each test of them.

    The first ones are the total. It gets as much as all routes together, and
    either kind of test gets half.
    """
    share = ERROR_PROBABILITY / 2
    if len(counts) == 1:
        yield counts[0], share
        return
    yield counts[0], share / 2
    for single in counts[1:]:
        yield single, share / 2 / (len(counts) - 1)


def _count_all(evidence: Iterable[RouteEvidence]) -> list[_Counts]:
    """Return the counts in total, then by route if there are several."""
    parts = list(evidence)
    total = RouteEvidence(0, _ALL_ROUTES)
    for part in parts:
        total.add(part)
    counts = [_Counts(_ALL_ROUTES, total)]
    if len(parts) > 1:
        counts.extend(_Counts(f'route {part.route}', part) for part in parts)
    return counts


def _power(count: float, base: float) -> float:
    """Return the logarithm of a power, 0 for no factors."""
    if not count:
        return 0.0
    return count * log(base) if base > 0 else -inf


def _log_beta(first: float, second: float) -> float:
    return lgamma(first) + lgamma(second) - lgamma(first + second)


def _log_choose(total: float, count: float) -> float:
    return lgamma(total + 1) - lgamma(count + 1) - lgamma(total - count + 1)
