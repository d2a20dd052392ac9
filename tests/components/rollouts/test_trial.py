"""Tests of the evidence and the versions of one roll-out at one host."""

from __future__ import annotations

from types import MappingProxyType

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.rollouts.const import RUNNING
from snipejunction.components.rollouts.messages import RolloutRecord
from snipejunction.components.rollouts.trials import TrialTable
from snipejunction.components.rollouts.trial import Trial
from snipejunction.components.rollouts.versions import find_current
from tests.components.gateway.stage import make_record

MEDIANS = MappingProxyType({'r': 0.02})
FAST = 0.03
SLOW = 0.07


def answered(status: int = 200, signature: str = 'sig') -> Outcome:
    """Return the outcome of an answer."""
    return Outcome(OutcomeKind.ANSWERED, Reply(status, [], b'', signature))


class EvidenceTest(TestCase):
    """Attempts at the target on a route with a median of 20 ms."""

    def setUp(self) -> None:
        super().setUp()
        record = RolloutRecord('s', 'v2', 7, 30, 0, RUNNING)
        self.trial = Trial(record, 0, has_slack=True)

    def finish(
        self,
        outcome: Outcome,
        seconds: float = FAST,
        *,
        route: str = 'r',
        is_cold: bool = False,
        is_target: bool = True,
        is_relayed: bool = False,
    ) -> str:
        """Return as what an attempt counts."""
        evidence = self.trial.evidence
        total, bad = evidence.target_total, evidence.target_bad
        sending = self.trial.start_attempt(
            route, 10, is_target=is_target, is_cold=is_cold
        )
        self.events = list(
            self.trial.finish_attempt(
                sending,
                outcome,
                MEDIANS.get,
                10 + seconds,
                is_relayed=is_relayed,
            )
        )
        if evidence.target_total == total:
            return 'nothing'
        return 'good' if evidence.target_bad == bad else 'bad'

    def test_outcomes(self) -> None:
        """Failures of the searcher are bad; some outcomes tell nothing."""
        for outcome, expected in (
            (answered(), 'good'),
            (answered(404), 'good'),
            (answered(500), 'bad'),
            (answered(signature=''), 'bad'),
            (Outcome(OutcomeKind.LOST), 'bad'),
            (Outcome(OutcomeKind.REFUSED), 'bad'),
            (Outcome(OutcomeKind.SHED), 'nothing'),
            (Outcome(OutcomeKind.MISDIRECTED), 'nothing'),
            (Outcome(OutcomeKind.UNSENT), 'nothing'),
            (Outcome(OutcomeKind.CANCELLED), 'nothing'),
        ):
            self.assertThat(self.finish(outcome), Equals(expected), outcome)
        lost = Outcome(OutcomeKind.LOST)
        self.assertThat(self.finish(lost, is_relayed=True), Equals('nothing'))
        # What was not sent does not use the ledger.
        self.assertThat(self.trial.ledger.target_sent, Equals(10))

    def test_slow(self) -> None:
        """Slow answers and cancelled slow attempts are bad."""
        for outcome in (answered(), Outcome(OutcomeKind.CANCELLED)):
            self.assertThat(self.finish(outcome, SLOW), Equals('bad'))
        relayed = answered()
        relayed.seconds = FAST
        self.assertThat(self.finish(relayed, SLOW), Equals('good'))
        # Cold searchers, and those of an unknown route, are not slow.
        cold = self.finish(answered(), SLOW, is_cold=True)
        unknown = self.finish(answered(), SLOW, route='other')
        self.assertThat([cold, unknown], Equals(['good', 'good']))

    def test_own_median(self) -> None:
        """The median of the current version of the service comes first."""
        for _ in range(16):
            self.finish(answered(), SLOW, is_target=False)
        self.assertThat(self.finish(answered(), SLOW), Equals('good'))

    def test_late(self) -> None:
        """An attempt in flight past the bound is bad once."""
        sending = self.trial.start_attempt(
            'r', 0, is_target=True, is_cold=False
        )
        for now in (FAST, SLOW, 1):
            list(self.trial.count_late(MEDIANS.get, now))
        list(self.trial.finish_attempt(sending, answered(), MEDIANS.get, 2))
        counts = self.trial.evidence.routes['r']
        self.assertThat(
            [counts.target_total, counts.target_bad], Equals([1, 1])
        )

    def test_stop(self) -> None:
        """Eight bad answers, more than half of all, stop the target."""
        for status in (200, 500):
            for _ in range(8):
                self.finish(answered(status))
        self.assertThat(self.trial.is_stopped, Is(False))
        self.finish(answered(500))
        self.assertThat(self.trial.is_stopped, Is(True))
        self.assertThat(self.events, HasLength(1))


class KnownVersionsTest(TestCase):
    """What a host knows of versions and orders."""

    def test_current(self) -> None:
        """A pinned version goes before that of the oldest start."""
        records = []
        for born_ms, version in ((5, 'v3'), (2, 'v2'), (2, 'v1')):
            record = make_record(version, born_ms=born_ms)
            record.version = version
            records.append(record)
        for pinned, target, current in (
            ({'s': 'v3'}, '', 'v3'),
            ({}, '', 'v1'),
            ({}, 'v1', 'v2'),
        ):
            found = find_current('s', pinned, target, records)
            self.assertThat(found, Equals(current))

    def test_newest_order(self) -> None:
        """A new order begins a new trial; the same one again does not."""
        table = TrialTable()
        trials = []
        for index, number in enumerate((7, 7, 9)):
            record = RolloutRecord('s', 'v2', number, 30, 0, RUNNING)
            list(table.apply([record], {}, index, 0, is_first=False))
            trials.append(table.find_trial('s'))
        self.assertThat(trials[0], Is(trials[1]))
        self.assertThat(trials[2].record.number, Equals(9))
        list(table.apply([], {}, 9, 0, is_first=False))
        self.assertThat(table.trials, Equals([]))
