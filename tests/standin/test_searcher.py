"""Tests of the stand-in searcher and of how it counts breaches."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, suppress
from typing import Any

from aiohttp import ClientError, ClientSession
from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.edge import upstream_protocol as protocol
from snipejunction.standin import catalogue
from snipejunction.standin.behaviour import Behaviour
from snipejunction.standin.limits import (
    BREACH_COLD,
    BREACH_CONNECTIONS,
    BREACH_REPEATED_RUN,
    BREACH_AFTER_LEAVING,
    BREACH_SLOTS,
    WARM_STEP_REQUESTS,
    Limits,
)
from snipejunction.standin.searcher import PATH_HEALTH, Searcher
from tests.edge.support import in_loop

_SNAPSHOT = SnapshotId(1, '2')


class LimitsTest(TestCase):
    """Tests of the limits and counters of one searcher."""

    def test_slots(self) -> None:
        """A request above the slots is a breach and is not accepted."""
        limits = Limits(1, 9, 1)
        self.assertTrue(limits.start_request())
        self.assertFalse(limits.start_request())
        self.assertThat(limits.breaches, Equals({BREACH_SLOTS: 1}))

    def test_cold(self) -> None:
        """A cold searcher above its capacity fails from then on."""
        limits = Limits(4, 9, 1)
        limits.reset_warm_up()
        self.assertTrue(limits.start_request())
        self.assertFalse(limits.start_request())
        limits.end_request()
        limits.end_request()
        self.assertFalse(limits.start_request())
        self.assertThat(limits.breaches, Equals({BREACH_COLD: 1}))

    def test_warm_up(self) -> None:
        """Served requests raise the capacity of a cold searcher."""
        limits = Limits(3, 9, 1)
        limits.reset_warm_up()
        for _ in range(2 * WARM_STEP_REQUESTS):
            limits.start_request()
            limits.end_request()
            limits.count_served()
        self.assertThat(limits.current_capacity, Equals(3))


class CatalogueTest(TestCase):
    """Tests of the generated catalogue."""

    def test_same_everywhere(self) -> None:
        """A version is generated identically each time; versions differ."""
        first = catalogue.toys_in_version(1)
        catalogue.toys_in_version.cache_clear()
        again = catalogue.toys_in_version(1)
        names = [toy.name for toy in first]
        self.assertThat(names, Equals([toy.name for toy in again]))
        self.assertThat(len(first), Equals(catalogue.TOY_COUNT))
        other = [toy.name for toy in catalogue.toys_in_version(2)]
        self.assertTrue(names != other)

    def test_index(self) -> None:
        """A search with the index finds the same hits as a full scan."""
        document = {'text': 'red wooden drum', 'limit': 7}
        query = catalogue.Query(document)
        hits = [
            hit
            for shard in range(2)
            for hit in catalogue.search_shard(_SNAPSHOT, shard, query)
        ]
        hits.sort(key=lambda hit: (-hit['score'], hit['id']))
        expected = catalogue.brute_force(_SNAPSHOT, document)
        self.assertThat(hits[:7], Equals(expected))


class SearcherTest(TestCase):
    """Tests of the HTTP searcher."""

    async def async_start(
        self,
        stack: AsyncExitStack,
        connections: int = 9,
    ) -> tuple[Searcher, ClientSession]:
        """Return a searcher and a client."""
        searcher = Searcher(
            's',
            't/s',
            'lagos',
            {_SNAPSHOT: (0,)},
            Limits(2, connections, 1),
            Behaviour(0.001, 0),
        )
        await stack.enter_async_context(searcher)
        session = await stack.enter_async_context(ClientSession())
        return searcher, session

    @in_loop
    async def test_runs_counted(self) -> None:
        """A request that runs twice is a breach."""
        async with AsyncExitStack() as stack:
            searcher, session = await self.async_start(stack)
            headers = {protocol.HEADER_REQUEST: 'r-1'}
            path = protocol.PATH_RUN
            first = await _async_post(session, searcher, path, headers)
            await _async_post(session, searcher, path, headers)
            self.assertThat(first, Equals((200, '')))
            self.assertThat(searcher.limits.runs['r-1'], Equals(2))
            self.assertThat(
                searcher.limits.breaches,
                Equals({BREACH_REPEATED_RUN: 1}),
            )

    @in_loop
    async def test_after_leaving(self) -> None:
        """A request to a searcher that has left is refused and is a breach."""
        async with AsyncExitStack() as stack:
            searcher, session = await self.async_start(stack)
            searcher.is_leaving = True
            searcher.has_left = True
            refused = await _async_post(
                session,
                searcher,
                protocol.PATH_SEARCH,
                {},
            )
            self.assertThat(refused, Equals((503, 'leaving')))
            self.assertThat(
                searcher.limits.breaches,
                Equals({BREACH_AFTER_LEAVING: 1}),
            )

    @in_loop
    async def test_connections(self) -> None:
        """A connection above the limit is closed and is a breach."""
        async with AsyncExitStack() as stack:
            searcher, session = await self.async_start(stack, 1)
            async with session.get(_url(searcher, PATH_HEALTH)) as held:
                other = await stack.enter_async_context(ClientSession())
                with suppress(ClientError):
                    await other.post(_url(searcher, protocol.PATH_CANCEL))
                self.assertThat(held.status, Equals(200))
            self.assertThat(
                searcher.limits.breaches,
                Equals({BREACH_CONNECTIONS: 1}),
            )

    @in_loop
    async def test_bad_request(self) -> None:
        """After malformed requests the searcher still serves valid ones."""
        async with AsyncExitStack() as stack:
            searcher, session = await self.async_start(stack)
            path = protocol.PATH_SEARCH
            bad: list[dict[str, str]] = [
                {protocol.HEADER_SNAPSHOT: 'x'},
                {protocol.HEADER_SNAPSHOT: '1:2', protocol.HEADER_SHARDS: '?'},
            ]
            answers = await asyncio.gather(
                *(_async_post(session, searcher, path, one) for one in bad),
            )
            good = await _async_post(
                session,
                searcher,
                path,
                {protocol.HEADER_SNAPSHOT: '1:2'},
            )
            self.assertThat({status for status, _ in answers}, Equals({400}))
            self.assertThat(good, Equals((200, '')))


def _url(searcher: Searcher, path: str) -> str:
    return f'http://{searcher.ip}:{searcher.port}{path}'


async def _async_post(
    session: ClientSession,
    searcher: Searcher,
    path: str,
    headers: dict[str, str],
) -> tuple[int, Any]:
    """Return the status and the refusal of a request."""
    async with session.post(
        _url(searcher, path),
        headers=headers,
        data=json.dumps({'text': 'red'}),
    ) as response:
        return response.status, response.headers.get('X-Refusal', '')
