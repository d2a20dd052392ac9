"""An entry host whose document lists customers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from hashlib import sha256

from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    LessThan,
    Not,
    StartsWith,
)

from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.document import Customer, Document
from tests.components.gateway.stage import make_route
from tests.edge.gateway.scripted import (
    ReceivedRequest,
    answer,
    async_call,
    in_loop,
    request,
)
from tests.edge.gateway.test_gateway_host import LIMITS, HostCase
from tests.edge.gateway.test_relays import RelaysCase, async_answer

KEY = 'X-Key: k-large'
SPOOFED = ('X-CUSTOMER: other', 'x-customer: another', 'X-key: k-large')


def make_customer(name: str, *keys: str, **fields) -> Customer:
    """Return a customer with keys."""
    digests = (sha256(key.encode()).digest() for key in keys)
    return Customer(name, frozenset(digests), **fields)


async def async_ok(received: ReceivedRequest) -> None:
    """Answer at once."""
    received.writer.write(answer(received.request_id))


def customer_headers(received: ReceivedRequest) -> list[str]:
    """Return all lines about keys and customers in a received head."""
    return [
        line
        for line in received.head.decode().lower().split('\r\n')
        if 'x-key' in line or 'x-customer' in line or 'k-large' in line
    ]


class CustomersCase(HostCase):
    """Base class with a document of ``customers`` and one route."""

    is_public = False

    def make_document(self, routes) -> Document:
        document = super().make_document(routes)
        return Document(
            self.version,
            document.routes,
            document.services,
            LIMITS,
            self.customers,
        )

    def setUp(self) -> None:
        super().setUp()
        self.version = 1
        self.customers = (make_customer('large', 'k-large', 'k-second'),)

    async def async_replies(self, *extras: tuple[str, ...]) -> list[bytes]:
        """Return the replies to requests with extra headers."""
        async with AsyncExitStack() as stack:
            route = make_route(is_public=self.is_public)
            await self.async_open(stack, async_ok, route)
            return [
                await async_call(self.address, request(extra=extra))
                for extra in extras
            ]


class CustomersTest(CustomersCase):
    """Requests with and without keys."""

    @in_loop
    async def test_refused(self) -> None:
        """A missing, unknown or ambiguous key is refused; 404 stays."""
        replies = await self.async_replies(
            (),
            ('X-Key: unknown',),
            ('X-Key: ',),
            (KEY, 'X-Key: unknown'),
            ('X-Customer: large',),
        )
        for reply in replies:
            self.assertThat(reply, StartsWith(b'HTTP/1.1 401'))
        self.assertThat(self.searchers['s'].received_requests, Equals([]))

    @in_loop
    async def test_headers_are_replaced(self) -> None:
        """Searchers get the customer's name, but neither key nor spoofs."""
        replies = await self.async_replies((KEY,), (*SPOOFED, KEY))
        for reply in replies:
            self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))
        for received in self.searchers['s'].received_requests:
            self.assertThat(
                customer_headers(received), Equals(['x-customer: large'])
            )

    @in_loop
    async def test_no_key_in_the_log(self) -> None:
        """No event holds a key."""
        events = []
        async with AsyncExitStack() as stack:
            host = await self.async_open(stack, async_ok, make_route())
            host.log = events.append
            for extra in (KEY, 'X-Key: unknown'):
                await async_call(self.address, request(extra=(extra,)))
        self.assertTrue(events)
        for event in events:
            self.assertThat(repr(event.fields), Not(Contains('k-large')))
            self.assertThat(repr(event.fields), Not(Contains('unknown')))

    @in_loop
    async def test_keys_of_newer_documents(self) -> None:
        """An open connection follows the keys of newer documents only."""
        async with AsyncExitStack() as stack:
            host = await self.async_open(stack, async_ok, make_route())
            streams = await asyncio.open_connection(*self.address)
            stack.callback(streams[1].close)
            found = await self.async_statuses(*streams)
            for version, index, key in (
                (3, 3, 'new'),
                (2, 4, 'k-large'),
                (4, 2, 'k-large'),
            ):
                self.apply_document(host, version, index, key)
                found += await self.async_statuses(*streams)
        self.assertThat(found, Equals([200, 401, 401, 200, 401, 200, 401, 200]))

    async def async_statuses(self, reader, writer) -> list[int]:
        """Return the statuses of two keys on an open connection."""
        statuses = []
        for key in ('k-large', 'new'):
            content = request(extra=(f'X-Key: {key}',))
            writer.write(content.replace(b'Connection: close\r\n', b''))
            head = await reader.readuntil(b'\r\n\r\n')
            if b'content-length: 4' in head.lower():
                await reader.readexactly(4)
            statuses.append(int(head.split()[1]))
        return statuses

    def apply_document(self, host, version: int, index: int, key: str) -> None:
        """Send a document whose only customer has one key."""
        self.version = version
        self.customers = (make_customer('large', key),)
        update = DeploymentUpdate(index, version, b'', {})
        update.sender = 'c'
        host.link.submit(update)

    @in_loop
    async def test_no_document(self) -> None:
        """A host without a document answers 503, with any key."""
        async with AsyncExitStack() as stack:
            host = await self.async_open(stack, async_ok, make_route())
            host.table.document = None
            for extra in ((), (KEY,)):
                reply = await async_call(self.address, request(extra=extra))
                self.assertThat(reply, StartsWith(b'HTTP/1.1 503'))

    @in_loop
    async def test_unknown_route(self) -> None:
        """A request without a route gets 404, with or without a key."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_ok, make_route())
            reply = await async_call(self.address, request('/other/'))
        self.assertThat(reply, StartsWith(b'HTTP/1.1 404'))


class PublicRouteTest(CustomersCase):
    """Requests of a route that needs no key."""

    is_public = True

    @in_loop
    async def test_refused(self) -> None:
        """Nothing is refused, and only a valid key names a customer."""
        extras = ((), ('X-Key: unknown',), SPOOFED[:2], (KEY,))
        replies = await self.async_replies(*extras)
        for reply in replies:
            self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))
        found = [
            customer_headers(received)
            for received in self.searchers['s'].received_requests
        ]
        self.assertThat(found, Equals([[], [], [], ['x-customer: large']]))


class EmptyCustomersTest(CustomersCase):
    """A document whose list of customers is empty."""

    def setUp(self) -> None:
        super().setUp()
        self.customers = ()

    @in_loop
    async def test_refused(self) -> None:
        """No key is valid, so that each request is refused."""
        for reply in await self.async_replies((), (KEY,)):
            self.assertThat(reply, StartsWith(b'HTTP/1.1 401'))
        self.assertThat(self.searchers['s'].received_requests, Equals([]))

    @in_loop
    async def test_public_route(self) -> None:
        """A public route stays open; nothing about customers passes."""
        self.is_public = True
        replies = await self.async_replies(SPOOFED)
        self.assertThat(replies[0], StartsWith(b'HTTP/1.1 200'))
        received = self.searchers['s'].received_requests[0]
        self.assertThat(customer_headers(received), Equals([]))


class NoCustomersTest(CustomersCase):
    """A document without customers."""

    def setUp(self) -> None:
        super().setUp()
        self.customers = None

    @in_loop
    async def test_refused(self) -> None:
        """No key is needed."""
        replies = await self.async_replies(())
        self.assertThat(replies[0], StartsWith(b'HTTP/1.1 200'))

    @in_loop
    async def test_headers_are_replaced(self) -> None:
        """A host that does not know of customers yet passes on no key."""
        await self.async_replies((*SPOOFED, KEY, 'X-Other: o'))
        received = self.searchers['s'].received_requests[0]
        self.assertThat(customer_headers(received), Equals([]))
        self.assertThat(received.head.lower(), Contains(b'x-other: o'))


class RelayedCustomersTest(RelaysCase):
    """Parts that are sent through another host."""

    def read_document(self, content: bytes) -> Document:
        document = super().read_document(content)
        return Document(
            1,
            document.routes,
            document.services,
            LIMITS,
            (make_customer('large', 'k-large'),),
        )

    @in_loop
    async def test_merged_by_the_relay(self) -> None:
        """Searchers get the customer's name from the relay, too."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_answer)
            content = request(extra=(*SPOOFED, KEY))
            reply = await async_call(self.address, content)
            opened = self.hosts[1].pool.opened_connections
        self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))
        self.assertThat(opened, Equals(3))
        for searcher in self.searchers:
            received = searcher.received_requests[0]
            self.assertThat(
                customer_headers(received), Equals(['x-customer: large'])
            )


