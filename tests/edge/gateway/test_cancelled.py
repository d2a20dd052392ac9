"""Requests whose answer nobody waits for, with a second searcher to ask."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial

from testtools.matchers import Equals, StartsWith

from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.edge.gateway.gateway_host import GatewayHost
from tests.components.gateway.stage import make_record, make_route
from tests.edge.gateway.scripted import (
    ReceivedRequest,
    ScriptedSearcher,
    answer,
    async_call,
    in_loop,
)
from tests.edge.gateway.test_gateway_host import (
    HostCase,
    async_caller_leaves,
    async_never_answer,
    request,
)

# Requests that allow several repeats.
EARLIER_REQUESTS = 100
# Longer than it takes to send a request, in seconds.
SEND_SECONDS = 0.1


async def async_shed(release: asyncio.Event, received: ReceivedRequest) -> None:
    """Report after ``release`` is set that the request did not run."""
    await release.wait()
    received.writer.write(
        answer(received.request_id, b'', '503 Busy', ('X-Not-Run: 1',))
    )


class TwoSearchersCase(HostCase):
    """Base class with two searchers of one service, which may repeat."""

    async def async_open_both(
        self, stack: AsyncExitStack, script, **route
    ) -> GatewayHost:
        host = await self.async_open(stack, script, make_route(**route))
        searcher = ScriptedSearcher(script)
        await stack.enter_async_context(searcher)
        record = make_record('i-s-2', 's')
        record.address = searcher.address
        update = SearcherUpdate([record])
        update.sender = 'c'
        host.link.submit(update)
        now = asyncio.get_running_loop().time()
        for _ in range(EARLIER_REQUESTS):
            host.table.budget('s').record_request(now)
        self.both = (self.searchers['s'], searcher)
        return host

    def received_count(self) -> int:
        return sum(len(one.received_requests) for one in self.both)

    async def async_send(self) -> asyncio.StreamWriter:
        """Send a request and wait until a searcher has received it."""
        _, writer = await asyncio.open_connection(*self.address)
        writer.write(request())
        while not self.received_count():
            await asyncio.sleep(0.001)
        return writer


class LeavingCallerTest(TwoSearchersCase):
    """Callers that disconnect before their answer."""

    @in_loop
    async def test_cancelled(self) -> None:
        """Work that nobody waits for is not sent to another searcher.

        Guards against repeats that are never cancelled.
        """
        async with AsyncExitStack() as stack:
            host = await self.async_open_both(stack, async_caller_leaves)
            (await self.async_send()).close()
            while not any(searcher.closed for searcher in self.both):
                await asyncio.sleep(0.001)
            await asyncio.sleep(SEND_SECONDS)
            self.assertThat(self.received_count(), Equals(1))
            now = asyncio.get_running_loop().time()
            rates = [
                upstream.failure_rate(now)
                for upstream in host.table.upstreams.values()
            ]
            self.assertThat(rates, Equals([0, 0]))

    @in_loop
    async def test_shed(self) -> None:
        """A request that a searcher sheds after the caller left is dropped."""
        release = asyncio.Event()
        async with AsyncExitStack() as stack:
            script = partial(async_shed, release)
            host = await self.async_open_both(
                stack, script, timeout=9, objective=9
            )
            (await self.async_send()).close()
            while host.caller_server.connection_count:
                await asyncio.sleep(0.001)
            release.set()
            await asyncio.sleep(SEND_SECONDS)
            self.assertThat(self.received_count(), Equals(1))


class StoppingTest(TwoSearchersCase):
    """Planned stops while a request is open."""

    @in_loop
    async def test_end_of_grace_period(self) -> None:
        """A request that outlasts the grace period is not sent again.

        Guards against a stop that closes connections without an answer.
        """
        async with AsyncExitStack() as stack:
            host = await self.async_open_both(
                stack, async_never_answer, timeout=9, objective=9
            )
            call = asyncio.ensure_future(async_call(self.address, request()))
            while not self.received_count():
                await asyncio.sleep(0.001)
            await host.async_stop()
            self.assertThat(await call, StartsWith(b'HTTP/1.1 502'))
            self.assertThat(self.received_count(), Equals(1))
