"""Tests of orders whose senders leave or that newer orders overtake."""

from __future__ import annotations

import asyncio
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.commands import Command
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderRequest,
    OrderResult,
)
from snipejunction.components.registration.const import LEAVING
from snipejunction.components.registration.messages import (
    DepartureRequest,
    SearcherAnnounced,
    SearcherLeft,
    SearcherRecord,
)
from snipejunction.edge.orders import OrderCalls
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.messages import Message
from snipejunction.node import Node
from tests.edge.support import in_loop

SUBJECT = DrainEntry('dc1', is_out=True)


class OrderCallsCase(TestCase):
    """Order calls of a host whose core is scripted.

    ``overtaken_by`` are the revisions that overtake its next orders.
    """

    def setUp(self) -> None:
        super().setUp()
        identity = HostIdentity('h1', '127.0.0.1', 1, 2, 'dc1', 'r', 'i')
        self.node = Node(HostSettings(identity, ()), Random(1))
        self.submitted: list[Message] = []
        self.overtaken_by: list[int] = []
        self.waits = [True]

    def calls(self) -> OrderCalls:
        """Return the calls, in a running loop."""
        loop = asyncio.get_running_loop()
        return OrderCalls(self.node, self._async_call, loop)

    def is_waiting(self) -> bool:
        """Return the next entry of ``waits``, the last one repeatedly."""
        return self.waits.pop(0) if len(self.waits) > 1 else self.waits[0]

    def bases(self) -> list[int]:
        """Return the bases of the orders."""
        return [message.entry.base for message in self.submitted]

    async def _async_call(self, make_message) -> Command | None:
        message = make_message(len(self.submitted))
        self.submitted.append(message)
        if isinstance(message, OrderRequest) and self.overtaken_by:
            await asyncio.sleep(0.01)
            revision = self.overtaken_by.pop(0)
            return OrderResult(message.call_id, False, '', revision)
        return OrderResult(message.call_id, True)


class DrainTest(OrderCallsCase):
    """Orders with a condition."""

    @in_loop
    async def test_overtaken(self) -> None:
        """A sender that still waits is not refused."""
        self.node.deployment.state.revisions.advance(SUBJECT, 5)
        self.overtaken_by = [9, 12]
        answer = await self.calls().async_send(SUBJECT, self.is_waiting)
        self.assertThat(answer.is_accepted, Is(True))
        self.assertThat(self.bases(), Equals([5, 9, 12]))

    @in_loop
    async def test_left_before(self) -> None:
        """The order of a sender that has left is dropped."""
        self.waits = [False]
        answer = await self.calls().async_send(SUBJECT, self.is_waiting)
        self.assertThat(answer, Is(None))
        self.assertThat(self.submitted, Equals([]))

    @in_loop
    async def test_left_meanwhile(self) -> None:
        """An overtaken order is not sent again if its sender left."""
        self.overtaken_by = [9]
        self.waits = [True, False]
        answer = await self.calls().async_send(SUBJECT, self.is_waiting)
        self.assertThat(answer, Is(None))
        self.assertThat(self.bases(), Equals([0]))

    @in_loop
    async def test_base_before_check(self) -> None:
        """What is acknowledged before the check does not raise the base."""
        task = asyncio.create_task(
            self.calls().async_send(SUBJECT, self.is_waiting)
        )
        await asyncio.sleep(0)
        self.node.deployment.state.revisions.advance(SUBJECT, 7)
        await task
        self.assertThat(self.bases(), Equals([0]))

    @in_loop
    async def test_always_overtaken(self) -> None:
        """The host gives up before the sender asks another one."""
        self.overtaken_by = list(range(1, 1000))
        answer = await self.calls().async_send(SUBJECT, self.is_waiting)
        self.assertThat(answer, Is(None))

    @in_loop
    async def test_document(self) -> None:
        """A document names its version and needs no condition."""
        entry = DocumentEntry(3, b'')
        answer = await self.calls().async_send(entry, self.is_waiting)
        self.assertThat(answer.is_accepted, Is(True))
        self.assertThat(self.submitted, Equals([OrderRequest(0, entry)]))


class DepartureTest(OrderCallsCase):
    """Departures of searchers."""

    def setUp(self) -> None:
        super().setUp()
        self.waits = [False]

    async def async_depart(self, notice) -> bool:
        return await self.calls().async_depart(notice, self.is_waiting)

    @in_loop
    async def test_without_start(self) -> None:
        """A departure of any start is dropped if its sender has left."""
        is_accepted = await self.async_depart(SearcherLeft('i1'))
        self.assertThat(is_accepted, Is(False))
        self.assertThat(self.submitted, Equals([]))
        self.waits = [True]
        is_accepted = await self.async_depart(SearcherLeft('i1'))
        self.assertThat(is_accepted, Is(True))

    @in_loop
    async def test_with_start(self) -> None:
        """A departure that names its start holds for that start only."""
        record = SearcherRecord('i1', 's', 'a:1', 'z', 1, 4, 77, 0, LEAVING)
        notices = (SearcherLeft('i1', 77), SearcherAnnounced(record))
        for call_id, notice in enumerate(notices):
            is_accepted = await self.async_depart(notice)
            self.assertThat(is_accepted, Is(True))
            request = DepartureRequest(call_id, notice)
            self.assertThat(self.submitted[-1], Equals(request))
