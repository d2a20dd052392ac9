"""Tests of the upstream client against stand-ins and broken servers."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from typing import TypeVar

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_ERROR,
    ENDED_LEAVING,
    ENDED_LOST,
    ENDED_SNAPSHOT_NOT_HELD,
    ENDED_NOT_SENT,
    ENDED_OK,
    ENDED_SHED,
)
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.owner.upstream_messages import (
    CancelDispatch,
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    DispatchEnded,
    DispatchRequest,
    OpenConnection,
)
from snipejunction.edge.const import MAX_PAYLOAD_BYTES
from snipejunction.edge.tracing import Tracing
from snipejunction.edge.upstreams import UpstreamClient
from snipejunction.messages import Message
from snipejunction.standin.behaviour import Behaviour
from snipejunction.standin.limits import Limits
from snipejunction.standin.searcher import Searcher
from snipejunction.timers import NEVER
from tests.edge.support import async_until, in_loop

_MessageT = TypeVar('_MessageT')
_SNAPSHOT = SnapshotId(1, '2')
_LONG_SECONDS = 30.0


class _FakeOwner:
    """Sends commands and records the resulting messages."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.messages: list[Message] = []
        self.client = UpstreamClient(
            'h/1',
            self,
            Tracing('h', 0, loop.time()),
            loop,
        )

    def submit(self, message: Message) -> None:
        self.messages.append(message)

    def messages_of_type(
        self, message_type: type[_MessageT]
    ) -> list[_MessageT]:
        return [
            message
            for message in self.messages
            if isinstance(message, message_type)
        ]

    async def async_open(self, port: int, number: int = 1) -> None:
        self.client.open(OpenConnection(number, 's', '127.0.0.1', port))
        opened = ConnectionOpened(number)
        await async_until(lambda: opened in self.messages)

    def dispatch(
        self,
        number: int = 1,
        connection: int = 1,
        timeout: float = 5,
        snapshot: SnapshotId | None = _SNAPSHOT,
    ) -> None:
        self.client.dispatch(
            DispatchRequest(
                number,
                connection,
                't/s',
                't/a',
                snapshot,
                [0, 1],
                'r1',
                timeout,
                json.dumps({'text': 'red', 'limit': 3}).encode(),
                '',
            ),
        )

    async def async_wait_ended(self, number: int = 1) -> DispatchEnded:
        await async_until(lambda: self._ended_messages(number))
        return self._ended_messages(number)[0]

    async def async_wait_closed(self, number: int = 1) -> None:
        await async_until(
            lambda: any(
                message.connection_id == number
                for message in self.messages_of_type(ConnectionClosed)
            ),
        )

    def _ended_messages(self, number: int) -> list[DispatchEnded]:
        return [
            message
            for message in self.messages_of_type(DispatchEnded)
            if message.dispatch_id == number
        ]


async def _async_start_searcher(stack: AsyncExitStack) -> Searcher:
    searcher = Searcher(
        's',
        't/s',
        'lagos',
        {_SNAPSHOT: (0,)},
        Limits(slots=3, connections=4, cold_capacity=1),
        Behaviour(delay=0.001, jitter=0),
    )
    return await stack.enter_async_context(searcher)


