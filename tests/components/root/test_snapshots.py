"""Tests of the selection of snapshots."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import (
    Equals,
)

from snipejunction.const import (
    CODE_SNAPSHOT_NOT_HELD,
)
from snipejunction.verdict import not_run_refusal
from tests.components.root.harness import (
    NEW,
    OLD,
    RootHarness,
    answer_of,
    replicated_halves,
)


class SnapshotTest(TestCase):
    """All results of an answer come from one snapshot."""

    def test_newest_of_equal_coverage(self) -> None:
        """With equal coverage the newer snapshot is queried."""
        held = {'s1': {OLD: (0, 1, 2, 3), NEW: (0, 1, 2, 3)}}
        harness = RootHarness(held)
        harness.search()
        self.assertThat(harness.subs()[0].snapshot, Equals(NEW))

    def test_better_coverage_wins(self) -> None:
        """A newer snapshot with less coverage is not queried."""
        held = replicated_halves()
        held['s1'][NEW] = (0, 1)
        harness = RootHarness(held)
        harness.search()
        snapshots = {sub.snapshot for sub in harness.subs()}
        self.assertThat(snapshots, Equals({OLD}))

    def test_answer_of_another_snapshot_is_not_mixed_in(self) -> None:
        """A sub-answer from another snapshot covers no shards."""
        harness = RootHarness({'s1': {OLD: (0, 1)}, 's2': {OLD: (2, 3)}})
        harness.search()
        first, second = harness.subs()
        harness.answer(first)
        harness.answer(second, snapshot=NEW)
        harness.hosts.run(1)
        answer = answer_of(harness)
        self.assertThat(
            answer.coverage.missing_shards,
            Equals(tuple(second.shards)),
        )
        prefixes = {hit['id'].partition(':')[0] for hit in answer.hits}
        self.assertThat(prefixes, Equals({'1'}))

    def test_snapshot_no_longer_held_restarts_the_query(self) -> None:
        """After a restart the answer has no hits of the first snapshot."""
        held = {
            's1': {OLD: (0, 1, 2, 3)},
            's2': {NEW: (0, 1)},
            's3': {NEW: (2, 3)},
        }
        harness = RootHarness(held)
        harness.search()
        first, second = harness.subs()
        self.assertThat(first.snapshot, Equals(NEW))
        harness.answer(first)
        gone = not_run_refusal(CODE_SNAPSHOT_NOT_HELD, 'dropped')
        harness.answer(second, refusal=gone)
        last = harness.subs()[-1]
        self.assertThat(last.snapshot, Equals(OLD))
        harness.answer(last)
        answer = answer_of(harness)
        self.assertThat(answer.snapshot, Equals(OLD))
        prefixes = {hit['id'].partition(':')[0] for hit in answer.hits}
        self.assertThat(prefixes, Equals({'1'}))
