"""The HTTP searcher: shards, slots, connections, cold starts and faults."""

from __future__ import annotations

import asyncio
import json
import secrets
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, ExitStack
from typing import Final, TypeAlias

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_LEAVING,
    ENDED_SNAPSHOT_NOT_HELD,
    ENDED_SHED,
)
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.edge import upstream_protocol as protocol
from snipejunction.standin import catalogue
from snipejunction.standin.behaviour import Behaviour
from snipejunction.standin.limits import BREACH_LEFT, Limits

PATH_HEALTH: Final = '/health'
# How old the load that the health path states may be, in seconds.
HEALTH_LAG_SECONDS: Final = 5.0

_SHUTDOWN_SECONDS: Final = 0.02
_MILLISECONDS: Final = 1000
_DEFAULT_DEADLINE_MS: Final = '10000'
_BOOT_BYTES: Final = 6
_FAILED: Final = 500
_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400

Held: TypeAlias = dict[SnapshotId, tuple[int, ...]]
_Work: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.Response]]


class _CountingServer(web.Server):
    """Counts connections as the searcher itself sees them."""

    def __init__(self, searcher: Searcher) -> None:
        super().__init__(
            searcher.async_handle,
            access_log=None,
            # A request ends when its caller hangs up.
            handler_cancellation=True,
        )
        self._searcher = searcher

    def connection_made(
        self,
        handler: RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        super().connection_made(handler, transport)
        if not self._searcher.limits.note_connections(len(self.connections)):
            transport.abort()


class Searcher:
    """One searcher over some shards of each snapshot that it holds."""

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        held: Held,
        limits: Limits,
        behaviour: Behaviour,
        ip: str = '127.0.0.1',
    ) -> None:
        """Create a searcher; entering its context starts it."""
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.held = held
        self.limits = limits
        self.behaviour = behaviour
        self.boot_id = secrets.token_hex(_BOOT_BYTES)
        self.is_leaving = False
        self.has_left = False
        self.last_work = 0.0
        self._listener = socket.create_server((ip, 0))
        self._running: dict[str, asyncio.Event] = {}
        self._silent: set[RequestHandler] = set()
        self._server: _CountingServer | None = None
        self._stack = AsyncExitStack()
        self._health: tuple[float, int] = (0, 0)
        self._paths: dict[str, _Work] = {
            protocol.PATH_SEARCH: self._async_search,
            protocol.PATH_RUN: self._async_run,
        }

    @property
    def ip(self) -> str:
        """Return the IP number."""
        return str(self._listener.getsockname()[0])

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self._listener.getsockname()[1])

    async def __aenter__(self) -> Searcher:
        """Serve on the port that the searcher has bound."""
        loop = asyncio.get_running_loop()
        self._server = _CountingServer(self)
        listening = await loop.create_server(
            self._server,
            sock=self._listener,
        )
        self._stack.push_async_callback(
            self._server.shutdown,
            _SHUTDOWN_SECONDS,
        )
        self._stack.callback(self._server.pre_shutdown)
        self._stack.callback(listening.close)
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Stop at once."""
        await self._stack.aclose()

    def restart_cold(self) -> None:
        """Behave as after a restart: a new boot, and cold."""
        self.boot_id = secrets.token_hex(_BOOT_BYTES)
        self.limits.turn_cold()

    def hold(self, snapshots: Iterable[SnapshotId], shards: Held) -> None:
        """Hold these snapshots from now on, with the given shards."""
        self.held = {snapshot: shards[snapshot] for snapshot in snapshots}

    def silence_connections(self) -> int:
        """Let all open connections go dead while new ones work."""
        handlers = [] if self._server is None else self._server.connections
        for handler in handlers:
            self._silent.add(handler)
            if handler.transport is not None:
                handler.transport.pause_reading()
        return len(handlers)

    async def async_handle(self, request: web.BaseRequest) -> web.Response:
        """Answer any request of the upstream protocol."""
        if request.path == protocol.PATH_CANCEL:
            return self._cancel(request)
        if request.path == PATH_HEALTH:
            return self._report_health()
        work = self._paths.get(request.path)
        if work is None:
            return web.Response(status=_NOT_FOUND)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        return await self._async_within_limits(request, work)

    async def _async_within_limits(
        self,
        request: web.BaseRequest,
        work: _Work,
    ) -> web.Response:
        with ExitStack() as slot:
            is_borne = self.limits.begin()
            slot.callback(self.limits.end)
            if not is_borne:
                return self._overloaded()
            response = await work(request)
        if response.status == protocol.STATUS_OK:
            self.limits.note_served()
        if request.protocol in self._silent:
            await asyncio.Event().wait()
        return response

    def _overloaded(self) -> web.Response:
        if self.limits.has_fallen:
            return web.Response(status=_FAILED)
        return self._refuse(ENDED_SHED)

    def _refusal(self, request: web.BaseRequest) -> web.Response | None:
        if self.has_left:
            self.limits.breaches[BREACH_LEFT] += 1
        if self.is_leaving:
            return self._refuse(ENDED_LEAVING)
        if self.behaviour.is_shedding:
            return self._refuse(ENDED_SHED)
        self.last_work = asyncio.get_running_loop().time()
        return None

    async def _async_search(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        try:
            snapshot = protocol.parse_snapshot(
                request.headers.get(protocol.HEADER_SNAPSHOT, ''),
            )
            wanted = protocol.parse_shards(
                request.headers.get(protocol.HEADER_SHARDS, ''),
            )
            query = catalogue.Query(json.loads(body))
        except (ValueError, AttributeError, TypeError):
            return web.Response(status=_BAD_REQUEST)
        if snapshot is None or snapshot not in self.held:
            return self._refuse(ENDED_SNAPSHOT_NOT_HELD)
        stopped = await self._async_work(request)
        if stopped is not None:
            return self._refuse(stopped)
        shards = tuple(
            shard for shard in wanted if shard in self.held[snapshot]
        )
        return self._answer(snapshot, shards, query)

    async def _async_run(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        request_id = request.headers.get(protocol.HEADER_REQUEST, '')
        # The effect comes first, as it does where a cancellation comes late.
        self.limits.note_run(request_id)
        stopped = await self._async_work(request)
        if stopped is not None:
            return self._refuse(stopped)
        outcome = {'loan': request_id, 'bytes': len(body), 'by': self.name}
        return web.json_response(
            outcome,
            headers={protocol.HEADER_BOOT: self.boot_id},
        )

    async def _async_work(self, request: web.BaseRequest) -> str | None:
        """Take the time of a request; return why it was stopped, if so."""
        headers = request.headers
        name = headers.get(protocol.HEADER_DISPATCH, '')
        limit = headers.get(protocol.HEADER_DEADLINE, _DEFAULT_DEADLINE_MS)
        deadline = int(limit) / _MILLISECONDS
        delay = self.behaviour.next_delay()
        with ExitStack() as stack:
            cancelled = asyncio.Event()
            self._running[name] = cancelled
            stack.callback(self._running.pop, name, None)
            try:
                async with asyncio.timeout(min(delay, deadline)):
                    await cancelled.wait()
            except TimeoutError:
                return ENDED_DEADLINE if delay > deadline else None
        return ENDED_CANCELLED

    def _answer(
        self,
        snapshot: SnapshotId,
        shards: tuple[int, ...],
        query: catalogue.Query,
    ) -> web.Response:
        hits = [
            hit
            for shard in shards
            for hit in catalogue.search_shard(snapshot, shard, query)
        ]
        return web.Response(
            body=json.dumps({'hits': hits}).encode(),
            content_type='application/json',
            headers={
                protocol.HEADER_BOOT: self.boot_id,
                protocol.HEADER_SNAPSHOT: protocol.format_snapshot(snapshot),
                protocol.HEADER_SHARDS: protocol.format_shards(list(shards)),
            },
        )

    def _cancel(self, request: web.BaseRequest) -> web.Response:
        name = request.headers.get(protocol.HEADER_DISPATCH, '')
        cancelled = self._running.get(name)
        if cancelled is not None:
            cancelled.set()
        return web.json_response({'found': cancelled is not None})

    def _refuse(self, reason: str) -> web.Response:
        return web.Response(
            status=protocol.STATUS_REFUSED,
            headers={
                protocol.HEADER_REFUSAL: reason,
                protocol.HEADER_BOOT: self.boot_id,
            },
        )

    def _report_health(self) -> web.Response:
        """State a load that lags, as the endpoints of real upstreams do."""
        now = asyncio.get_running_loop().time()
        noted, load = self._health
        if now - noted > HEALTH_LAG_SECONDS:
            self._health = (now, self.limits.running)
        return web.json_response({'healthy': True, 'load': load})
