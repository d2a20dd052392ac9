"""Relay calls between two entry hosts.

An entry host sends a query to an entry host near the searchers, the relay,
which queries the shards and merges their answers.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from functools import partial
from random import Random

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan

from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.document import Document, Service
from snipejunction.components.gateway.messages import (
    PartReport,
    PartsResponse,
)
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendPartsToRelay,
)
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.gateway_host import GatewayHost
from snipejunction.edge.gateway.relay_calls import MergedOutcomes, RelayCalls
from snipejunction.edge.keys import PeerKeys
from snipejunction.messages import PeerMessage
from snipejunction.timers import NEVER
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
from tests.edge.gateway.test_gateway_host import LIMITS, make_profile

SHARDS = ('s1', 's2', 's3')
DATA_CENTRES = ('near', 'beside')


async def async_answer(received: ReceivedRequest) -> None:
    """Answer with one record that holds the searcher's shard."""
    shard = received.header('x-expected')[-1].encode()
    signature = f'X-Signature: sig-{shard.decode()}'
    content = answer(received.request_id, shard * 16)
    received.writer.write(
        content.replace(b'X-Signature: sig', signature.encode())
    )


async def async_hang(ids: set[str], received: ReceivedRequest) -> None:
    """Leave requests to the searchers ``ids`` unanswered."""
    if received.header('x-expected') in ids:
        await received.reader.read()
        raise ConnectionResetError
    await async_answer(received)


def free_port() -> int:
    """Return an unused port."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return int(server.getsockname()[1])


class RelaysCase(TestCase):
    """Base class: callers use one host, searchers are near the other one."""

    async def async_open(self, stack: AsyncExitStack, script) -> None:
        loop = asyncio.get_running_loop()
        self.hosts = []
        for data_centre in DATA_CENTRES:
            reading, writing = socket.socketpair()
            stack.callback(reading.close)
            stack.callback(writing.close)
            host = GatewayHost(
                make_profile(free_port(), data_centre),
                PeerKeys([b'0123456789abcdef']),
                HEADER_NAMES,
                self.read_document,
                EventLog('h', 'entry', loop, writing.fileno()),
                1,
            )
            await stack.enter_async_context(host)
            self.hosts.append(host)
        self.searchers = []
        for shard in SHARDS:
            searcher = ScriptedSearcher(script)
            await stack.enter_async_context(searcher)
            self.searchers.append(searcher)
        self.publish_state()
        self.address = ('127.0.0.1', self.hosts[0].caller_server.port)
        table = self.hosts[0].table
        while not table.relays.connected_names:
            self.hosts[0].relays.open_streams()
            await asyncio.sleep(0.001)

    def publish_state(self) -> None:
        entry_records = [
            EntryRecord(host.table.name, 'x:1', data_centre, 'one')
            for host, data_centre in zip(self.hosts, DATA_CENTRES, strict=True)
        ]
        searcher_records = []
        for shard, searcher in zip(SHARDS, self.searchers, strict=True):
            record = make_record(f'i-{shard}', shard, data_centre='beside')
            record.address = searcher.address
            searcher_records.append(record)
        for host in self.hosts:
            for message in (
                DeploymentUpdate(1, 1, b'', {}),
                HostsUpdate({'c': 'near'}, entry_records, False),
                SearcherUpdate(searcher_records),
            ):
                message.sender = 'c'
                host.link.submit(message)

    def read_document(self, content: bytes) -> Document:
        route = make_route(
            shards=SHARDS,
            top=2,
            min_share=0.6,
            objective=0.3,
        )
        services = {name: Service(name, 30, 3, 0) for name in SHARDS}
        return Document(1, (route,), services, LIMITS)


class RelaysTest(RelaysCase):
    """Parts that another host requests for the host of the caller."""

    @in_loop
    async def test_merged_by_the_relay(self) -> None:
        """The relay queries the searchers; the caller gets a merged answer."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_answer)
            reply = await async_call(self.address, request())
            opened_connections = [
                host.pool.opened_connections for host in self.hosts
            ]
        self.assertThat(reply.endswith(b'3' * 16 + b'2' * 16), Is(True))
        self.assertThat(
            reply,
            Contains(b'x-signatures: sig-1, sig-2, sig-3'),
        )
        self.assertThat(opened_connections, Equals([0, 3]))

    @in_loop
    async def test_late_answer_is_left_out(self) -> None:
        """A searcher that hangs does not delay the answers of the others."""
        script = partial(async_hang, {'i-s3'})
        async with AsyncExitStack() as stack:
            await self.async_open(stack, script)
            reply = await async_call(self.address, request())
        self.assertThat(reply, Contains(b'x-signatures: sig-1, sig-2\r\n'))
        self.assertThat(reply, Contains(b'x-missing: 1'))

    @in_loop
    async def test_caller_disconnects(self) -> None:
        """The relay cancels its work when the caller disconnects."""
        script = partial(async_hang, {'i-s1', 'i-s2', 'i-s3'})
        async with AsyncExitStack() as stack:
            await self.async_open(stack, script)
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(request())
            while not all(
                searcher.received_requests for searcher in self.searchers
            ):
                await asyncio.sleep(0.001)
            loop = asyncio.get_running_loop()
            started = loop.time()
            writer.close()
            while not all(searcher.closed for searcher in self.searchers):
                await asyncio.sleep(0.001)
            elapsed = loop.time() - started
            is_busy = self.hosts[1].relays.jobs.is_busy
        self.assertThat(elapsed, LessThan(0.5))
        self.assertThat(is_busy, Is(False))

    @in_loop
    async def test_relay_disconnected(self) -> None:
        """Without its relay, the host queries the searchers itself."""
        async with AsyncExitStack() as stack:
            await self.async_open(stack, async_answer)
            self.hosts[1].link.peers.drop(self.hosts[0].table.name, 'a test')
            reply = await async_call(self.address, request())
            opened_connections = self.hosts[0].pool.opened_connections
        self.assertThat(reply, Contains(b'x-missing: 0'))
        self.assertThat(opened_connections, Equals(3))


class _Sent:
    """Keeps the messages to peers."""

    def __init__(self) -> None:
        self.messages: list[PeerMessage] = []

    def send(self, host: str, message: PeerMessage) -> None:
        self.messages.append(message)


class RestartedAskerTest(TestCase):
    """A host that asked a relay and restarted before it answered."""

    def start_call(self, seed: int, outcomes: MergedOutcomes) -> RelayCalls:
        """Return the calls of a start, with one call of one part."""
        calls = RelayCalls(self.sent, self.loop, Random(seed))
        attempt = Attempt(Part('s1'), Upstream(make_record('i-1'), 'c', 0), 0)
        calls.send_call(
            SendPartsToRelay('relay', [attempt], 5, 1, 0.1),
            'r1',
            b'',
            b'',
            lambda relay, found: outcomes.extend(found),
        )
        return calls

    def test_late_response(self) -> None:
        """The response to a call before the restart ends none after it.

        Guards against parts of one request in the answer to another.
        """
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.sent = _Sent()
        outcomes: MergedOutcomes = []
        self.start_call(1, outcomes)
        calls = self.start_call(2, outcomes)
        for message in self.sent.messages:
            report = PartReport(0, 'answered', 200, 'sig', 0.1, '', NEVER)
            response = PartsResponse(message.call_id, [report], b'0' * 16)
            response.sender = 'relay'
            calls.handle_response(response)
        self.assertThat(outcomes, HasLength(1))
