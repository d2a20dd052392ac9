"""Tests of request rates that searchers state to their owner."""

from __future__ import annotations

import math
from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.owner.upstream_messages import DispatchEnded
from snipejunction.const import CODE_OVERLOAD
from snipejunction.timers import NEVER
from tests.components.owner.harness import OwnerRun

_RATE = 5.0
_SECONDS = 20


class OwnerSendsMoreThanStatedTest(TestCase):
    """The owner keeps to the rate, until the searcher states none."""

    def setUp(self) -> None:
        super().setUp()
        self.run_of_owner = OwnerRun(hosts=('h1', 'h2'))
        self.owner = self.run_of_owner.owner_of('s1')
        self.upstream = self.run_of_owner.add_upstream('s1')
        self.run_of_owner.advance(0.1)
        self.run_of_owner.warm_up('s1', self.owner)

    def load(self, seconds: float) -> Counter[str]:
        """Send 40 requests per second; return how they ended."""
        run = self.run_of_owner
        sub_ids = []
        for _ in range(int(seconds * 20)):
            sub_ids += run.send_batch(['s1', 's1'], self.owner)
            run.advance(0.05)
        return Counter(
            run.code_of(sub_id) for sub_id in sub_ids if sub_id in run.answers
        )

    def test_within_rate(self) -> None:
        """The searcher gets its rate; the rest is refused as not run."""
        self.upstream.stated_rate.replace(_RATE)
        codes = self.load(_SECONDS)
        self.assertThat(self.upstream.violations, Equals(Counter()))
        self.assertThat(codes['ok'], GreaterThan(_RATE * (_SECONDS - 2)))
        self.assertThat(codes.keys(), Equals({'ok', CODE_OVERLOAD}))

    def test_refused_at_once(self) -> None:
        """Requests that cannot be sent in time do not wait."""
        run = self.run_of_owner
        self.upstream.stated_rate.replace(0.1)
        self.load(1)
        sent_at = run.now
        sub_id = run.send_batch(['s1'], self.owner)[0]
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_OVERLOAD))
        self.assertThat(run.answered_at[sub_id] - sent_at, LessThan(0.02))

    def test_lifted(self) -> None:
        """Without a stated rate all requests are sent again."""
        self.upstream.stated_rate.replace(_RATE)
        self.load(5)
        self.upstream.stated_rate.replace(NEVER)
        self.load(1)
        self.assertThat(self.load(2), Equals(Counter(ok=80)))

    def test_survives_hand_over(self) -> None:
        """The next owner keeps to the rate from its first request on."""
        run = self.run_of_owner
        self.upstream.stated_rate.replace(0.5)
        self.load(6)
        other = 'h2' if self.owner == 'h1' else 'h1'
        run.set_view([other])
        run.advance(0.5)
        self.owner = other
        limit = run.searcher('s1', other).rate_limit
        self.assertThat(limit.stated, Equals(0.5))
        self.load(6)
        self.assertThat(self.upstream.violations, Equals(Counter()))

    def test_rate_of_zero_ends(self) -> None:
        """A searcher that takes nothing is asked rarely, but again."""
        run = self.run_of_owner
        self.upstream.stated_rate.replace(0)
        codes = self.load(20)
        self.assertThat(codes['ok'], LessThan(10))
        self.upstream.stated_rate.replace(NEVER)
        self.load(20)
        limit = run.searcher('s1', self.owner).rate_limit
        self.assertThat(limit.stated, Equals(NEVER))

    def test_ends_with_restart(self) -> None:
        """A restarted searcher has not stated a rate."""
        run = self.run_of_owner
        self.upstream.stated_rate.replace(_RATE)
        self.load(2)
        self.upstream.stated_rate.replace(NEVER)
        run.restart_upstream('s1')
        run.advance(2)
        limit = run.searcher('s1', self.owner).rate_limit
        self.assertThat(limit.stated, Equals(NEVER))

    def test_unreadable(self) -> None:
        """A rate that is no number leaves the known one in force."""
        run = self.run_of_owner
        self.upstream.stated_rate.replace(_RATE)
        self.load(2)
        run.send_batch(['s1'], self.owner)
        run.advance(0.003)
        dispatches = run.node(self.owner).owner.dispatches
        for dispatch_id in list(dispatches):
            ended = DispatchEnded(dispatch_id, 'error', stated_limit=math.nan)
            run.run.host(self.owner).receive(ended)
        limit = run.searcher('s1', self.owner).rate_limit
        self.assertThat(limit.stated, Equals(_RATE))
