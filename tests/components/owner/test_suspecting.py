"""Tests of when a dispatch without an answer is suspected."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.components.owner.const import MIN_LATENCY_SAMPLES
from snipejunction.const import CODE_OVERLOAD
from tests.components.owner.harness import OwnerRun

_SLOW_SECONDS = 0.25


class SuspicionTest(TestCase):
    """Suspicion of slow dispatches, and its effect on queued work."""

    def test_higher_floor_with_few_samples(self) -> None:
        """With few samples a slow answer is not suspected early."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: _SLOW_SECONDS)
        run.advance(0.1)
        sub_id = run.send_sub('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspect_flags(run), Equals([False]))
        run.advance(0.2)
        self.assertThat(run.code_of(sub_id), Equals('ok'))

    def test_suspected_soon_with_enough_samples(self) -> None:
        """With enough samples a missing answer is suspected soon."""
        run, upstream = _run_with_enough_samples()
        upstream.is_silent = True
        run.send_sub('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspect_flags(run), Equals([True]))

    def test_work_waits_for_a_suspected_request(self) -> None:
        """Work is queued for the slot of a request suspected recently."""
        run, upstream = _run_with_enough_samples()
        upstream.slowness = 60
        run.send_sub('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspect_flags(run), Equals([True]))
        upstream.slowness = 1
        later = run.send_sub('s1', remaining=2)
        run.advance(0.3)
        self.assertThat(run.code_of(later), Equals('ok'))

    def test_new_work_is_refused_after_long_silence(self) -> None:
        """The expected wait for a suspected request grows with its age."""
        run, upstream = _run_with_enough_samples()
        upstream.is_silent = True
        run.send_sub('s1', remaining=2)
        run.advance(0.4)
        # The request may queue for 0.25 s, less than the silence so far.
        later = run.send_sub('s1', remaining=0.5)
        run.advance(0.01)
        self.assertThat(run.code_of(later), Equals(CODE_OVERLOAD))

    def test_queued_work_is_refused_after_long_silence(self) -> None:
        """Queued work is refused before its queue deadline."""
        run, upstream = _run_with_enough_samples()
        upstream.is_silent = True
        run.send_sub('s1', remaining=2)
        run.advance(0.1)
        later = run.send_sub('s1', remaining=1)
        run.advance(0.35)
        self.assertThat(run.code_of(later), Equals(CODE_OVERLOAD))
        # Its queue deadline is half of its remaining time, 0.5 s.
        waited = run.answers[later][0].queued
        self.assertThat(waited, LessThan(0.45))


def _run_with_enough_samples() -> tuple[OwnerRun, FakeUpstream]:
    """Return a run whose searcher has one slot and enough samples."""
    run = OwnerRun()
    upstream = run.add_upstream('s1', slots=1)
    run.advance(0.1)
    for _ in range(2 * MIN_LATENCY_SAMPLES):
        run.send_sub('s1')
        run.advance(0.02)
    return run, upstream


def _suspect_flags(run: OwnerRun) -> list[bool]:
    return [
        dispatch.connection.is_suspect
        for dispatch in run.searcher('s1').dispatches.values()
    ]
