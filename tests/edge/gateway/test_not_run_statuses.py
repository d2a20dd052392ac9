"""Statuses by which callers know that a request did not run."""

from __future__ import annotations

from contextlib import AsyncExitStack
from functools import partial

from testtools.matchers import Contains, Equals, HasLength, Not, StartsWith

from tests.components.gateway.stage import make_route
from tests.edge.gateway.scripted import (
    ReceivedRequest,
    answer,
    async_call,
    in_loop,
    request,
)
from tests.edge.gateway.test_customers import KEY, CustomersCase

STATUSES = ('408 Late', '421 Other', '429 Many', '503 Busy')
STATEMENT = ('X-Not-Run: 1', 'Retry-After: 7')
SHARDS = ('s', 's2')


async def async_fail(
    status: str, extra: tuple[str, ...], received: ReceivedRequest
) -> None:
    """Answer with a signed failure."""
    content = answer(received.request_id, b'why', status, extra)
    received.writer.write(content)


class NotRunStatusesTest(CustomersCase):
    """Failures of a searcher with and without its statement."""

    async def async_ask(self, status: str, extra=(), **fields) -> bytes:
        """Return the reply to a request that a searcher fails."""
        self.customers = self.known_customers if self.has_customers else None
        async with AsyncExitStack() as stack:
            route = make_route(**fields)
            script = partial(async_fail, status, extra)
            await self.async_open(stack, script, route)
            return await async_call(self.address, request(extra=(KEY,)))

    def setUp(self) -> None:
        super().setUp()
        self.known_customers = self.customers

    def received_counts(self) -> list[int]:
        return [
            len(searcher.received_requests)
            for searcher in self.searchers.values()
        ]

    @in_loop
    async def test_without_statement(self) -> None:
        """A searcher's own 503 is not forwarded, nor is what it says.

        Guards against callers that send a request again that has run.
        """
        for has_customers in (False, True):
            self.has_customers = has_customers
            for status in STATUSES:
                for is_idempotent in (False, True):
                    reply = await self.async_ask(
                        status, is_idempotent=is_idempotent
                    )
                    self.assertThat(reply, StartsWith(b'HTTP/1.1 502'))
                    self.assertThat(reply, Not(Contains(b'x-signature')))
                    self.assertThat(reply, Not(Contains(b'retry-after')))
                    self.assertThat(self.received_counts(), Equals([1]))

    @in_loop
    async def test_with_statement(self) -> None:
        """A request that its searchers state not to have run may be retried."""
        for has_customers in (False, True):
            self.has_customers = has_customers
            for status in STATUSES:
                reply = await self.async_ask(
                    status, STATEMENT, is_idempotent=False
                )
                self.assertThat(reply, StartsWith(b'HTTP/1.1 503'))
                self.assertThat(reply, Contains(b'retry-after'))
                self.assertThat(reply, Not(Contains(b'retry-after: 7')))

    @in_loop
    async def test_gathered(self) -> None:
        """Parts that may have run keep a gathered answer from saying so."""
        for has_customers in (False, True):
            self.has_customers = has_customers
            for status in STATUSES:
                reply = await self.async_ask(status, shards=SHARDS)
                self.assertThat(reply, StartsWith(b'HTTP/1.1 502'))
                reply = await self.async_ask(status, STATEMENT, shards=SHARDS)
                self.assertThat(reply, StartsWith(b'HTTP/1.1 503'))
                self.assertThat(self.received_counts(), HasLength(2))

    @in_loop
    async def test_other_failures(self) -> None:
        """Failures that promise nothing are forwarded unchanged."""
        for has_customers in (False, True):
            self.has_customers = has_customers
            for status in ('400 Bad', '404 None', '500 Broken', '504 Late'):
                reply = await self.async_ask(status, is_idempotent=False)
                expected = f'HTTP/1.1 {status[:3]}'.encode()
                self.assertThat(reply, StartsWith(expected))
                self.assertThat(reply, Contains(b'x-signature: sig'))
