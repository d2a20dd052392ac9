"""Tests of retries, hedges, deadlines and load spreading."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from snipejunction.const import (
    CODE_OVERLOAD,
    PREFER_COVERAGE,
    PREFER_LATENCY,
)
from snipejunction.messages import PeerLost
from snipejunction.verdict import Verdict, may_have_run_refusal, not_run_refusal
from tests.components.root.harness import (
    ROOT,
    SERVICE,
    RootHarness,
    answer_of,
    refuse_open_subs,
    replicated_halves,
    warm_up,
)


class RetryTest(TestCase):
    """Retries and their budget."""

    def test_refused_work_goes_to_another_replica(self) -> None:
        """A refused sub-request is sent to another searcher."""
        harness = RootHarness(replicated_halves())
        harness.search()
        first = harness.subs()[0]
        harness.answer(
            first, refusal=not_run_refusal(CODE_OVERLOAD, 'full', 0.1)
        )
        retry = harness.subs()[2]
        self.assertThat(set(retry.shards), Equals(set(first.shards)))
        self.assertThat(retry.searcher, Not(Equals(first.searcher)))

    def test_retry_budget_is_not_spent_on_work_that_may_have_run(
        self,
    ) -> None:
        """Work that may have run is resent only within the hedge budget."""
        harness = RootHarness(
            replicated_halves(), hedge_budget=0, retry_budget=1
        )
        hedges = harness.node.root.service(SERVICE).hedge_tokens
        while hedges.can_spend(1):
            hedges.spend(1)
        harness.search()
        first, second = harness.subs()
        harness.answer(second)
        harness.answer(
            first, refusal=may_have_run_refusal('connection_lost', 'reset')
        )
        harness.hosts.run(1)
        self.assertThat(harness.subs(), HasLength(2))
        self.assertThat(answer_of(harness).coverage.share, LessThan(1))

    def test_no_storm_when_all_refuse(self) -> None:
        """Retries stay within their budget when all searchers refuse."""
        harness = RootHarness(replicated_halves())
        answered: set[int] = set()
        for call_id in range(1, 301):
            harness.search(call_id)
            refuse_open_subs(harness, answered)
        for _ in range(100):
            harness.hosts.run(0.01)
            refuse_open_subs(harness, answered)
        self.assertThat(harness.answers, HasLength(300))
        # The retry budget is a tenth of the 600 planned sub-requests plus
        # the initial tokens.
        self.assertThat(len(harness.subs()), LessThan(600 * 1.1 + 15))
        verdicts = {reply.refusal.verdict for reply in harness.answers}
        self.assertThat(verdicts, Equals({Verdict.NOT_RUN}))


class StragglerTest(TestCase):
    """Hedges, their budget, and early answers."""

    def test_hedges_stay_in_their_budget(self) -> None:
        """Hedges stay below their share of the planned sub-requests."""
        harness = RootHarness(
            replicated_halves(), hedge_budget=0.05, deadline=0.3
        )
        done: set[int] = set()
        late: set[int] = set()
        for call_id in range(1, 401):
            harness.search(call_id)
            for sub in harness.subs():
                if sub.sub_id in done | late:
                    continue
                if harness.hosts.random.randrange(100) < 15:
                    late.add(sub.sub_id)
                    continue
                done.add(sub.sub_id)
                harness.answer(sub)
        harness.hosts.run(1)
        count = len(harness.subs())
        self.assertThat(count, GreaterThan(800 + 10))
        self.assertThat(count, LessThan(800 * 1.05 + 10))

    def test_no_hedge_when_the_service_is_slow(self) -> None:
        """No hedges are sent if most sub-requests are late."""
        harness = RootHarness(replicated_halves(), hedge_budget=1, deadline=2)
        state = harness.node.root.service(SERVICE)
        for _ in range(200):
            state.record_late(is_late=True)
        harness.search()
        harness.hosts.run(1)
        self.assertThat(harness.subs(), HasLength(2))

    def test_lost_owner_is_replaced_at_once(self) -> None:
        """Sub-requests to a lost host are hedged without delay."""
        harness = RootHarness(replicated_halves())
        harness.search()
        first = harness.subs()[0]
        lost_at = harness.hosts.now
        harness.hosts.receive(ROOT, PeerLost(first.owner))
        self.assertThat(len(harness.subs()), GreaterThan(2))
        self.assertThat(harness.hosts.now, Equals(lost_at))

    def test_latency_is_preferred(self) -> None:
        """With preferred latency, a query answers without stragglers."""
        for prefer, share in ((PREFER_LATENCY, 0.75), (PREFER_COVERAGE, 1)):
            harness = RootHarness(
                replicated_halves(), prefer=prefer, hedge_budget=0
            )
            warm_up(harness)
            harness.search(1000)
            started_at = harness.hosts.now
            slow, quick = sorted(
                harness.subs()[-2:],
                key=lambda sub: -sub.shards[0],
            )
            harness.answer(quick)
            harness.hosts.run(0.3)
            if not harness.answers[100:]:
                harness.answer(slow)
            answer = harness.answers[-1].answer
            self.assertThat(answer.coverage.share, Equals(share))
            if prefer == PREFER_LATENCY:
                waited = harness.answered_at[-1] - started_at
                self.assertThat(waited, LessThan(0.2))

    def test_sufficient_coverage_ends_the_query(self) -> None:
        """A query answers once it reaches the caller's coverage."""
        harness = RootHarness(replicated_halves())
        harness.search(sufficient_coverage=0.5)
        quick = next(sub for sub in harness.subs() if 0 in sub.shards)
        harness.answer(quick)
        self.assertThat(answer_of(harness).coverage.share, Equals(0.75))
        self.assertThat(harness.cancelled(), HasLength(1))


class DeadlineTest(TestCase):
    """Deadlines of queries and sub-requests."""

    def test_answer_comes_before_the_deadline(self) -> None:
        """The results at the deadline make up the answer."""
        harness = RootHarness(replicated_halves())
        asked_at = harness.hosts.now
        harness.search(deadline=0.2)
        subs = harness.subs()
        for sub in subs:
            self.assertThat(sub.remaining, LessThan(0.2))
        harness.answer(subs[0])
        harness.hosts.run(1)
        self.assertThat(harness.answered_at[0] - asked_at, LessThan(0.2))
        self.assertThat(answer_of(harness).coverage.share, LessThan(1))

    def test_nothing_answered_may_have_run(self) -> None:
        """Without any sub-answer the verdict is MAY_HAVE_RUN."""
        harness = RootHarness(replicated_halves())
        harness.search(deadline=0.2)
        harness.hosts.run(1)
        refusal = harness.answers[0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))


class SpreadTest(TestCase):
    """Selection among equal replicas."""

    def test_roots_spread_load(self) -> None:
        """Roots with the same routes choose different searchers."""
        chosen: Counter[str] = Counter()
        for seed in range(40):
            harness = RootHarness(replicated_halves(), seed=seed)
            harness.search()
            chosen.update(sub.searcher for sub in harness.subs())
        for name in ('s1', 's2', 's3', 's4'):
            self.assertThat(chosen[name], GreaterThan(8))
