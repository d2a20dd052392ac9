"""Connections to searchers that violate the protocol."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.edge.gateway.carried_ids import (
    MAX_REQUESTS_PER_CONNECTION,
)
from snipejunction.edge.gateway.const import (
    CONNECT_SECONDS,
    MAX_RECEIVED_BYTES,
)
from snipejunction.edge.gateway.searcher_pool import (
    PendingRequest,
    SearcherPool,
)
from snipejunction.edge.periodic_check import PeriodicCheck
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.timers import NEVER
from tests.components.gateway.stage import make_record
from tests.edge.gateway.scripted import (
    HEADER_NAMES,
    ReceivedRequest,
    ScriptedSearcher,
    answer,
    in_loop,
)

# Interval of the check of how late a host is, in seconds.
CHECK_SECONDS = 0.05


def make_budget() -> ReceiveBudget:
    """Return a budget of a host's searchers without a log."""
    return ReceiveBudget('searchers', MAX_RECEIVED_BYTES, lambda event: None)


async def async_answer(received: ReceivedRequest) -> None:
    """Answer with status 200."""
    received.writer.write(answer(received.request_id))


async def async_announced_close(received: ReceivedRequest) -> None:
    """Answer with ``Connection: close``."""
    content = answer(received.request_id, b'', '200 OK', 'Connection: close')
    received.writer.write(content)


async def async_short_idle_time(received: ReceivedRequest) -> None:
    """Answer with an idle timeout of 0 seconds."""
    content = answer(
        received.request_id,
        b'',
        '200 OK',
        ('Keep-Alive: timeout=0',),
    )
    received.writer.write(content)


async def async_not_run(received: ReceivedRequest) -> None:
    """Answer 503, to all requests but ``r2`` as not run."""
    extra = () if received.request_id == 'r2' else ('X-Not-Run: 1',)
    content = answer(received.request_id, b'', '503 Busy', extra)
    received.writer.write(content)


async def async_limited(received: ReceivedRequest) -> None:
    """State a limit with an answer and with a refusal."""
    limit = ('X-Limit: 2.5',)
    if received.request_id == 'r1':
        received.writer.write(answer('r1', extra=limit))
        return
    refusal = (*limit, 'X-Not-Run: 1')
    received.writer.write(
        answer(received.request_id, b'', '503 Full', extra=refusal)
    )


async def async_misdirected(received: ReceivedRequest) -> None:
    """Answer 421, to all requests but ``r2`` as another searcher does."""
    extra = () if received.request_id == 'r2' else ('X-Not-Run: 1',)
    content = answer(received.request_id, b'', '421 Misdirected', extra)
    received.writer.write(content)


async def async_extra_answer(received: ReceivedRequest) -> None:
    """Answer twice."""
    content = answer(received.request_id)
    received.writer.write(content)
    received.writer.write(answer(received.request_id, b'again'))


async def async_late_answer_to_another(received: ReceivedRequest) -> None:
    """Answer an earlier request before this one."""
    received.writer.write(answer('r0', b'wrong'))
    received.writer.write(answer(received.request_id))


async def async_cut_body(received: ReceivedRequest) -> None:
    """Close the connection before the end of the body."""
    received.writer.write(answer(received.request_id)[:-2])
    await received.writer.drain()
    received.writer.close()


async def async_garbage(received: ReceivedRequest) -> None:
    """Answer with bytes that are not HTTP."""
    received.writer.write(b'\x00\x01 what is this\r\n\r\n')


async def async_unframed(received: ReceivedRequest) -> None:
    """Answer without a length and close the connection."""
    head = 'HTTP/1.1 200 OK\r\nX-Signature: sig\r\n\r\n'
    received.writer.write(head.encode())
    received.writer.write(b'whole')
    await received.writer.drain()
    received.writer.close()


async def async_unframed_and_reset(received: ReceivedRequest) -> None:
    """Answer without a length and reset the connection."""
    head = 'HTTP/1.1 200 OK\r\nX-Signature: sig\r\n\r\n'
    received.writer.write(head.encode())
    received.writer.write(b'half')
    await received.writer.drain()
    received.reset()


