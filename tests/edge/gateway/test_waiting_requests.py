"""Requests that wait for room at an entry host, on real sockets."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial

from testtools.matchers import Equals, HasLength, StartsWith

from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.document import Document
from tests.components.gateway.stage import make_route
from tests.edge.gateway.scripted import async_call, in_loop, request
from tests.edge.gateway.test_gateway_host import (
    LIMITS,
    HostCase,
    async_wait,
)


class WaitingTest(HostCase):
    """Requests to a searcher that is full for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.drops: list[str] = []

    def make_document(self, routes) -> Document:
        document = super().make_document(routes)
        if self.drops:
            return Document(2, (), {}, LIMITS, has_queue=True)
        return Document(1, routes, document.services, LIMITS, has_queue=True)

    async def async_open_full(self, stack, seconds: float):
        release = asyncio.Event()
        release.set()
        host = await self.async_open(
            stack, partial(async_wait, release), make_route(objective=0.8)
        )
        now = asyncio.get_running_loop().time()
        for upstream in host.table.upstreams.values():
            upstream.full_until = now + seconds
        return host

    @in_loop
    async def test_served_when_there_is_room(self) -> None:
        async with AsyncExitStack() as stack:
            host = await self.async_open_full(stack, 0.05)
            reply = await async_call(self.address, request('/p/', 'r1'))
            self.assertThat(host.table.scheduling.queue, HasLength(0))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))

    @in_loop
    async def test_refused_without_room(self) -> None:
        """The answer comes at once and no searcher sees the request."""
        async with AsyncExitStack() as stack:
            await self.async_open_full(stack, 5)
            reply = await async_call(self.address, request('/p/', 'r1'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 503'))
        self.assertThat(self.searchers['s'].received_requests, HasLength(0))

    @in_loop
    async def test_route_dropped_meanwhile(self) -> None:
        """The newer document counts when the request leaves the queue."""
        async with AsyncExitStack() as stack:
            host = await self.async_open_full(stack, 0.1)
            call = asyncio.create_task(
                async_call(self.address, request('/p/', 'r1'))
            )
            while not host.table.scheduling.queue:
                await asyncio.sleep(0)
            self.drops.append('r')
            update = DeploymentUpdate(2, 2, b'', {})
            update.sender = 'c'
            host.link.submit(update)
            reply = await call
        self.assertThat(reply, StartsWith(b'HTTP/1.1 404'))
        self.assertThat(self.searchers['s'].received_requests, HasLength(0))

    @in_loop
    async def test_caller_leaves(self) -> None:
        """A caller that leaves while it waits leaves the queue."""
        async with AsyncExitStack() as stack:
            host = await self.async_open_full(stack, 0.15)
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(request('/p/', 'r1'))
            while not host.table.scheduling.queue:
                await asyncio.sleep(0)
            writer.close()
            while host.table.scheduling.queue:
                await asyncio.sleep(0)
            now = asyncio.get_running_loop().time()
            full_until = host.table.upstreams['i-s'].full_until
        self.assertThat(now < full_until, Equals(True))
