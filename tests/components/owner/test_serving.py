"""Tests of sub-requests at their owner."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.owner.const import ENDED_LOST
from snipejunction.components.owner.messages import SnapshotId, SubBatch
from snipejunction.components.owner.upstream_messages import DispatchEnded
from snipejunction.const import (
    CODE_CANCELLED,
    CODE_NO_LEASE,
    CODE_NOT_OWNER,
    CODE_OVERLOAD,
    CODE_SNAPSHOT_NOT_HELD,
)
from snipejunction.verdict import Verdict
from tests.components.owner.harness import CALLER, SERVICE, SNAPSHOT, OwnerRun


class ServingTest(TestCase):
    """Batches, results, duplicates, queues and cancellation."""

    def test_announced_searcher_answers(self) -> None:
        """Work is dispatched to a searcher and its answer returned."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        answer = run.answers[sub_id][0]
        self.assertThat(answer.refusal, Equals(None))
        self.assertThat(answer.shards, Equals([0, 1]))
        self.assertThat(answer.snapshot, Equals(SNAPSHOT))
        self.assertThat(upstream.violations.total(), Equals(0))

    def test_results_are_batched(self) -> None:
        """Refusals of one batch are sent in one message."""
        run = OwnerRun()
        run.advance(0.1)
        run.send_batch(['s1', 's2', 's3'])
        run.advance(0.1)
        self.assertThat(run.batches, Equals([3]))

    def test_duplicate_batch_runs_once(self) -> None:
        """A duplicate message dispatches nothing twice."""
        run = OwnerRun()
        run.run.network.doubling = 1
        run.add_upstream('s1')
        run.advance(0.1)
        sub_ids = [run.send_sub('s1') for _ in range(5)]
        run.advance(0.5)
        runs = run.run.recorder.of_kind('upstream_run')
        self.assertThat(len(runs), Equals(5))
        codes = {run.code_of(sub_id) for sub_id in sub_ids}
        self.assertThat(codes, Equals({'ok'}))

    def test_unknown_searcher(self) -> None:
        """Work for a searcher that is not owned by the host is refused."""
        run = OwnerRun()
        sub_id = run.send_sub('elsewhere')
        run.advance(0.1)
        refusal = run.answers[sub_id][0].refusal
        self.assertThat(refusal.code, Equals(CODE_NOT_OWNER))
        self.assertThat(refusal.verdict, Equals(Verdict.NOT_RUN))

    def test_restarted_root(self) -> None:
        """A restarted root gets no results of its previous incarnation."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.1)
        run.advance(0.1)
        sub_ids = run.send_batch(['s1', 's1'])
        run.advance(0.02)
        run.root_incarnation = 'root again'
        run.set_view(['h1'])
        run.next_sub = 1
        run.send_batch(['s1'])
        run.advance(0.5)
        self.assertThat(sub_ids, Equals([1, 2]))
        self.assertThat(sorted(run.answers), Equals([1]))
        self.assertThat(len(run.answers[1]), Equals(1))

    def test_root_outside_the_view(self) -> None:
        """Work of a root that is not in the view is refused."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.run.network.attach(
            'stranger',
            run.run.network.place_of('root'),
            run._receive,
        )
        run.advance(0.1)
        sub_id = run.send_sub('s1', sender='stranger')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_NO_LEASE))

    def test_snapshot_not_held(self) -> None:
        """A snapshot that the searcher does not announce is refused."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        sub_id = run.send_sub('s1', snapshot=SnapshotId(9, 'z'))
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_SNAPSHOT_NOT_HELD))

    def test_lists_of_different_length(self) -> None:
        """A batch whose lists differ in length is refused as a whole."""
        run = OwnerRun()
        batch = SubBatch(
            SERVICE,
            CALLER,
            SNAPSHOT,
            0.5,
            b'',
            '',
            [1],
            ['s1', 's2'],
            [[0]],
        )
        run.run.network.send('root', 'h1', batch)
        run.advance(0.1)
        self.assertThat(run.code_of(1), Equals('bad_request'))

    def test_cancel_while_queued(self) -> None:
        """Queued work that is cancelled did not run."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.05)
        run.advance(0.1)
        first, second = (run.send_sub('s1') for _ in range(2))
        run.advance(0.01)
        run.cancel([second])
        run.advance(0.2)
        self.assertThat(run.code_of(first), Equals('ok'))
        self.assertThat(run.code_of(second), Equals(CODE_CANCELLED))
        refusal = run.answers[second][0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.NOT_RUN))

    def test_cancel_while_running(self) -> None:
        """Running work that is cancelled may have run; its slot is freed."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.3)
        run.advance(0.1)
        first, second = (run.send_sub('s1') for _ in range(2))
        run.advance(0.01)
        run.cancel([first])
        run.advance(0.02)
        refusal = run.answers[first][0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))
        run.advance(0.4)
        self.assertThat(run.code_of(second), Equals('ok'))

    def test_cancel_that_drops_the_connection(self) -> None:
        """A cancelled request whose connection is lost keeps its slot.

        The loss does not count as a sign of a restart.
        """
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.3)
        run.advance(0.1)
        sub_id = run.send_sub('s1')
        run.advance(0.01)
        run.cancel([sub_id])
        run.advance(0.0006)
        searcher = run.searcher('s1')
        dispatch_id = max(searcher.dispatches)
        run.run.host('h1').receive(DispatchEnded(dispatch_id, ENDED_LOST))
        self.assertThat(searcher.in_flight, Equals(1))
        self.assertThat(searcher.health.consecutive_resets, Equals(0))
        run.advance(0.6)
        self.assertThat(searcher.in_flight, Equals(0))

    def test_cancel_before_its_batch(self) -> None:
        """A batch that arrives after its cancellation does not run."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        run.cancel([run.next_sub])
        run.advance(0.01)
        run.send_batch(['s1'])
        run.advance(0.1)
        self.assertThat(run.run.recorder.of_kind('upstream_run'), Equals([]))

    def test_refused_at_once_if_late(self) -> None:
        """Work that cannot be answered in time is refused at once."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.04)
        run.advance(0.1)
        for _ in range(20):
            run.send_batch(['s1'])
            run.advance(0.05)
        sub_ids = run.send_batch(['s1' for _ in range(12)], remaining=0.2)
        asked_at = run.now
        run.advance(0.5)
        codes = [run.code_of(sub_id) for sub_id in sub_ids]
        self.assertThat(codes[0], Equals('ok'))
        self.assertThat(codes[-1], Equals(CODE_OVERLOAD))
        delay = run.answered_at[sub_ids[-1]] - asked_at
        self.assertThat(delay, LessThan(0.01))
        refusal = run.answers[sub_ids[-1]][0].refusal
        self.assertThat(refusal.retry_after, GreaterThan(0))

    def test_overdue_work_leaves_the_queue(self) -> None:
        """Queued work is refused while the root can still retry."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.45)
        run.advance(0.1)
        asked_at = run.now
        run.send_batch(['s1'])
        second = run.send_sub('s1', remaining=0.2)
        run.advance(0.4)
        self.assertThat(run.code_of(second), Equals(CODE_OVERLOAD))
        delay = run.answered_at[second] - asked_at
        self.assertThat(delay, LessThan(0.11))

    def test_callers_are_served_round_robin(self) -> None:
        """A caller with a long queue does not delay other callers."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.01)
        run.advance(0.1)
        for _ in range(20):
            run.send_batch(['s1'], caller='toys/greedy')
        late = run.send_sub('s1', caller='toys/modest')
        asked_at = run.now
        run.advance(0.5)
        self.assertThat(run.code_of(late), Equals('ok'))
        self.assertThat(run.answered_at[late] - asked_at, LessThan(0.05))

    def test_full_queue_evicts_from_the_longest_queue(self) -> None:
        """A full queue evicts from the longest queue of a caller."""
        run = OwnerRun()
        run.set_settings(
            {'/teams/toys/services/catalogue': {'queue_limit': 8}},
        )
        run.add_upstream('s1', service_time=lambda _random: 0.01)
        run.advance(0.1)
        for _ in range(9):
            run.send_batch(['s1'], caller='toys/greedy')
        late = run.send_sub('s1', caller='toys/modest')
        run.advance(0.5)
        codes = [run.code_of(sub_id) for sub_id in range(1, late + 1)]
        self.assertThat(codes[-1], Equals('ok'))
        self.assertThat(codes.count(CODE_OVERLOAD), Equals(1))