async def async_silent(received: ReceivedRequest) -> None:
    """Never answer; wait for the connection to close."""
    await received.reader.read()
    raise ConnectionResetError


async def async_copy_without_id(received: ReceivedRequest) -> None:
    """Answer ``r1`` twice in one write, the second time without an id."""
    content = answer(received.request_id, received.request_id.encode())
    if received.request_id == 'r1':
        copy = content.replace(b'X-Id: r1\r\n', b'')
        content = b''.join((content, copy))
    received.writer.write(content)


async def async_without_id(received: ReceivedRequest) -> None:
    """Answer without the id of the request."""
    content = answer(received.request_id)
    received.writer.write(content.replace(b'X-Id: ', b'X-Other: '))


class Caller:
    """Sends requests to one searcher through a pool."""

    def __init__(self, address: str, budget: ReceiveBudget) -> None:
        self.loop = asyncio.get_running_loop()
        record = make_record('i-1')
        record.address = address
        self.upstream = Upstream(record, 'c', 0)
        self.check = PeriodicCheck(
            self.loop, CHECK_SECONDS, lambda now, lateness: None
        )
        self.pool = SearcherPool(
            HEADER_NAMES,
            self.loop,
            budget,
            lambda: self.check.late_seconds,
        )
        self.last: PendingRequest | None = None

    def send(self, request_id: str = 'r1') -> asyncio.Future[Outcome]:
        future: asyncio.Future[Outcome] = self.loop.create_future()
        content = f'GET /p HTTP/1.1\r\nX-Id: {request_id}\r\n\r\n'.encode()
        self.last = PendingRequest(
            content, b'', request_id.encode(), future.set_result
        )
        self.pool.send(self.upstream, self.last)
        return future


class PoolCase(TestCase):
    """Base class with a pool and a scripted searcher."""

    async def async_open(
        self,
        stack: AsyncExitStack,
        script,
        budget: ReceiveBudget | None = None,
    ) -> Caller:
        searcher = ScriptedSearcher(script)
        self.searcher = await stack.enter_async_context(searcher)
        caller = Caller(searcher.address, budget or make_budget())
        stack.push_async_callback(caller.pool.async_close)
        return caller


