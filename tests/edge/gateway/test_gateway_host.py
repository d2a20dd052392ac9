"""An entry host with callers and searchers on real sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from functools import partial

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import (
    Contains,
    Equals,
    Is,
    LessThan,
    MatchesAny,
    StartsWith,
)

from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.gateway.document import (
    CallerLimits,
    Document,
    Route,
    Service,
)
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.gateway_host import GatewayHost
from snipejunction.edge.gateway.host_profile import (
    HostProfile,
    ListenAddresses,
)
from snipejunction.edge.keys import PeerKeys
from tests.components.gateway.stage import make_record, make_route
from tests.edge.gateway.scripted import (
    HEADER_NAMES,
    ReceivedRequest,
    ScriptedSearcher,
    answer,
    async_call,
    in_loop,
    request,
)

LIMITS = CallerLimits(2048, 4096, 0.3, 0.3)


def make_profile(
    peer_port: int = 0,
    data_centre: str = 'near',
) -> HostProfile:
    """Return the profile of a host without seeds."""
    return HostProfile(
        ip='127.0.0.1',
        peer_port=peer_port,
        data_centre=data_centre,
        regions={'near': 'one', 'beside': 'one'},
        seeds=(),
        is_first_start=False,
        incarnation='i',
        stop_grace_seconds=1,
        announce_seconds=1,
        address_ttl_seconds=5,
        repeat_limits=RepeatLimits(0.2, 60, 10),
        addresses=ListenAddresses(callers=('127.0.0.1', 0)),
    )


# Bytes of a message that never ends, and the possible replies to it.
ENDLESS = 8388608
REFUSALS = (b'', b'HTTP/1.1 413', b'HTTP/1.1 431')


async def async_unchanged(received: ReceivedRequest) -> None:
    """Read a body of 5 bytes and answer 201."""
    received.body = await received.reader.readexactly(5)
    received.writer.write(answer(received.request_id, b'made', '201 Made'))


async def async_chunked_body(received: ReceivedRequest) -> None:
    """Read a body of 9 bytes and answer."""
    received.body = await received.reader.readexactly(9)
    received.writer.write(answer(received.request_id))


async def async_caller_leaves(received: ReceivedRequest) -> None:
    """Never answer; wait for the connection to close."""
    await received.reader.read()
    raise ConnectionResetError


async def async_merged(received: ReceivedRequest) -> None:
    """Answer with a record of the shard and a common one."""
    shard = received.header('x-expected')[-1].encode()
    body = b''.join((shard * 16, b'0' * 16))
    received.writer.write(answer(received.request_id, body))


async def async_wait(release: asyncio.Event, received: ReceivedRequest) -> None:
    """Answer after ``release`` is set."""
    await release.wait()
    received.writer.write(answer(received.request_id))


async def async_never_answer(received: ReceivedRequest) -> None:
    """Never answer; wait for the connection to close."""
    await received.reader.read()
    raise ConnectionResetError


class HostCase(TestCase):
    """Base class with a host, a document and scripted searchers."""

    async def async_open(
        self,
        stack: AsyncExitStack,
        script,
        *routes: Route,
    ) -> GatewayHost:
        self.searchers = {}
        loop = asyncio.get_running_loop()
        reading, writing = socket.socketpair()
        stack.callback(reading.close)
        stack.callback(writing.close)
        host = GatewayHost(
            make_profile(),
            PeerKeys([b'0123456789abcdef']),
            HEADER_NAMES,
            lambda content: self.make_document(routes),
            EventLog('h', 'entry', loop, writing.fileno()),
            1,
        )
        await stack.enter_async_context(host)
        deployment = DeploymentUpdate(1, 1, b'', {})
        deployment.sender = 'c'
        host.link.submit(deployment)
        records = []
        for name in self.service_names(routes):
            searcher = ScriptedSearcher(script)
            await stack.enter_async_context(searcher)
            record = make_record(f'i-{name}', name)
            record.address = searcher.address
            records.append(record)
            self.searchers[name] = searcher
        update = SearcherUpdate(records)
        update.sender = 'c'
        host.link.submit(update)
        self.address = ('127.0.0.1', host.caller_server.port)
        return host

    def service_names(self, routes) -> list[str]:
        names = {name for route in routes for name in route.shards}
        names |= {
            target.service for route in routes for target in route.targets
        }
        return sorted(names)

    def make_document(self, routes) -> Document:
        services = {
            name: Service(name, 30, 3, 0) for name in self.service_names(routes)
        }
        return Document(1, routes, services, LIMITS)


class ForwardingTest(HostCase):
    """Requests that one searcher serves."""

    @in_loop
    async def test_unchanged(self) -> None:
        """Method, target, body and headers reach the searcher as sent."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_unchanged, make_route())
            content = request(
                '/p/x?q=%20',
                'r7',
                ('X-Other: kept', 'Te: trailers'),
                method='POST',
                body=b'hello',
            )
            reply = await async_call(self.address, content)
        received = self.searchers['s'].received_requests[0]
        first = received.head.partition(b'\r\n')[0]
        self.assertThat(first, Equals(b'POST /p/x?q=%20 HTTP/1.1'))
        self.assertThat(received.request_id, Equals('r7'))
        self.assertThat(received.header('host'), Equals('a.example'))
        self.assertThat(received.header('x-other'), Equals('kept'))
        self.assertThat(received.header('te'), Equals(''))
        self.assertThat(received.header('x-expected'), Equals('i-s'))
        self.assertThat(int(received.header('x-deadline')) <= 1000, Is(True))
        self.assertThat(received.body, Equals(b'hello'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 201 Created'))
        self.assertThat(reply, Contains(b'x-signature: sig'))
        self.assertThat(reply.endswith(b'\r\n\r\nmade'), Is(True))

    @in_loop
    async def test_chunked_body(self) -> None:
        """A chunked body is forwarded whole, with a length."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_chunked_body, make_route())
            content = request('/p/', 'r', ('Transfer-Encoding: chunked',))
            content = content.replace(b'GET', b'POST')
            chunks = b'4\r\nhalf\r\n5\r\nwhole\r\n0\r\n\r\n'
            content = b''.join((content, chunks))
            reply = await async_call(self.address, content)
        received = self.searchers['s'].received_requests[0]
        self.assertThat(received.body, Equals(b'halfwhole'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))

    @in_loop
    async def test_unknown_route(self) -> None:
        """A request that matches no route gets 404."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, self.refuse, make_route())
            reply = await async_call(self.address, request('/other/x'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 404'))

    @in_loop
    async def test_caller_leaves(self) -> None:
        """Attempts are cancelled soon after the caller disconnects."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_caller_leaves, make_route())
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(request())
            while not self.searchers['s'].received_requests:
                await asyncio.sleep(0.001)
            started = asyncio.get_running_loop().time()
            writer.close()
            while not self.searchers['s'].closed:
                await asyncio.sleep(0.001)
            elapsed = asyncio.get_running_loop().time() - started
        self.assertThat(elapsed, LessThan(0.5))

    async def refuse(self, received: ReceivedRequest) -> None:
        raise AssertionError('the searcher received a request')


class MergingTest(HostCase):
    """Requests to which several searchers contribute."""

    @in_loop
    async def test_merged(self) -> None:
        """The answer has the top records and signatures of all parts."""
        route = make_route(shards=('s1', 's2', 's3'), top=4, min_share=0.6)
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_merged, route)
            reply = await async_call(self.address, request())
        body = b''.join(record * 16 for record in (b'3', b'2', b'1', b'0'))
        self.assertThat(reply.endswith(body), Is(True))
        self.assertThat(reply, Contains(b'x-signatures: sig, sig, sig'))
        self.assertThat(reply, Contains(b'x-missing: 0'))


class BadInputTest(HostCase):
    """Malformed requests and requests over the limits."""

    async def async_reply(self, content: bytes) -> bytes:
        async with AsyncExitStack() as stack:
            await self.async_open(stack, self.script, make_route())
            reply = await async_call(self.address, content)
            good = await async_call(self.address, request('/p/x', 'after'))
        self.assertThat(good, StartsWith(b'HTTP/1.1 200'))
        return reply

    async def script(self, received: ReceivedRequest) -> None:
        received.writer.write(answer(received.request_id))

    @in_loop
    async def test_garbage(self) -> None:
        """Bytes that are not HTTP get 400."""
        reply = await self.async_reply(b'\x16\x03\x01\x00 garbage\r\n\r\n')
        self.assertThat(reply, StartsWith(b'HTTP/1.1 400'))

    @in_loop
    async def test_two_lengths(self) -> None:
        """A request with a length and chunks is refused, not forwarded."""
        content = request(
            '/p/',
            'r',
            ('Transfer-Encoding: chunked',),
            body=b'5',
        )
        reply = await self.async_reply(content.replace(b'GET', b'POST'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 400'))

    @in_loop
    async def test_long_header(self) -> None:
        """Headers over the limit are refused."""
        content = request('/p/', 'r', ('X-Long: {0}'.format('y' * 3000),))
        reply = await self.async_reply(content)
        self.assertThat(reply, StartsWith(b'HTTP/1.1 431'))

    @in_loop
    async def test_long_body(self) -> None:
        """Bodies over the limit are refused."""
        content = request('/p/', 'r', method='POST', body=b'y' * 5000)
        reply = await self.async_reply(content)
        self.assertThat(reply, StartsWith(b'HTTP/1.1 413'))

    @in_loop
    async def test_endless_header_line(self) -> None:
        """A header line without end is refused before the timeout.

        The parser reports a line only once it is complete.
        """
        content = b''.join((b'GET /p/ HTTP/1.1\r\nX-Long: ', b'y' * ENDLESS))
        reply = await self.async_reply(content)
        # The reset after the refusal may overtake it.
        self.assertThat(reply[:12], MatchesAny(*map(Equals, REFUSALS)))

    @in_loop
    async def test_endless_trailers(self) -> None:
        """Trailers without end are refused before the timeout."""
        head = request(extra=('Transfer-Encoding: chunked',), method='POST')
        content = b''.join((head, b'0\r\nX-Long: ', b'y' * ENDLESS))
        reply = await self.async_reply(content)
        self.assertThat(reply[:12], MatchesAny(*map(Equals, REFUSALS)))

    @in_loop
    async def test_incomplete_request(self) -> None:
        """An incomplete request gets 408 after the header timeout."""
        reply = await self.async_reply(b'GET /p/ HTTP/1.1\r\nHost: a')
        self.assertThat(reply, StartsWith(b'HTTP/1.1 408'))

    @in_loop
    async def test_without_id(self) -> None:
        """A request without an id is refused."""
        content = request().replace(b'X-Id', b'X-Ib')
        reply = await self.async_reply(content)
        self.assertThat(reply, StartsWith(b'HTTP/1.1 400'))

    @given(st.binary(max_size=300))
    def test_any_bytes(self, content: bytes) -> None:
        """The host serves the next caller after any bytes."""
        asyncio.run(self.async_reply(b'%s\r\n\r\n' % content))


class StoppingTest(HostCase):
    """Planned stops of the host."""

    @in_loop
    async def test_open_request_is_answered(self) -> None:
        """A request that is open when the stop begins gets its answer."""
        release = asyncio.Event()
        script = partial(async_wait, release)
        async with AsyncExitStack() as stack:
            host = await self.async_open(stack, script, make_route(timeout=9))
            call = asyncio.ensure_future(
                async_call(self.address, request()),
            )
            while not self.searchers['s'].received_requests:
                await asyncio.sleep(0.001)
            stop = asyncio.ensure_future(host.async_stop())
            await asyncio.sleep(0)
            self.assertThat(host.is_ready, Is(False))
            release.set()
            self.assertThat(await call, StartsWith(b'HTTP/1.1 200'))
            await stop

    @in_loop
    async def test_answer_at_end_of_grace_period(self) -> None:
        """A request that outlasts the grace period gets 502."""
        async with AsyncExitStack() as stack:
            route = make_route(timeout=9, attempts=1)
            host = await self.async_open(stack, async_never_answer, route)
            call = asyncio.ensure_future(
                async_call(self.address, request()),
            )
            while not self.searchers['s'].received_requests:
                await asyncio.sleep(0.001)
            await host.async_stop()
            self.assertThat(await call, StartsWith(b'HTTP/1.1 502'))
