"""Tests of pending calls."""

from __future__ import annotations

import asyncio
from unittest import mock

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from snipejunction.components.root.messages import (
    CallAbandoned,
    SearchResponse,
)
from snipejunction.edge.calls import CallTable
from snipejunction.errors import RefusedError
from snipejunction.messages import Message
from tests.edge.support import async_until, in_loop


class CallTableTest(TestCase):
    """Responses complete the calls that they belong to."""

    def setUp(self) -> None:
        """Create a table whose messages are recorded."""
        super().setUp()
        self.submitted: list[Message] = []
        self.table = CallTable(self.submitted.append)

    @in_loop
    async def test_out_of_order(self) -> None:
        """Responses in any order complete the right calls."""
        first = asyncio.create_task(self.table.async_call(CallAbandoned))
        second = asyncio.create_task(self.table.async_call(CallAbandoned))
        await async_until(lambda: len(self.submitted) == 2)
        answers = [SearchResponse(number, None, None) for number in (1, 2)]
        for answer in reversed(answers):
            self.table.resolve(answer.call_id, answer)
        self.table.resolve(99, answers[0])
        gathered = await asyncio.gather(first, second)
        self.assertThat(gathered, Equals(answers))
        self.assertThat(self.table.open_calls, Equals(0))

    @in_loop
    async def test_late_answer(self) -> None:
        """A response to a cancelled call is ignored."""
        call = asyncio.create_task(
            self.table.async_call(CallAbandoned, CallAbandoned),
        )
        await async_until(lambda: self.submitted)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.table.resolve(1, SearchResponse(1, None, None))
        self.assertThat(
            self.submitted,
            Equals([CallAbandoned(1), CallAbandoned(1)]),
        )

    @in_loop
    async def test_too_many(self) -> None:
        """A call over the limit is refused as *not run*."""
        bound = mock.patch('snipejunction.edge.calls.MAX_OPEN_CALLS', 0)
        with bound, ExpectedException(RefusedError, 'not run.*'):
            await self.table.async_call(CallAbandoned)
        self.assertThat(self.submitted, Equals([]))

    @in_loop
    async def test_no_answer(self) -> None:
        """A call without a response times out as *may have run*."""
        bound = mock.patch('snipejunction.edge.calls.CALL_SECONDS', 0)
        with bound, ExpectedException(RefusedError, 'may have run.*'):
            await self.table.async_call(CallAbandoned)
