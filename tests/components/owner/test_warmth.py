"""Tests of the adaptive concurrency limit."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.owner.warmth import Warmth
from snipejunction.const import CODE_COLD, CODE_SHED
from tests.components.owner.harness import OwnerRun

# Answers that are evaluated together where the baseline is proven; twice as
# many where it is not.
_WINDOW_ANSWERS = 12


class WarmthTest(TestCase):
    """Growth of the limit on good answers, shrinking on overload."""

    def make_warmth(self, baseline: float | None = 0.01) -> Warmth:
        """Return the limit of a cold searcher."""
        warmth = Warmth(baseline)
        warmth.set_bounds(1, 8)
        return warmth

    def feed(
        self,
        warmth: Warmth,
        service_seconds: float,
        windows: int = 1,
    ) -> None:
        """Record windows of successful answers at the full limit."""
        for _ in range(windows * _WINDOW_ANSWERS):
            warmth.record_success(1, service_seconds, 8, 1)

    def test_starts_at_the_cold_capacity(self) -> None:
        """Without answers the limit is the cold capacity."""
        self.assertThat(self.make_warmth().effective_limit, Equals(1))

    def test_grows_step_by_step(self) -> None:
        """Each window of good answers adds one, up to the slots."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01)
        self.assertThat(warmth.effective_limit, Equals(2))
        self.feed(warmth, 0.01, 20)
        self.assertThat(warmth.effective_limit, Equals(8))

    def test_slow_answers_do_not_raise_the_limit(self) -> None:
        """Service times above the baseline do not raise the limit."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.018, 10)
        self.assertThat(warmth.effective_limit, Equals(1))

    def test_unknown_base(self) -> None:
        """Without a baseline, falling times do not raise the limit."""
        warmth = self.make_warmth(baseline=None)
        self.feed(warmth, 0.04)
        self.feed(warmth, 0.02)
        self.assertThat(warmth.effective_limit, Equals(1))
        self.feed(warmth, 0.01, 2)
        self.assertThat(warmth.effective_limit, Equals(1))
        self.feed(warmth, 0.01, 2)
        self.assertThat(warmth.effective_limit, Equals(2))

    def test_base_is_proven_at_the_full_limit(self) -> None:
        """A baseline is proven once the full limit was served at it."""
        warmth = self.make_warmth(baseline=None)
        self.feed(warmth, 0.01, 6)
        self.assertThat(warmth.baseline, Equals(None))
        self.feed(warmth, 0.01, 20)
        self.assertThat(warmth.baseline, LessThan(0.011))

    def test_unused_limit_does_not_grow(self) -> None:
        """The limit does not grow while it is not fully used."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01)
        for _ in range(5 * _WINDOW_ANSWERS):
            warmth.record_success(1, 0.01, 1, 1)
        self.assertThat(warmth.effective_limit, Equals(2))

    def test_jump_of_the_service_time_shrinks(self) -> None:
        """A jump of the service time shrinks the limit by a share."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01, 10)
        self.feed(warmth, 0.05)
        self.assertThat(warmth.effective_limit, Equals(5))

    def test_overload_shrinks_once(self) -> None:
        """Only the first shed of requests that were in flight counts."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01, 10)
        for _ in range(4):
            warmth.record_overload(started_at=2, now=3)
        self.assertThat(warmth.effective_limit, Equals(5))

    def test_earlier_answers_after_a_reset(self) -> None:
        """Answers to requests started before a reset are ignored."""
        warmth = self.make_warmth()
        warmth.reset(now=2)
        self.feed(warmth, 0.01, 3)
        self.assertThat(warmth.effective_limit, Equals(1))

    def test_restriction(self) -> None:
        """A restricted limit is restored once the boot is confirmed."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01, 10)
        warmth.restrict_to_cold(now=5)
        warmth.confirm_boot(started_at=4, now=5)
        self.assertThat(warmth.effective_limit, Equals(1))
        warmth.confirm_boot(started_at=5, now=6)
        self.assertThat(warmth.effective_limit, Equals(8))

    def test_lasting_slowdown(self) -> None:
        """The limit recovers at a searcher that stays slower."""
        warmth = self.make_warmth()
        self.feed(warmth, 0.01, 10)
        self.feed(warmth, 0.03, 5)
        self.assertThat(warmth.effective_limit, LessThan(3))
        self.feed(warmth, 0.03, 100)
        self.assertThat(warmth.effective_limit, Equals(8))


class ColdStartTest(TestCase):
    """A cold searcher under the load of a warm one."""

    def test_never_above_its_capacity(self) -> None:
        """The capacity of the searcher is not exceeded as it warms up."""
        for seed in range(5):
            run = OwnerRun(seed)
            upstream = run.add_upstream('s1', slots=6)
            upstream.turn_cold()
            run.advance(0.1)
            for _ in range(200):
                run.send_batch(['s1' for _ in range(6)])
                run.advance(0.02)
            self.assertThat(upstream.violations.total(), Equals(0))
            limit = run.searcher('s1').warmth.limit
            self.assertThat(limit, GreaterThan(4))

    def test_cold_capacity_of_zero(self) -> None:
        """No work is sent until a positive cold capacity is announced."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', cold_capacity=0)
        run.advance(0.1)
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_COLD))
        upstream.cold_capacity = 1
        run.advance(2.1)
        late = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(late), Equals('ok'))

    def test_shed(self) -> None:
        """A shed request did not run, and the limit shrinks."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        upstream.is_shedding = True
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_SHED))
        self.assertThat(run.searcher('s1').warmth.limit, LessThan(3))

    def test_settings_bound_the_slots(self) -> None:
        """The settings may allow fewer slots than announced."""
        run = OwnerRun()
        run.set_settings({'/teams/toys/services/catalogue': {'slots': 2}})
        run.add_upstream('s1', slots=6)
        run.advance(0.1)
        run.warm_up('s1')
        self.assertThat(run.searcher('s1').warmth.limit, Equals(2))
