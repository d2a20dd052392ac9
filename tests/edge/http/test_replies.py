"""Tests of the statuses of refusals."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction import const
from snipejunction.edge.http.replies import refusal_status
from snipejunction.verdict import may_have_run_refusal, not_run_refusal


class RefusalStatusTest(TestCase):
    """Statuses by code and verdict."""

    def test_may_have_run(self) -> None:
        """A request that may have run is not refused with 429 or 503.

        Guards against clients that take the status for the verdict.
        """
        codes = {
            const.CODE_NO_LEADER: 503,
            const.CODE_CONCURRENCY_LIMIT: 429,
            const.CODE_DEADLINE: 504,
        }
        for code, status in codes.items():
            refusal = not_run_refusal(code, '')
            self.assertThat(refusal_status(refusal), Equals(status))
            refusal = may_have_run_refusal(code, '')
            expected = status if status == codes[const.CODE_DEADLINE] else 502
            self.assertThat(refusal_status(refusal), Equals(expected))
