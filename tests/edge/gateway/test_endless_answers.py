"""Searchers that send bytes without end until the caller closes."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from testtools.matchers import Equals, Is, LessThan

from snipejunction.components.gateway.replies import OutcomeKind
from snipejunction.edge.gateway.const import (
    MAX_RECEIVED_BYTES,
    MAX_REPLY_BYTES,
    MAX_REPLY_HEAD_BYTES,
)
from tests.edge.gateway.scripted import ReceivedRequest, answer, in_loop
from tests.edge.gateway.test_searcher_pool import PoolCase

# Size of one write of a searcher that sends without end, and of what the
# buffers of both ends of a connection hold, in bytes.
ENDLESS_WRITE = 65536
SOCKET_BYTES = 16777216


class EndlessScript:
    """Sends a start and then the same bytes until the caller closes."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated * (ENDLESS_WRITE // len(repeated))
        self.sent = 0

    async def __call__(self, received: ReceivedRequest) -> None:
        received.writer.write(self.start)
        while True:
            received.writer.write(self.repeated)
            await received.writer.drain()
            self.sent += len(self.repeated)


class EndlessAnswerTest(PoolCase):
    """Searchers that send bytes without end until the caller closes."""

    async def async_check_bound(
        self, start: bytes, repeated: bytes, bound: int = MAX_REPLY_BYTES
    ) -> None:
        async with AsyncExitStack() as stack:
            script = EndlessScript(start, repeated)
            caller = await self.async_open(stack, script)
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))
            while caller.pool.connection_count:
                await asyncio.sleep(0)
            # Socket buffers take some bytes that the host never reads.
            self.assertThat(script.sent, LessThan(bound + SOCKET_BYTES))

    @in_loop
    async def test_head_line(self) -> None:
        """One header line without end."""
        start = b'HTTP/1.1 200 OK\r\nX-Long: '
        await self.async_check_bound(start, b'x', MAX_REPLY_HEAD_BYTES)

    @in_loop
    async def test_head(self) -> None:
        """Header lines without end."""
        start = b'HTTP/1.1 200 OK\r\n'
        await self.async_check_bound(start, b'X-A: b\r\n', MAX_REPLY_HEAD_BYTES)

    @in_loop
    async def test_body_without_length(self) -> None:
        """A body that would end with the connection."""
        await self.async_check_bound(b'HTTP/1.1 200 OK\r\n\r\n', b'x')

    @in_loop
    async def test_chunks(self) -> None:
        """Chunks without end."""
        start = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        await self.async_check_bound(start, b'1\r\nx\r\n')

    @in_loop
    async def test_trailers(self) -> None:
        """Trailers without end behind a complete body."""
        start = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
        await self.async_check_bound(start, b'X-A: b\r\n')

    @in_loop
    async def test_interim_responses(self) -> None:
        """Interim responses without end."""
        await self.async_check_bound(b'', b'HTTP/1.1 102 Processing\r\n\r\n')

    @in_loop
    async def test_answers_to_others(self) -> None:
        """Answers to other requests without end."""
        await self.async_check_bound(b'', answer('r0'))

    @in_loop
    async def test_many_searchers(self) -> None:
        """The bodies of all connections together are bounded, too."""
        async with AsyncExitStack() as stack:
            script = EndlessScript(b'HTTP/1.1 200 OK\r\n\r\n', b'x')
            caller = await self.async_open(stack, script)
            count = 2 * MAX_RECEIVED_BYTES // MAX_REPLY_BYTES
            futures = [caller.send(f'r{number}') for number in range(count)]
            outcomes = await asyncio.gather(*futures)
            kinds = {outcome.kind for outcome in outcomes}
            self.assertThat(kinds, Equals({OutcomeKind.LOST}))
            bound = MAX_RECEIVED_BYTES + count * SOCKET_BYTES
            self.assertThat(script.sent, LessThan(2 * bound))
