"""Bounds of callers' connections: what is still served and what is closed."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from unittest.mock import Mock

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan, StartsWith

from snipejunction.edge.gateway.const import (
    HEAD_SLACK_BYTES,
    MAX_CALLER_CONNECTIONS,
    MAX_HEADER_BYTES,
    MAX_RECEIVED_BYTES,
    MAX_RECEIVED_REQUEST_BYTES,
)
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.gateway.process_bounds import (
    LISTENER_CALLERS,
    ProcessBounds,
)
from snipejunction.edge.gateway.refusals import RefusalCounts
from snipejunction.edge.gateway.unread_answers import UnreadAnswers
from snipejunction.edge.receive_budget import ReceiveBudget
from tests.edge import support
from tests.edge.gateway.scripted import in_loop
from tests.edge.gateway.test_caller_connection import PLAIN, ServerCase

START = b'GET /x HTTP/1.1\r\n'
SHORTEST_LINE = b'a:\r\n'
MEBIBYTE = 1048576
BODY_BYTES = 600000
TWO_BODIES = 1250000
# Header lines that are counted with a separator.
LINES_IN_LIMIT = (MAX_HEADER_BYTES - len(b'/x')) // (len(SHORTEST_LINE) + 1)


class InputBoundsTest(ServerCase):
    """Requests at the limits are served, others refused."""

    async def async_read_status(self, content: bytes) -> bytes:
        reader = await self.async_connect(content)
        with suppress(ConnectionResetError):
            return (await reader.readline())[:12]
        return b''

    async def async_check_served(self, content: bytes) -> None:
        async with self.stack:
            await self.async_listen()
            await self.async_connect(content)
            await self.async_request()

    @in_loop
    async def test_shortest_lines_in_limit(self) -> None:
        """A head of the shortest lines may fill the limit."""
        lines = SHORTEST_LINE * LINES_IN_LIMIT
        await self.async_check_served(b'%s%s\r\n' % (START, lines))

    @in_loop
    async def test_spaces_in_limit(self) -> None:
        """Spaces around values count on the wire only."""
        spaces = b' ' * (MAX_HEADER_BYTES - len(START))
        await self.async_check_served(b'%sa:%sb\r\n\r\n' % (START, spaces))

    @in_loop
    async def test_empty_lines_in_slack(self) -> None:
        """Some empty lines before a request are ignored."""
        lines = b'\r\n' * (HEAD_SLACK_BYTES // 4)
        await self.async_check_served(b'%s%s' % (lines, PLAIN))

    @in_loop
    async def test_line_over_limit(self) -> None:
        """One line more than the limit holds is refused."""
        async with self.stack:
            await self.async_listen()
            lines = SHORTEST_LINE * (LINES_IN_LIMIT + 1)
            status = await self.async_read_status(b'%s%s\r\n' % (START, lines))
            self.assertThat(status, Equals(b'HTTP/1.1 431'))

    @in_loop
    async def test_empty_lines_without_end(self) -> None:
        """Empty lines without end are refused."""
        async with self.stack:
            await self.async_listen()
            lines = b'\r\n' * (MAX_HEADER_BYTES + HEAD_SLACK_BYTES)
            status = await self.async_read_status(lines)
            self.assertThat(status, Equals(b'HTTP/1.1 431'))

    @in_loop
    async def test_lines_behind_a_request(self) -> None:
        """Lines in the segment of a whole request do not cost its answer."""
        async with self.stack:
            await self.async_listen()
            reader = await self.async_connect(
                PLAIN + START + SHORTEST_LINE * MAX_HEADER_BYTES
            )
            request = await self.async_request()
            request.respond(200, [], b'body')
            content = await reader.read()
            self.assertThat(content, StartsWith(b'HTTP/1.1 200'))
            self.assertThat(content.count(b'HTTP/1.1'), Equals(1))


class WholeRequestsTest(ServerCase):
    """Whole requests count, and are answered over the limit."""

    @in_loop
    async def test_answered_over_limit(self) -> None:
        """Unfinished requests are closed, not those that wait for answers."""
        async with self.stack:
            budget = ReceiveBudget('callers', TWO_BODIES, self.events.append)
            loop = asyncio.get_running_loop()
            server = HttpServer(self.requests.append, loop, budget)
            self.stack.callback(server.close)
            await server.async_listen('127.0.0.1', 0)
            self.port = server.port
            head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % BODY_BYTES
            whole = head + b'b' * BODY_BYTES
            readers = [await self.async_connect(whole) for _ in range(2)]
            await self.async_request(1)
            unfinished = await self.async_connect(whole[:-1])
            with suppress(ConnectionResetError):
                refusal = await unfinished.read()
                self.assertThat(refusal, StartsWith(b'HTTP/1.1 503'))
            for number, reader in enumerate(readers):
                self.requests[number].respond(200, [], b'')
                line = await reader.readline()
                self.assertThat(line, StartsWith(b'HTTP/1.1 200'))
            self.assertThat(budget.total, LessThan(len(whole)))


class ConnectionLimitTest(ServerCase):
    """New connections at the limit."""

    @in_loop
    async def test_oldest_silent_makes_room(self) -> None:
        """Connections that said nothing make room, others stay."""
        async with self.stack:
            await self.async_listen()
            self.server.max_connections = 2
            served = await self.async_connect(PLAIN)
            request = await self.async_request()
            silent = await self.async_connect()
            await self.async_connect(PLAIN)
            await self.async_request(1)
            self.assertThat(await silent.read(), Equals(b''))
            request.respond(200, [], b'')
            line = await served.readline()
            self.assertThat(line, StartsWith(b'HTTP/1.1 200'))

    @in_loop
    async def test_no_room(self) -> None:
        """With only known callers, a new connection is closed."""
        async with self.stack:
            await self.async_listen()
            self.server.max_connections = 1
            await self.async_connect(PLAIN)
            await self.async_request()
            with suppress(ConnectionResetError):
                refused = await self.async_connect()
                self.assertThat(await refused.read(), Equals(b''))
            self.assertThat(self.requests, HasLength(1))
            self.assertThat(
                self.server.refusals.take(), Equals({'connections': 1})
            )


class UnreadAnswersTest(ServerCase):
    """Answers that their callers do not read."""

    @in_loop
    async def test_largest_aborted(self) -> None:
        """Over the limit, the connection with most unsent bytes is closed."""
        async with self.stack:
            await self.async_listen()
            self.server.unsent_budget.limit = MEBIBYTE
            reader = await self.async_connect(PLAIN)
            request = await self.async_request()
            # More than the buffers of the sockets take.
            request.respond(200, [], b'a' * 64 * MEBIBYTE)
            with suppress(ConnectionResetError):
                await reader.read()
            await support.async_until(lambda: not self.server.connection_count)
            self.assertThat(self.server.refusals.take(), Equals({'unread': 1}))


class SlowReaderTest(TestCase):
    """Answers that wait for a caller that reads little."""

    def setUp(self) -> None:
        super().setUp()
        self.transport = Mock()
        self.now = 0
        self.unsent_bytes = 5000
        self.transport.get_write_buffer_size = lambda: self.unsent_bytes
        self.unread = UnreadAnswers(
            self.transport,
            ReceiveBudget('unread answers', MEBIBYTE, Mock()),
            RefusalCounts(),
            0,
        )

    def run_seconds(self, *, written: int, taken: int) -> None:
        """Check every second while answers are written and read."""
        for _ in range(30):
            self.now += 1
            self.unsent_bytes += written - taken
            self.unread.add(written)
            self.unread.check(self.now, 10)

    def test_steady(self) -> None:
        """A caller that reads stays, also if more is added than it reads."""
        for taken in (1000, 400):
            self.run_seconds(written=1000, taken=taken)
        self.transport.abort.assert_not_called()

    def test_stalled(self) -> None:
        """A caller that reads nothing is closed, also if answers are added."""
        self.run_seconds(written=1000, taken=0)
        self.transport.abort.assert_called()


class ProcessBoundsTest(ServerCase):
    """Bounds that follow from the machine."""

    def test_small_machine(self) -> None:
        """The bounds together fit into the machine."""
        bounds = ProcessBounds(64 * MEBIBYTE, 320)
        total = bounds.received_request_bytes + bounds.received_answer_bytes
        total += bounds.unsent_bytes
        self.assertThat(total, LessThan(36 * MEBIBYTE))
        self.assertThat(bounds.max_connections(LISTENER_CALLERS), LessThan(120))

    def test_usual_machine(self) -> None:
        """A usual machine has the bounds that hold without settings."""
        bounds = ProcessBounds(200 * MEBIBYTE, 4100)
        self.assertThat(
            bounds.received_request_bytes, Equals(MAX_RECEIVED_REQUEST_BYTES)
        )
        self.assertThat(
            bounds.received_answer_bytes, Equals(MAX_RECEIVED_BYTES)
        )
        self.assertThat(
            bounds.max_connections(LISTENER_CALLERS),
            Equals(MAX_CALLER_CONNECTIONS),
        )
