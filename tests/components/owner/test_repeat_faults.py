"""Tests of which requests are repeated over a new connection."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.verdict import Verdict
from tests.components.owner.harness import OwnerRun


class SilentRunTest(TestCase):
    """Repeats of requests whose connections stopped answering."""

    def test_not_sent_again(self) -> None:
        """A non-idempotent request is not repeated."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        run.run_once(1, 's1')
        run.advance(0.1)
        _silence_all(run)
        run.run_once(2, 's1', remaining=1)
        run.advance(2)
        refusal = run.outcomes[2][0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))
        # The silent connection lost the request; a repeat would have run it.
        self.assertThat(upstream.runs['loan-2'], Equals(0))

    def test_search_is_sent_again(self) -> None:
        """A search in the same situation is repeated and succeeds."""
        run = OwnerRun()
        run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        _silence_all(run)
        sub_id = run.send_sub('s1', remaining=1)
        run.advance(0.5)
        self.assertThat(run.code_of(sub_id), Equals('ok'))


def _silence_all(run: OwnerRun) -> None:
    host = run.run.host('h1')
    ids = [connection_id for _, connection_id in run.run.connections]
    host.silent_connections.update(ids)