class CompliantSearcherTest(PoolCase):
    """Searchers that follow the protocol."""

    @in_loop
    async def test_host_that_did_not_run_keeps_its_connects(self) -> None:
        """A host gives up no connection because it did not run itself.

        Guards against hosts on busy processors that open one connection after
        the other and use none of them.
        """
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            caller.check.start()
            stack.callback(caller.check.stop)
            outcome = caller.send()
            # The connect begins, then the host and the searcher stand still.
            await asyncio.sleep(0)
            time.sleep(CONNECT_SECONDS + CHECK_SECONDS)
            self.assertThat((await outcome).kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(self.searcher.connections, Equals(1))

    @in_loop
    async def test_reuse(self) -> None:
        """Consecutive requests use the same connection."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            for number in range(3):
                outcome = await caller.send(f'r{number}')
                self.assertThat(outcome.reply.body, Equals(b'body'))
                self.assertThat(outcome.reply.signature, Equals('sig'))
            self.assertThat(self.searcher.connections, Equals(1))

    @in_loop
    async def test_announced_close(self) -> None:
        """A connection with ``Connection: close`` is not reused."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_announced_close)
            await caller.send()
            await caller.send()
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_short_idle_time(self) -> None:
        """An idle timeout shorter than the safety margin prevents reuse."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_short_idle_time)
            await caller.send()
            await caller.send()
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_not_run(self) -> None:
        """Only the not-run header proves that a request did not run."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_not_run)
            shed = await caller.send('r1')
            failed = await caller.send('r2')
            self.assertThat(shed.kind, Is(OutcomeKind.SHED))
            self.assertThat(failed.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(failed.reply.status, Equals(503))

    @in_loop
    async def test_stated_limit(self) -> None:
        """Answers and refusals tell the limit; without one there is none."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_limited)
            for request_id in ('r1', 'r2'):
                outcome = await caller.send(request_id)
                self.assertThat(outcome.stated_limit, Equals(2.5))
            other = await self.async_open(stack, async_answer)
            outcome = await other.send()
            self.assertThat(outcome.stated_limit, Equals(NEVER))

    @in_loop
    async def test_misdirected(self) -> None:
        """Status 421 means that another searcher has the address.

        Without the not-run header it is a failure like any other: the
        searcher itself may have run the request.
        """
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_misdirected)
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.MISDIRECTED))
            failed = await caller.send('r2')
            self.assertThat(failed.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(failed.reply.status, Equals(421))


class CheatingSearcherTest(PoolCase):
    """Searchers that violate the protocol or fail."""

    @in_loop
    async def test_extra_answer(self) -> None:
        """A second answer right after the first ends the connection."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_extra_answer)
            first = await caller.send('r1')
            second = await caller.send('r2')
            self.assertThat(first.reply.body, Equals(b'body'))
            self.assertThat(second.reply.body, Equals(b'body'))
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_late_answer_to_another(self) -> None:
        """An answer with another id is dropped; the right one follows."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_late_answer_to_another)
            outcome = await caller.send()
            self.assertThat(outcome.reply.body, Equals(b'body'))

    @in_loop
    async def test_cut_body(self) -> None:
        """A truncated body is reported as a lost request."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_cut_body)
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))

    @in_loop
    async def test_garbage(self) -> None:
        """Bytes that are not HTTP close the connection."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_garbage)
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))

    @in_loop
    async def test_unframed(self) -> None:
        """The end of the connection completes a body without a length."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_unframed)
            outcome = await caller.send()
            self.assertThat(outcome.reply.body, Equals(b'whole'))

    @in_loop
    async def test_unframed_and_reset(self) -> None:
        """A reset does not complete a body without a length."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_unframed_and_reset)
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))

    @in_loop
    async def test_silent(self) -> None:
        """Cancelling a request in flight closes its connection."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_silent)
            future = caller.send()
            while not self.searcher.received_requests:
                await asyncio.sleep(0)
            caller.last.cancel('too late')
            outcome = await future
            self.assertThat(outcome.kind, Is(OutcomeKind.CANCELLED))
            while not self.searcher.closed:
                await asyncio.sleep(0)

    @in_loop
    async def test_refused(self) -> None:
        """A refused connection proves that the request did not run."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            caller.upstream.record.address = '127.0.0.1:1'
            outcome = await caller.send()
            self.assertThat(outcome.kind, Is(OutcomeKind.REFUSED))

    @in_loop
    async def test_unusable_address(self) -> None:
        """A request to an address that cannot be used ends as refused."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            for address in ('127.0.0.1:70000', 'shop\x00:80', 'nowhere'):
                caller.upstream.record.address = address
                outcome = await asyncio.wait_for(caller.send(), timeout=5)
                self.assertThat(outcome.kind, Is(OutcomeKind.REFUSED))

    @in_loop
    async def test_cancelled_before_it_was_sent(self) -> None:
        """A request that is cancelled while connecting is not sent."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            future = caller.send()
            caller.last.cancel('not needed')
            self.assertThat((await future).kind, Is(OutcomeKind.UNSENT))
            self.assertThat(self.searcher.received_requests, Equals([]))


class SameReadTest(PoolCase):
    """A second copy of an answer in the same read as the first."""

    @in_loop
    async def test_next_request_at_once(self) -> None:
        """The next request does not get the copy as its answer.

        The next request of a pipelining caller is sent while the rest of the
        read is still unparsed.
        """
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_copy_without_id)
            seconds: list[asyncio.Future[Outcome]] = []
            first = PendingRequest(
                b'GET /p HTTP/1.1\r\nX-Id: r1\r\n\r\n',
                b'',
                b'r1',
                lambda outcome: seconds.append(caller.send('r2')),
            )
            caller.pool.send(caller.upstream, first)
            while not seconds:
                await asyncio.sleep(0)
            outcome = await seconds[0]
            self.assertThat(outcome.reply.body, Equals(b'r2'))


class ResetLoop:
    """Event loop whose connections are reset as soon as they open."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.time = loop.time
        self.create_task = loop.create_task

    async def create_connection(self, factory, ip: str, port: int):
        """Return a connection that is already lost."""
        connection = factory()
        connection.connection_made(FakeTransport())
        connection.connection_lost(ConnectionResetError())
        return None, connection


