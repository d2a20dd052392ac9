"""Tests that slow answers are not taken for silent connections."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.components.owner.const import MIN_LATENCY_SAMPLES
from snipejunction.const import CODE_OVERLOAD
from tests.components.owner.harness import OwnerRun

_SLOW_SECONDS = 0.25


class SuspicionTest(TestCase):
    """What an owner concludes from an answer that takes long."""

    def test_unproven_times_get_patience(self) -> None:
        """The first answers of a cold searcher may be slow."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: _SLOW_SECONDS)
        run.advance(0.1)
        sub_id = run.ask_one('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspects(run), Equals([False]))
        run.advance(0.2)
        self.assertThat(run.code_of(sub_id), Equals('ok'))

    def test_proven_times_do_not(self) -> None:
        """Silence is noticed soon where it is known how fast answers are."""
        run, upstream = _make_proven()
        upstream.is_silent = True
        run.ask_one('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspects(run), Equals([True]))

    def test_work_waits_for_slow_answer(self) -> None:
        """A suspected request may end any time: its slot is waited for."""
        run, upstream = _make_proven()
        upstream.slowness = 60
        run.ask_one('s1', remaining=2)
        run.advance(0.2)
        self.assertThat(_suspects(run), Equals([True]))
        upstream.slowness = 1
        later = run.ask_one('s1', remaining=2)
        run.advance(0.3)
        self.assertThat(run.code_of(later), Equals('ok'))

    def test_work_moves_on_from_long_silence(self) -> None:
        """The longer a request is silent, the less is it waited for."""
        run, upstream = _make_proven()
        upstream.is_silent = True
        run.ask_one('s1', remaining=2)
        run.advance(0.4)
        # A quarter of a second is less than the silence so far.
        later = run.ask_one('s1', remaining=0.5)
        run.advance(0.01)
        self.assertThat(run.code_of(later), Equals(CODE_OVERLOAD))

    def test_waiting_work_moves_on(self) -> None:
        """What waits when the silence grows too long is refused early."""
        run, upstream = _make_proven()
        upstream.is_silent = True
        run.ask_one('s1', remaining=2)
        run.advance(0.1)
        later = run.ask_one('s1', remaining=1)
        run.advance(0.35)
        self.assertThat(run.code_of(later), Equals(CODE_OVERLOAD))
        # It would have waited for half of its time.
        waited = run.answers[later][0].queued
        self.assertThat(waited, LessThan(0.45))


def _make_proven() -> tuple[OwnerRun, FakeUpstream]:
    """Return a run with a searcher of one slot and many answers."""
    run = OwnerRun()
    upstream = run.add_upstream('s1', slots=1)
    run.advance(0.1)
    for _ in range(2 * MIN_LATENCY_SAMPLES):
        run.ask_one('s1')
        run.advance(0.02)
    return run, upstream


def _suspects(run: OwnerRun) -> list[bool]:
    return [
        dispatch.connection.is_suspect
        for dispatch in run.searcher('s1').dispatches.values()
    ]
