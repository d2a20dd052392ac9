"""Tests of pending calls."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import mock

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals, HasLength

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


class RestartTest(TestCase):
    """Calls of two starts of a host."""

    async def async_call_ids(self, seed: int) -> list[int]:
        """Return the ids of three calls of a start."""
        submitted: list[Message] = []
        table = CallTable(submitted.append, Random(seed))
        calls = [
            asyncio.create_task(table.async_call(CallAbandoned))
            for _ in range(3)
        ]
        await async_until(lambda: len(submitted) == 3)
        for call in calls:
            call.cancel()
        return [message.call_id for message in submitted]

    @in_loop
    async def test_late_answer_to_an_earlier_start(self) -> None:
        """An answer to a call of an earlier start completes no call.

        Guards against orders that are acknowledged though they are not
        committed.
        """
        first = await self.async_call_ids(1)
        second = await self.async_call_ids(2)
        self.assertThat({*first, *second}, HasLength(6))
