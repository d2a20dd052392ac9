"""Tests of refusals, coverage and the assignment of results to queries."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import (
    Contains,
    Equals,
    HasLength,
)

from snipejunction.components.root.messages import (
    CallAbandoned,
)
from snipejunction.components.root.systems.idle import is_idle
from snipejunction.const import (
    CODE_FORBIDDEN,
    CODE_NO_LEASE,
    CODE_NO_SNAPSHOT,
    CODE_UNKNOWN_SERVICE,
)
from snipejunction.verdict import Verdict
from tests.components.root.harness import (
    OLD,
    ROOT,
    RootHarness,
    answer_of,
    replicated_halves,
)


class RefusalTest(TestCase):
    """Searches that are refused before any sub-request is sent."""

    def test_codes(self) -> None:
        """Each reason has its own code; the verdict is NOT_RUN."""
        harness = RootHarness(replicated_halves())
        harness.search(1, service='desk/none')
        harness.search(2, caller='other/caller')
        harness.hosts.lease_lapsed.add(ROOT)
        harness.hosts.run(3)
        harness.search(3)
        codes = [answered.refusal.code for answered in harness.answers]
        expected = [CODE_UNKNOWN_SERVICE, CODE_FORBIDDEN, CODE_NO_LEASE]
        self.assertThat(codes, Equals(expected))
        verdicts = {answered.refusal.verdict for answered in harness.answers}
        self.assertThat(verdicts, Equals({Verdict.NOT_RUN}))
        self.assertThat(harness.subs(), HasLength(0))

    def test_routes_are_awaited(self) -> None:
        """A search waits for the first routes, with a timeout."""
        harness = RootHarness({})
        harness.search(1)
        harness.hosts.run(0.05)
        harness.held = replicated_halves()
        harness.publish_routes()
        self.assertThat(harness.subs(), HasLength(2))
        harness = RootHarness({})
        harness.search(2)
        harness.hosts.run(0.4)
        refusal = harness.answers[0].refusal
        self.assertThat(refusal.code, Equals(CODE_NO_SNAPSHOT))
        self.assertThat(refusal.verdict, Equals(Verdict.NOT_RUN))


class CoverageTest(TestCase):
    """Coverage that an answer reports."""

    def test_whole_answer(self) -> None:
        """Few sub-requests cover all shards, and hits are sorted."""
        harness = RootHarness(replicated_halves())
        harness.search(top=3)
        subs = harness.subs()
        self.assertThat(subs, HasLength(2))
        harness.answer(subs[1])
        harness.answer(subs[0])
        answer = answer_of(harness)
        self.assertThat(answer.coverage.share, Equals(1))
        self.assertThat(
            [hit['id'] for hit in answer.hits],
            Equals(['1:3', '1:2', '1:1']),
        )
        self.assertThat(is_idle(harness.node), Equals(True))

    def test_lost_shard_counts_as_missing(self) -> None:
        """A shard without holders counts in the total and is listed."""
        harness = RootHarness({'s1': {OLD: (0, 1)}, 's2': {OLD: (3,)}})
        harness.search()
        for sub in harness.subs():
            harness.answer(sub)
        harness.hosts.run(1)
        coverage = answer_of(harness).coverage
        self.assertThat(coverage.missing_shards, Equals((2,)))
        self.assertThat((coverage.covered, coverage.total), Equals((175, 200)))

    def test_two_replicas_count_once(self) -> None:
        """A shard answered by a hedge and the original counts once."""
        harness = RootHarness(replicated_halves())
        harness.search()
        first, second = harness.subs()
        harness.answer(second)
        harness.hosts.run(0.1)
        hedge = harness.subs()[2]
        self.assertThat(set(hedge.shards), Equals(set(first.shards)))
        harness.answer(hedge)
        harness.answer(first)
        answer = answer_of(harness)
        self.assertThat(harness.answers, HasLength(1))
        self.assertThat(answer.hits, HasLength(4))
        self.assertThat(answer.coverage.covered, Equals(200))
        self.assertThat(harness.cancelled(), Contains(first.sub_id))

    def test_truncated_part_is_not_covered(self) -> None:
        """A partial sub-answer whose hits lack their shard is discarded."""
        held = {'s1': {OLD: (0, 1)}, 's2': {OLD: (2, 3)}}
        harness = RootHarness(held)
        harness.search()
        for sub in harness.subs():
            is_truncated = 0 in sub.shards
            harness.answer(sub, shards=[1] if is_truncated else sub.shards)
        harness.hosts.run(1)
        answer = answer_of(harness)
        self.assertThat(answer.coverage.missing_shards, Equals((0, 1)))
        ids = {hit['id'] for hit in answer.hits}
        self.assertThat(ids, Equals({'1:2', '1:3'}))


class MatchingTest(TestCase):
    """Late, duplicated, reordered and foreign results."""

    def test_results_find_their_query(self) -> None:
        """Duplicated results in any order reach their own queries."""
        for seed in range(5):
            harness = RootHarness(replicated_halves(), seed=seed)
            for call_id in range(1, 21):
                harness.search(call_id, deadline=5)
            subs = harness.subs()
            harness.hosts.random.shuffle(subs)
            for sub in subs:
                harness.answer(sub)
                harness.answer(sub)
            calls = {answered.call_id for answered in harness.answers}
            self.assertThat(calls, Equals(set(range(1, 21))))
            self.assertThat(harness.answers, HasLength(20))
            self.assertThat(harness.node.root.subs, Equals({}))

    def test_foreign_result_is_dropped(self) -> None:
        """A result from a host other than the owner is ignored."""
        harness = RootHarness(replicated_halves())
        harness.search()
        subs = harness.subs()
        results = [harness.result_of(sub) for sub in subs]
        harness.deliver('b1', results)
        self.assertThat(harness.answers, HasLength(0))
        for sub in subs:
            harness.answer(sub)
        self.assertThat(answer_of(harness).coverage.share, Equals(1))

    def test_abandoned_call_is_cancelled(self) -> None:
        """Sub-requests are cancelled when their caller disconnects."""
        harness = RootHarness(replicated_halves())
        harness.search()
        harness.hosts.receive(ROOT, CallAbandoned(1))
        ids = {sub.sub_id for sub in harness.subs()}
        self.assertThat(set(harness.cancelled()), Equals(ids))
        harness.answer(*harness.subs())
        self.assertThat(harness.answers, HasLength(0))
        self.assertThat(is_idle(harness.node), Equals(True))
