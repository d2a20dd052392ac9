"""Tests of the HTTP API of callers."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import ClientTimeout
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, Equals, Is

from snipejunction.demo.cluster import CALLER_TOKEN
from snipejunction.standin import catalogue
from tests.edge.http.support import (
    RUN_PATH,
    SEARCH_PATH,
    SNAPSHOT,
    HostSite,
)
from tests.edge.support import async_until, in_loop

_QUERY_JSON = '{"text": "red train", "limit": 10}'


def _query() -> Any:
    return json.loads(_QUERY_JSON)


class SearchTest(TestCase):
    """Searches and their responses."""

    @in_loop
    async def test_whole_answer(self) -> None:
        """A response has all true hits, its snapshot and its request id."""
        async with HostSite() as site:
            await site.async_start_searchers()
            status, answer = await site.async_search(
                {'query': _query(), 'request_id': 'q-1', 'top': 10},
            )
            truth = catalogue.brute_force(SNAPSHOT, _query())
            self.assertThat(status, Equals(200))
            self.assertThat(answer['hits'], Equals(truth))
            self.assertThat(answer['verdict'], Equals('ran'))
            self.assertThat(answer['request_id'], Equals('q-1'))
            self.assertThat(answer['coverage']['missing_shards'], Equals([]))
            self.assertThat(answer['snapshot']['version'], Equals(1))

    @in_loop
    async def test_missing_shard(self) -> None:
        """A shard without a searcher is reported as missing."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            await fleet.async_leave(1)
            _, answer = await site.async_search(
                {'query': _query(), 'deadline_ms': 300},
            )
            sizes = catalogue.documents_of(SNAPSHOT)
            coverage = answer['coverage']
            self.assertThat(coverage['missing_shards'], Equals([1]))
            self.assertThat(coverage['covered'], Equals(sizes[0] + sizes[2]))
            self.assertThat(coverage['total'], Equals(sum(sizes)))

    @in_loop
    async def test_unknown_service(self) -> None:
        """A search of an unknown service is refused as *not run*."""
        async with HostSite() as site:
            status, answer = await site.async_request(
                'POST',
                '/v1/services/toys/nothing/search',
                CALLER_TOKEN,
                json={'query': _query()},
            )
            self.assertThat({403, 404}, Contains(status))
            self.assertThat(answer['verdict'], Equals('not run'))

    @in_loop
    async def test_abandoned(self) -> None:
        """A caller that disconnects frees its slots at the searchers."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            for searcher in fleet.searchers:
                searcher.behaviour.delay = 30
            with ExpectedException(asyncio.TimeoutError):
                await site.async_request(
                    'POST',
                    SEARCH_PATH,
                    CALLER_TOKEN,
                    json={'query': _query(), 'deadline_ms': 9000},
                    timeout=ClientTimeout(total=0.3),
                )
            host = site.cluster.hosts[0]
            await async_until(lambda: not host.calls.open_calls)
            await async_until(
                lambda: (
                    not any(
                        stand_in.limits.running for stand_in in fleet.searchers
                    )
                ),
            )

    @in_loop
    async def test_spans(self) -> None:
        """Each hop of a sampled request records a span of its trace."""
        exporter = InMemorySpanExporter()
        trace = '0af7651916cd43dd8448eb211c80319c'
        async with HostSite(exporter) as site:
            await site.async_start_searchers()
            site.session.headers['traceparent'] = (
                f'00-{trace}-b7ad6b7169203331-01'
            )
            await site.async_search({'query': _query()})
        names = {
            span.name
            for span in exporter.get_finished_spans()
            if span.context.trace_id == int(trace, 16)
        }
        for name in ('caller', 'root', 'owner.work', 'upstream'):
            self.assertThat(names, Contains(name))


class RunTest(TestCase):
    """Requests that run at most once."""

    @in_loop
    async def test_resend(self) -> None:
        """A retry returns the recorded outcome; other content is refused."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            loan = {'request_id': 'l-1', 'key': 'family', 'body': {'toy': 1}}
            first = await self.async_run(site, loan)
            again = await self.async_run(site, loan)
            other = await self.async_run(site, {**loan, 'body': {}})
            self.assertThat(first[1]['replay'], Is(False))
            self.assertThat(again[1]['replay'], Is(True))
            self.assertThat(again[1]['outcome'], Equals(first[1]['outcome']))
            self.assertThat(other[0], Equals(409))
            self.assertThat(other[1]['verdict'], Equals('not run'))
            self.assertThat(fleet.runs['l-1'], Equals(1))

    @in_loop
    async def test_id_required(self) -> None:
        """A request without an id is refused, and the error names the field."""
        async with HostSite() as site:
            status, answer = await self.async_run(
                site,
                {'key': 'family', 'body': 1},
            )
            self.assertThat(status, Equals(400))
            self.assertThat(answer['detail'], Contains('request_id'))

    async def async_run(
        self,
        site: HostSite,
        document: dict[str, object],
    ) -> tuple[int, dict[str, object]]:
        """Send a run and return the status and the JSON response."""
        return await site.async_request(
            'POST',
            RUN_PATH,
            CALLER_TOKEN,
            json=document,
        )


class AddressesTest(TestCase):
    """Addresses of the hosts that callers should use."""

    @in_loop
    async def test_addresses(self) -> None:
        """The response lists hosts with ports and a short cache time."""
        async with HostSite() as site:
            status, answer = await site.async_request(
                'GET',
                '/v1/addresses',
                CALLER_TOKEN,
            )
            identity = site.cluster.hosts[0].settings.identity
            self.assertThat(status, Equals(200))
            self.assertThat(
                answer['addresses'][0]['port'], Equals(identity.http_port)
            )
            self.assertTrue(0 < answer['keep_seconds'] <= 5)
