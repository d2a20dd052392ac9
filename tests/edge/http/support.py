"""A host with stand-in searchers and an HTTP client."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import ClientSession
from opentelemetry.sdk.trace.export import SpanExporter

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    UPSTREAM_TOKEN,
    LocalCluster,
    demo_documents,
)
from snipejunction.host_settings import LeaseTimings
from snipejunction.standin.fleet import Fleet, FleetPlan

SNAPSHOT = SnapshotId(1, '3')
SEARCH_PATH = f'/v1/services/{SERVICE}/search'
RUN_PATH = f'/v1/services/{SERVICE}/run'
# A short lease: limit shares of callers are granted one lease after start.
_LEASE = LeaseTimings(0.6, 0.1, 0.05, 0.5)


class HostSite:
    """A cluster with the settings of the demo."""

    def __init__(
        self,
        exporter: SpanExporter | None = None,
        data_centres: tuple[str, ...] = ('lagos',),
    ) -> None:
        self._stack = AsyncExitStack()
        self._exporter = exporter
        self._data_centres = data_centres
        self.cluster: LocalCluster
        self.fleet: Fleet
        self.session: ClientSession

    async def __aenter__(self) -> HostSite:
        """Start the cluster and write its settings."""
        self.cluster = await self._stack.enter_async_context(
            LocalCluster(
                self._data_centres,
                len(self._data_centres),
                self._exporter,
                1,
                _LEASE,
            ),
        )
        self.session = await self._stack.enter_async_context(ClientSession())
        documents = demo_documents(deadline=0.3)
        for data_centre in self._data_centres:
            documents[f'/data-centres/{data_centre}'] = {'state': 'in'}
        await self.cluster.async_put(documents, 'site')
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Stop everything."""
        await self._stack.aclose()

    async def async_start_searchers(self, delay: float = 0.001) -> Fleet:
        """Start stand-in searchers and wait until a search succeeds."""
        plan = FleetPlan(SERVICE, self._data_centres, 3, 3, delay=delay)
        self.fleet = await self._stack.enter_async_context(
            Fleet(plan, self.cluster.urls, UPSTREAM_TOKEN, (SNAPSHOT,)),
        )
        status = 0
        while status != 200:
            await asyncio.sleep(0.05)
            status, _ = await self.async_search({'query': {'text': 'red'}})
        return self.fleet

    async def async_search(
        self,
        document: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        """Send a search and return the status and the JSON response."""
        return await self.async_request(
            'POST',
            SEARCH_PATH,
            CALLER_TOKEN,
            json=document,
        )

    async def async_operator_request(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> tuple[int, dict[str, Any]]:
        """Send an operator's request; return the status and the response."""
        return await self.async_request(
            method,
            path,
            OPERATOR_TOKEN,
            json=document,
        )

    async def async_request(
        self,
        method: str,
        path: str,
        token: str,
        **options: Any,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request and return the status and the JSON response."""
        async with self.session.request(
            method,
            self.cluster.urls[0] + path,
            headers={'Authorization': f'Bearer {token}'},
            **options,
        ) as response:
            answer: dict[str, Any] = await response.json()
        return response.status, answer
