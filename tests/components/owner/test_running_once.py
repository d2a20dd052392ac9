"""Tests of non-idempotent requests at the owner."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.components.owner.const import (
    ENDED_ERROR,
    ENDED_LOST,
    ENDED_NOT_SENT,
    ENDED_SHED,
)
from snipejunction.components.owner.messages import RunOnce
from snipejunction.components.owner.runs import RunOutcomeTable
from snipejunction.components.owner.upstream_messages import DispatchEnded
from snipejunction.const import CODE_NOT_OWNER
from snipejunction.verdict import Verdict
from tests.components.owner.harness import CALLER, SERVICE, OwnerRun


class RunOnceTest(TestCase):
    """A request runs at most once and gets the right verdict."""

    def test_runs(self) -> None:
        """A request runs and its payload is returned."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        run.run_once(1, 's1')
        run.advance(0.1)
        self.assertThat(run.outcomes[1][0].payload, Equals(_done(1)))
        self.assertThat(upstream.runs['loan-1'], Equals(1))

    def test_doubled_message(self) -> None:
        """Duplicate and resent messages do not run a request again."""
        run = OwnerRun()
        run.run.network.doubling = 1
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        for _ in range(3):
            run.run_once(1, 's1')
            run.advance(0.1)
        self.assertThat(upstream.runs['loan-1'], Equals(1))
        payloads = {outcome.payload for outcome in run.outcomes[1]}
        self.assertThat(payloads, Equals({_done(1)}))

    def test_unknown_searcher(self) -> None:
        """A request for an unknown searcher is refused for good."""
        run = OwnerRun()
        run.run_once(1, 's1')
        run.advance(0.1)
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        run.run_once(1, 's1')
        run.advance(0.1)
        codes = {outcome.refusal.code for outcome in run.outcomes[1]}
        self.assertThat(codes, Equals({CODE_NOT_OWNER}))
        self.assertThat(upstream.runs.total(), Equals(0))

    def test_verdicts(self) -> None:
        """Each outcome of a dispatch leads to its verdict."""
        expected = {
            ENDED_SHED: Verdict.NOT_RUN,
            ENDED_NOT_SENT: Verdict.NOT_RUN,
            ENDED_LOST: Verdict.MAY_HAVE_RUN,
            ENDED_ERROR: Verdict.MAY_HAVE_RUN,
        }
        for outcome, verdict in expected.items():
            run = OwnerRun()
            run.add_upstream('s1', service_time=lambda _random: 0.4)
            run.advance(0.1)
            run.run_once(1, 's1')
            run.advance(0.01)
            dispatch_id = max(run.node().owner.dispatches)
            host = run.run.host('h1')
            host.receive(DispatchEnded(dispatch_id, outcome))
            run.advance(0.01)
            refusal = run.outcomes[1][0].refusal
            self.assertThat(refusal.verdict, Equals(verdict))

    def test_lost_connection(self) -> None:
        """A request on a silent connection is not repeated over another."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        run.advance(0.2)
        host = run.run.host('h1')
        ids = [connection_id for _, connection_id in run.run.connections]
        host.silent_connections.update(ids)
        run.run_once(1, 's1')
        run.advance(1)
        refusal = run.outcomes[1][0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))
        self.assertThat(upstream.runs.total(), Equals(0))

    def test_other_incarnation_of_the_owner(self) -> None:
        """A request for an earlier incarnation is not answered."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        message = RunOnce(
            1,
            'loan-1',
            SERVICE,
            CALLER,
            's1',
            0.5,
            b'{}',
            '',
            'an earlier one',
        )
        run.run.network.send('root', 'h1', message)
        run.advance(0.1)
        self.assertThat(run.outcomes, Equals({}))
        self.assertThat(upstream.runs.total(), Equals(0))


class RunMemoryTest(TestCase):
    """Outcomes of requests are remembered for a limited time."""

    def test_forgets_after_its_window(self) -> None:
        """Old outcomes are removed, open requests are not."""
        memory = RunOutcomeTable()
        open_key = ('root', 1, SERVICE, CALLER, 'a')
        memory.add(open_key, 0)
        memory.remove_expired(10_000)
        self.assertThat(open_key in memory, Equals(True))
        self.assertThat(len(memory), LessThan(2))


def _done(number: int) -> bytes:
    return b'{"done": "loan-%d"}' % number
