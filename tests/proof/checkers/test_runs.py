"""Tests of the checker of non-idempotent requests."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.bench.recorder import Recorder
from snipejunction.proof.checkers.runs import check_runs
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal


def promises_broken(
    refusal: Refusal | None,
    runs: list[float],
) -> list[str]:
    """Return what an answer at 5 s breaks after runs at some times."""
    recorder = Recorder()
    for when in runs:
        recorder.record(when, 'upstream_run', request_id='r')
    recorder.record(5, 'run_answered', request_id='r', refusal=refusal)
    return [breach.promise for breach in check_runs(recorder)]


class CheckRunsTest(TestCase):
    """The checker of non-idempotent requests."""

    def test_one_run(self) -> None:
        """One run and its outcome break nothing."""
        self.assertThat(promises_broken(None, [1]), Equals([]))

    def test_second_run(self) -> None:
        """A second run is caught."""
        broken = promises_broken(None, [1, 2])
        self.assertThat(broken, Equals(['at most once']))

    def test_not_run_but_it_ran(self) -> None:
        """A false not run is caught."""
        broken = promises_broken(not_run_refusal('shed', ''), [1])
        self.assertThat(broken, Equals(['not run means not run']))

    def test_run_after_the_answer(self) -> None:
        """A later attempt does not make an earlier not run false."""
        broken = promises_broken(not_run_refusal('shed', ''), [7])
        self.assertThat(broken, Equals([]))

    def test_may_have_run(self) -> None:
        """An unknown outcome breaks nothing either way."""
        refusal = may_have_run_refusal('connection_lost', '')
        self.assertThat(promises_broken(refusal, [1]), Equals([]))
        self.assertThat(promises_broken(refusal, []), Equals([]))

    def test_outcome_without_run(self) -> None:
        """An outcome of a request that never ran is caught."""
        broken = promises_broken(None, [])
        self.assertThat(broken, Equals(['an outcome means it ran']))