class QuotasTest(RelaysCase):
    """A customer with a quota at two hosts."""

    def read_document(self, content: bytes) -> Document:
        document = super().read_document(content)
        customer = make_customer('large', 'k-large', rate=20, burst=1)
        return Document(
            1, document.routes, document.services, LIMITS, (customer,)
        )

    async def async_settle(self) -> None:
        """Wait until both hosts have a lease and the bucket is full."""
        for host in self.hosts:
            host.table.control_search.known_at = 0
            host.relays.open_streams()
        while not all(self.lease_of(host) for host in self.hosts):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)

    def lease_of(self, host) -> float:
        """Return 1 for a host with a lease."""
        return host.relays.quotas.gauges()['quota_lease'][1]

    @in_loop
    async def test_over_the_quota(self) -> None:
        """Both hosts together admit the burst and the rate, no more."""
        replies = []
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_answer)
            await self.async_settle()
            loop = asyncio.get_running_loop()
            started = loop.time()
            for number in range(24):
                host = self.hosts[number % 2]
                address = ('127.0.0.1', host.caller_server.port)
                replies.append(await async_call(address, request(extra=(KEY,))))
            elapsed = loop.time() - started
            metrics = self.hosts[0].metrics_text()
        admitted = sum(b' 200 OK' in reply for reply in replies)
        # The bucket holds 3 requests, and each host may be one ahead.
        self.assertThat(admitted, LessThan(3 + 20 * elapsed + 2 + 1))
        self.assertThat(admitted, GreaterThan(2))
        for reply in replies:
            if b' 200 OK' not in reply:
                self.assertThat(reply, StartsWith(b'HTTP/1.1 429'))
                self.assertThat(reply, Contains(b'retry-after: '))
        found = b'quota_requests_total{customer="large",decision="admitted"}'
        self.assertThat(metrics, Contains(found))

    @in_loop
    async def test_given_back(self) -> None:
        """Requests that reach no searcher do not use up the quota."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_answer)
            await self.async_settle()
            host = self.hosts[0]
            host.table.upstreams_by_service.clear()
            for _ in range(40):
                reply = await async_call(self.address, request(extra=(KEY,)))
                self.assertThat(reply, StartsWith(b'HTTP/1.1 503'))