class _OwnerTestCase(TestCase):
    """Base class with an owner and a stand-in."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = AsyncExitStack()

    async def async_start(self) -> tuple[_FakeOwner, Searcher]:
        searcher = await _async_start_searcher(self.stack)
        owner = _FakeOwner()
        self.stack.push_async_callback(owner.client.async_close)
        await owner.async_open(searcher.port)
        return owner, searcher


class DispatchTest(_OwnerTestCase):
    """Outcomes of requests to a stand-in."""

    @in_loop
    async def test_answer(self) -> None:
        """A response holds its snapshot, covered shards and boot id."""
        async with self.stack:
            owner, searcher = await self.async_start()
            owner.dispatch()
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_OK))
            self.assertThat(ended.snapshot, Equals(_SNAPSHOT))
            self.assertThat(ended.shards, Equals((0,)))
            self.assertThat(ended.boot_id, Equals(searcher.boot_id))
            self.assertThat(json.loads(ended.payload)['hits'], HasLength(3))

    @in_loop
    async def test_refusals(self) -> None:
        """Each refusal of the upstream has its own outcome."""
        async with self.stack:
            owner, searcher = await self.async_start()
            owner.dispatch(1, snapshot=SnapshotId(9, '2'))
            not_held = await owner.async_wait_ended(1)
            self.assertThat(not_held.outcome, Equals(ENDED_SNAPSHOT_NOT_HELD))
            searcher.behaviour.is_shedding = True
            owner.dispatch(2)
            shed = await owner.async_wait_ended(2)
            self.assertThat(shed.outcome, Equals(ENDED_SHED))
            searcher.is_leaving = True
            owner.dispatch(3)
            leaving = await owner.async_wait_ended(3)
            self.assertThat(leaving.outcome, Equals(ENDED_LEAVING))

    @in_loop
    async def test_stated_limit(self) -> None:
        """Answers and refusals carry the rate that the upstream states."""
        async with self.stack:
            owner, searcher = await self.async_start()
            owner.dispatch(1)
            unlimited = await owner.async_wait_ended(1)
            self.assertThat(unlimited.stated_limit, Equals(NEVER))
            searcher.limits.stated_rate.replace(2.5)
            owner.dispatch(2)
            limited = await owner.async_wait_ended(2)
            self.assertThat(limited.stated_limit, Equals(2.5))
            searcher.behaviour.is_shedding = True
            owner.dispatch(3)
            shed = await owner.async_wait_ended(3)
            self.assertThat(shed.stated_limit, Equals(2.5))

    @in_loop
    async def test_deadline(self) -> None:
        """The upstream receives the deadline and reports it as exceeded."""
        async with self.stack:
            owner, searcher = await self.async_start()
            searcher.behaviour.delay = _LONG_SECONDS
            owner.dispatch(timeout=0.05)
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_DEADLINE))

    @in_loop
    async def test_cancel_by_call(self) -> None:
        """A cancel call uses an idle connection and frees the slot."""
        async with self.stack:
            owner, searcher = await self.async_start()
            await owner.async_open(searcher.port, 2)
            searcher.behaviour.delay = _LONG_SECONDS
            owner.dispatch(timeout=_LONG_SECONDS)
            await async_until(lambda: searcher.limits.running)
            owner.client.cancel(CancelDispatch(1))
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_CANCELLED))
            self.assertThat(searcher.limits.running, Equals(0))
            searcher.behaviour.delay = 0
            owner.dispatch(2, 2)
            again = await owner.async_wait_ended(2)
            self.assertThat(again.outcome, Equals(ENDED_OK))
            self.assertThat(
                owner.messages_of_type(ConnectionClosed), Equals([])
            )

    @in_loop
    async def test_cancel_without_idle(self) -> None:
        """Without an idle connection, that of the request is aborted.

        The upstream did not confirm the cancellation: the request is lost.
        """
        async with self.stack:
            owner, searcher = await self.async_start()
            searcher.behaviour.delay = _LONG_SECONDS
            owner.dispatch(timeout=_LONG_SECONDS)
            await async_until(lambda: searcher.limits.running)
            owner.client.cancel(CancelDispatch(1))
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_LOST))
            await owner.async_wait_closed()
            await async_until(lambda: searcher.limits.running == 0)

    @in_loop
    async def test_cancel_several(self) -> None:
        """Concurrent cancel calls share one idle connection."""
        async with self.stack:
            owner, searcher = await self.async_start()
            await owner.async_open(searcher.port, 2)
            await owner.async_open(searcher.port, 3)
            searcher.behaviour.delay = _LONG_SECONDS
            owner.dispatch(1, 1, _LONG_SECONDS)
            await async_until(lambda: searcher.limits.running == 1)
            owner.dispatch(2, 2, _LONG_SECONDS)
            await async_until(lambda: searcher.limits.running == 2)
            owner.client.cancel(CancelDispatch(1))
            owner.client.cancel(CancelDispatch(2))
            ends = [
                await owner.async_wait_ended(1),
                await owner.async_wait_ended(2),
            ]
            outcomes = {ended.outcome for ended in ends}
            self.assertThat(outcomes, Equals({ENDED_CANCELLED}))
            self.assertThat(
                owner.messages_of_type(ConnectionClosed), Equals([])
            )

    @in_loop
    async def test_cancel_on_lost(self) -> None:
        """A cancel call on a closed connection still ends the request.

        The connection of the request is aborted, so the request is lost.
        """
        async with self.stack:
            owner, searcher = await self.async_start()
            await owner.async_open(searcher.port, 2)
            searcher.behaviour.delay = _LONG_SECONDS
            owner.dispatch(timeout=_LONG_SECONDS)
            await async_until(lambda: searcher.limits.running)
            owner.client.cancel(CancelDispatch(1))
            owner.client.close(CloseConnection(2))
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_LOST))
            await async_until(lambda: searcher.limits.running == 0)

    @in_loop
    async def test_silence(self) -> None:
        """An unresponsive connection is aborted after the deadline."""
        async with self.stack:
            owner, searcher = await self.async_start()
            searcher.silence_connections()
            owner.dispatch(timeout=0.05)
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_LOST))
            await owner.async_wait_closed()
            await owner.async_open(searcher.port, 2)
            owner.dispatch(2, 2)
            fresh = await owner.async_wait_ended(2)
            self.assertThat(fresh.outcome, Equals(ENDED_OK))


class ConnectionTest(_OwnerTestCase):
    """One TCP connection per connection id, and no other."""

    @in_loop
    async def test_limit_is_exact(self) -> None:
        """The announced limit is never exceeded, also right after a close.

        A connection that the upstream still counts must not be reported as
        closed, or the next one exceeds the limit.
        """
        async with self.stack:
            owner, searcher = await self.async_start()
            await owner.async_open(searcher.port, 2)
            await owner.async_open(searcher.port, 3)
            await owner.async_open(searcher.port, 4)
            owner.client.close(CloseConnection(1))
            await owner.async_wait_closed(1)
            await owner.async_open(searcher.port, 5)
            self.assertThat(searcher.limits.breaches, Equals({}))

    @in_loop
    async def test_refused(self) -> None:
        """A connection that cannot be opened is reported as closed."""
        async with self.stack:
            owner, searcher = await self.async_start()
            port = searcher.port
            await searcher.__aexit__()
            owner.client.open(OpenConnection(2, 's', '127.0.0.1', port))
            await owner.async_wait_closed(2)

    @in_loop
    async def test_not_sent(self) -> None:
        """A request on a closed connection ends as not sent."""
        async with self.stack:
            owner, searcher = await self.async_start()
            await searcher.__aexit__()
            await owner.async_wait_closed()
            owner.dispatch()
            ended = await owner.async_wait_ended()
            self.assertThat(ended.outcome, Equals(ENDED_NOT_SENT))

    @in_loop
    async def test_close_while_opening(self) -> None:
        """A connection closed while opening is never reported as open."""
        async with self.stack:
            owner, searcher = await self.async_start()
            opening = OpenConnection(2, 's', '127.0.0.1', searcher.port)
            owner.client.open(opening)
            owner.client.close(CloseConnection(2))
            await owner.async_wait_closed(2)
            self.assertThat(
                owner.messages_of_type(ConnectionOpened), HasLength(1)
            )


class BrokenUpstreamTest(TestCase):
    """Servers that violate the protocol."""

    async def async_outcome(self, answer: bytes) -> tuple[str, int]:
        """Return the outcome and the number of requests received."""
        requests: list[bytes] = []

        server = await asyncio.start_server(
            _FixedReplyServer(answer, requests).async_answer,
            '127.0.0.1',
            0,
        )
        async with AsyncExitStack() as stack:
            stack.callback(server.close)
            owner = _FakeOwner()
            stack.push_async_callback(owner.client.async_close)
            await owner.async_open(server.sockets[0].getsockname()[1])
            owner.dispatch()
            ended = await owner.async_wait_ended()
        return ended.outcome, len(requests)

    @in_loop
    async def test_reset_after_request(self) -> None:
        """A connection closed without a response ends the request as lost."""
        outcome = await self.async_outcome(b'')
        self.assertThat(outcome, Equals((ENDED_LOST, 1)))

    @in_loop
    async def test_garbage(self) -> None:
        """A response that is not HTTP ends the request as lost."""
        outcome = await self.async_outcome(b'\x00\xff' * 40)
        self.assertThat(outcome, Equals((ENDED_LOST, 1)))

    @in_loop
    async def test_truncated(self) -> None:
        """A truncated response ends the request as lost."""
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf'
        outcome = await self.async_outcome(response)
        self.assertThat(outcome, Equals((ENDED_LOST, 1)))

    @in_loop
    async def test_late_refusal(self) -> None:
        """A refusal that names another request proves nothing of this one."""
        for name, outcome in (('h/1/1', ENDED_SHED), ('h/1/0', ENDED_LOST)):
            refusal = (
                f'HTTP/1.1 503 Full\r\nX-Refusal: shed\r\nX-Boot-Id: b\r\n'
                f'X-Dispatch-Id: {name}\r\nContent-Length: 0\r\n\r\n'
            )
            found = await self.async_outcome(refusal.encode())
            self.assertThat(found, Equals((outcome, 1)))

    @in_loop
    async def test_redirect(self) -> None:
        """A redirect is an error; following it would send it twice."""
        response = (
            b'HTTP/1.1 307 Moved\r\nLocation: /other\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        outcome = await self.async_outcome(response)
        self.assertThat(outcome, Equals((ENDED_ERROR, 1)))

    @in_loop
    async def test_huge(self) -> None:
        """A response over the size limit is an error."""
        size = MAX_PAYLOAD_BYTES + 1
        response = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
        outcome = await self.async_outcome(response.encode())
        self.assertThat(outcome, Equals((ENDED_ERROR, 1)))


class _FixedReplyServer:
    """Sends the same bytes for each request and closes."""

    def __init__(self, answer: bytes, requests: list[bytes]) -> None:
        self._answer = answer
        self._requests = requests

    async def async_answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Handle one connection."""
        self._requests.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(self._answer)
        writer.close()