class FakeTransport(asyncio.Transport):
    """A transport without a socket."""

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Accept any limits."""


class ResetAtOnceTest(TestCase):
    """A searcher at its connection limit resets new connections."""

    @in_loop
    async def test_refused(self) -> None:
        """The request is reported as refused and does not hang."""
        loop = ResetLoop(asyncio.get_running_loop())
        pool = SearcherPool(HEADER_NAMES, loop, make_budget())
        outcomes: list[Outcome] = []
        upstream = Upstream(make_record('a'), 'c', 0)
        pool.send(upstream, PendingRequest(b'', b'', b'r', outcomes.append))
        while not outcomes:
            await asyncio.sleep(0)
        self.assertThat(outcomes[0].kind, Is(OutcomeKind.REFUSED))
        self.assertThat(pool.connection_count, Equals(0))


class LateCopies:
    """Rejects the first attempt of ``r1`` and repeats that before the second.

    ``lacks_id`` leaves the id out of the copy.
    """

    def __init__(self, *, lacks_id: bool = False) -> None:
        self.lacks_id = lacks_id
        self.rejected: set[str] = set()
        self.copies: dict[asyncio.StreamWriter, bytes] = {}

    async def __call__(self, received: ReceivedRequest) -> None:
        content = answer(received.request_id)
        if received.request_id == 'r1' and not self.rejected:
            self.rejected.add('r1')
            content = answer('r1', b'', '503 Full', ('X-Not-Run: 1',))
            copy = content.replace(b'X-Id: r1\r\n', b'')
            self.copies[received.writer] = copy if self.lacks_id else content
        else:
            received.writer.write(self.copies.pop(received.writer, b''))
        received.writer.write(content)


class RepeatedIdTest(PoolCase):
    """Attempts of one request at the same searcher."""

    @in_loop
    async def test_late_copy_of_rejection(self) -> None:
        """A second attempt is not ended by a copy of the first rejection.

        Guards against requests that count as not run while they run.
        """
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, LateCopies())
            self.assertThat(
                (await caller.send('r1')).kind, Is(OutcomeKind.SHED)
            )
            outcome = await caller.send('r1')
            self.assertThat(outcome.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_others_between(self) -> None:
        """A connection carries an id once, whatever it carried since."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            for request_id in ('r1', 'r2', 'r3', 'r1', 'r2', 'r4'):
                await caller.send(request_id)
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_one_id(self) -> None:
        """Requests that all have one id keep no connections open."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            for _ in range(5):
                outcome = await caller.send('r1')
                self.assertThat(outcome.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(caller.pool.connection_count, Equals(1))

    @in_loop
    async def test_late_copy_without_id(self) -> None:
        """An answer without an id on a used connection proves nothing."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, LateCopies(lacks_id=True))
            await caller.send('r1')
            outcome = await caller.send('r2')
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))

    @in_loop
    async def test_answer_without_id(self) -> None:
        """A connection is not used again after an answer without an id."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_without_id)
            for request_id in ('r1', 'r2'):
                outcome = await caller.send(request_id)
                self.assertThat(outcome.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(self.searcher.connections, Equals(2))

    @in_loop
    async def test_replaced_connection(self) -> None:
        """A connection that remembers many ids is replaced."""
        async with AsyncExitStack() as stack:
            caller = await self.async_open(stack, async_answer)
            for number in range(MAX_REQUESTS_PER_CONNECTION + 1):
                await caller.send(f'r{number}')
            self.assertThat(self.searcher.connections, Equals(2))
            self.assertThat(caller.pool.connection_count, Equals(1))
