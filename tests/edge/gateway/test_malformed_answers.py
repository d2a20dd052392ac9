"""Answers of searchers that violate HTTP, one row each."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from types import MappingProxyType

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, Is, Not, StartsWith

from snipejunction.components.gateway.messages import (
    PartReport,
    PartsResponse,
)
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendPartsToRelay,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.owner.const import ENDED_LOST
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.edge import upstream_protocol
from snipejunction.edge.gateway.relay_calls import MergedOutcomes, RelayCall
from tests.components.gateway.stage import make_record, make_route
from tests.edge.gateway.scripted import (
    ReceivedRequest,
    ScriptedSearcher,
    answer,
    async_call,
    in_loop,
    request,
)
from tests.edge.gateway.test_gateway_host import HostCase
from tests.edge.gateway.test_searcher_pool import PoolCase

EARLIER_REQUESTS = 20
ODD_STATUSES = ('000', '099', '600', '999')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n'
LENGTH = b'Content-Length: 4\r\n\r\nbody'
CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
# What is written, and the body of the answer, None if it is no answer.
ROWS = MappingProxyType(
    {
        'version 1.0': (b'HTTP/1.0 200 OK\r\n%s' % LENGTH, b'body'),
        'version 2.0': (b'HTTP/2.0 200 OK\r\n%s' % LENGTH, None),
        'version 1.2': (b'HTTP/1.2 200 OK\r\n%s' % LENGTH, None),
        'version 11': (b'HTTP/11 200 OK\r\n%s' % LENGTH, None),
        'version in small letters': (b'http/1.1 200 OK\r\n%s' % LENGTH, None),
        'another protocol': (b'ICY 200 OK\r\n%s' % LENGTH, None),
        'no reason': (b'HTTP/1.1 200\r\n%s' % LENGTH, b'body'),
        'empty reason': (b'HTTP/1.1 200 \r\n%s' % LENGTH, b'body'),
        'reason of other bytes': (b'HTTP/1.1 200 \xff\r\n%s' % LENGTH, b'body'),
        'status of two digits': (b'HTTP/1.1 20 OK\r\n%s' % LENGTH, None),
        'status of four digits': (b'HTTP/1.1 2000 OK\r\n%s' % LENGTH, None),
        'two lengths': (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n%s' % LENGTH,
            None,
        ),
        'length beside chunks': (
            b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s' % CHUNKS,
            None,
        ),
        'chunks beside length': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s' % LENGTH,
            None,
        ),
        'negative length': (
            b'HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody',
            None,
        ),
        'length with a sign': (
            b'HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody',
            None,
        ),
        'huge length': (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nbody' % 2**64,
            None,
        ),
        'space before the colon': (
            b'HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody',
            None,
        ),
        'header without a colon': (
            b'HTTP/1.1 200 OK\r\nX\r\n%s' % LENGTH,
            None,
        ),
        'folded header': (
            b'HTTP/1.1 200 OK\r\nX: a\r\n b\r\n%s' % LENGTH,
            None,
        ),
        'bare line feeds': (
            b'HTTP/1.1 200 OK\nContent-Length: 4\n\nbody',
            None,
        ),
        'chunk that is no number': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nbody',
            None,
        ),
        'interim answers only': (INTERIM, None),
        'interim answers before': (
            b'%sHTTP/1.1 200 OK\r\n%s' % (INTERIM, LENGTH),
            b'body',
        ),
        'switch of the protocol': (
            b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
            b'Connection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\n%s' % LENGTH,
            None,
        ),
        '204 with a body': (b'HTTP/1.1 204 None\r\n%s' % LENGTH, b''),
        '304 with a body': (b'HTTP/1.1 304 Same\r\n%s' % LENGTH, b''),
    }
)


def odd_answer(status: str) -> bytes:
    """Return an answer that is whole and signed but for its status."""
    return answer('r1', b'odd', f'{status} Odd')


def collect(
    outcomes: MergedOutcomes, relay: str, found: MergedOutcomes
) -> None:
    """Append the outcomes of a relay."""
    outcomes.extend(found)


class ScriptOnce:
    """Writes bytes as the first answer and may close; then answers."""

    def __init__(self, content: bytes, *, is_closed: bool = True) -> None:
        self.content = content
        self.is_closed = is_closed
        self.count = 0

    async def __call__(self, received: ReceivedRequest) -> None:
        self.count += 1
        if self.count > 1:
            received.writer.write(answer(received.request_id))
            return
        received.writer.write(self.content)
        if self.is_closed:
            await received.writer.drain()
            received.writer.close()


class MalformedAnswersTest(PoolCase):
    """Answers on a connection to a searcher."""

    async def async_ask(
        self, content: bytes, *, is_closed: bool = True
    ) -> Outcome:
        async with AsyncExitStack() as stack:
            script = ScriptOnce(content, is_closed=is_closed)
            caller = await self.async_open(stack, script)
            outcome = await caller.send()
            while is_closed and caller.pool.connection_count:
                await asyncio.sleep(0)
            # No byte of the answer belongs to the next request.
            following = await caller.send('r2')
            self.assertThat(following.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(following.reply.body, Equals(b'body'))
            return outcome

    @in_loop
    async def test_odd_statuses(self) -> None:
        """A status that HTTP does not have is no answer."""
        for status in ODD_STATUSES:
            outcome = await self.async_ask(odd_answer(status))
            self.assertThat(
                (status, outcome.kind.value), Equals((status, 'lost'))
            )
            self.assertThat(outcome.reply, Is(None))

    @in_loop
    async def test_odd_status_behind_interim(self) -> None:
        """Interim answers do not make it one."""
        outcome = await self.async_ask(INTERIM + odd_answer('000'))
        self.assertThat(outcome.kind, Is(OutcomeKind.LOST))

    @in_loop
    async def test_bytes_behind_empty_answers(self) -> None:
        """A body that must not be there is not the next answer."""
        for row in ('204 with a body', '304 with a body'):
            outcome = await self.async_ask(ROWS[row][0], is_closed=False)
            self.assertThat(outcome.kind, Is(OutcomeKind.ANSWERED))
            self.assertThat(outcome.reply.body, Equals(b''))

    @in_loop
    async def test_rows(self) -> None:
        """Each malformed answer has its end."""
        found = {}
        for row, (content, _) in ROWS.items():
            outcome = await self.async_ask(content)
            is_answer = outcome.kind is OutcomeKind.ANSWERED
            if not is_answer:
                self.assertThat(outcome.kind, Is(OutcomeKind.LOST))
            found[row] = outcome.reply.body if is_answer else None
        expected = {row: body for row, (_, body) in ROWS.items()}
        self.assertThat(found, Equals(expected))


class OddStatusTest(HostCase):
    """What callers get when searchers send odd statuses."""

    async def async_odd(self, received: ReceivedRequest) -> None:
        received.writer.write(
            answer(received.request_id, b'odd', f'{self.status} Odd')
        )

    async def async_odd_part(self, received: ReceivedRequest) -> None:
        if received.header('x-expected') == 'i-s1':
            received.writer.write(answer(received.request_id, b'a' * 16))
        else:
            await self.async_odd(received)

    @in_loop
    async def test_no_searcher_left(self) -> None:
        """The caller gets 502 and nothing of the answer."""
        for status in ODD_STATUSES:
            self.status = status
            async with AsyncExitStack() as stack:
                await self.async_open(stack, self.async_odd, make_route())
                reply = await async_call(self.address, request())
                self.assertThat(reply, StartsWith(b'HTTP/1.1 502'))
                self.assertThat(reply, Not(Contains(b'odd')))
                self.assertThat(reply, Not(Contains(b'x-signature')))

    @in_loop
    async def test_asked_elsewhere(self) -> None:
        """Another searcher is asked, as after a lost connection."""
        async with AsyncExitStack() as stack:
            script = ScriptOnce(odd_answer('000'))
            host = await self.async_open(stack, script, make_route(attempts=2))
            second = await stack.enter_async_context(ScriptedSearcher(script))
            record = make_record('i-second', 's')
            record.address = second.address
            update = SearcherUpdate([record])
            update.sender = 'c'
            host.link.submit(update)
            # Earlier requests leave room in the budget for repeats.
            now = asyncio.get_running_loop().time()
            for _ in range(EARLIER_REQUESTS):
                host.table.budget('s').record_request(now)
            reply = await async_call(self.address, request())
            self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))
            self.assertThat(script.count, Equals(2))

    @in_loop
    async def test_part(self) -> None:
        """It is no part of a merged answer."""
        self.status = '000'
        async with AsyncExitStack() as stack:
            route = make_route(shards=('s1', 's2'), top=2, min_share=0.5)
            await self.async_open(stack, self.async_odd_part, route)
            reply = await async_call(self.address, request())
            self.assertThat(reply, StartsWith(b'HTTP/1.1 200'))
            self.assertThat(reply, Contains(b'x-missing: 1'))


class OtherPathsTest(TestCase):
    """Odd statuses that arrive on other ways."""

    def test_relay(self) -> None:
        """A relay that reports one has no answer."""
        outcomes: MergedOutcomes = []
        upstream = Upstream(make_record('i-1'), 'c', 0)
        command = SendPartsToRelay(
            'relay', [Attempt(Part('s'), upstream, 0)], 5, 1, 1
        )
        for status in ODD_STATUSES:
            call = RelayCall(1, command, partial(collect, outcomes))
            kind = OutcomeKind.ANSWERED.value
            report = PartReport(0, kind, int(status), 'sig', 0.1, '')
            call.handle_response(PartsResponse(1, [report], b''))
        self.assertThat(outcomes, HasLength(len(ODD_STATUSES)))
        for _, outcome in outcomes:
            self.assertThat(outcome.kind, Is(OutcomeKind.LOST))
            self.assertThat(outcome.reply, Is(None))

    def test_sub_request(self) -> None:
        """A sub-request of an owner that gets one is lost."""
        for status in ODD_STATUSES:
            ended = upstream_protocol.parse_response(1, int(status), {}, b'')
            self.assertThat(ended.outcome, Equals(ENDED_LOST))
