"""HTTP searcher with limits, cold starts and injected faults."""

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
from snipejunction.standin.limits import BREACH_AFTER_LEAVING, Limits
from snipejunction.timers import NEVER

PATH_HEALTH: Final = '/health'
# Maximum age of the load reported by the health path, in seconds.
HEALTH_LAG_SECONDS: Final = 5.0

_SHUTDOWN_SECONDS: Final = 0.02
_MILLISECONDS: Final = 1000
_DEFAULT_DEADLINE_MS: Final = '10000'
_BOOT_BYTES: Final = 6
_FAILED: Final = 500
_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400

HeldShards: TypeAlias = dict[SnapshotId, tuple[int, ...]]
_Handler: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.Response]]


class _LimitedServer(web.Server):
    """HTTP server that aborts connections above the searcher's limit."""

    def __init__(self, searcher: Searcher) -> None:
        super().__init__(
            searcher.async_handle,
            access_log=None,
            # A request is cancelled when its caller closes the connection.
            handler_cancellation=True,
        )
        self._searcher = searcher

    def connection_made(
        self,
        handler: RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        super().connection_made(handler, transport)
        if not self._searcher.limits.check_connections(len(self.connections)):
            transport.abort()


class Searcher:
    """Serves searches over some shards of each snapshot that it holds."""

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        held: HeldShards,
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
        self.last_request_at = 0.0
        self._listener = socket.create_server((ip, 0))
        self._running: dict[str, asyncio.Event] = {}
        self._silenced: set[RequestHandler] = set()
        self._server: _LimitedServer | None = None
        self._stack = AsyncExitStack()
        self._reported_load: tuple[float, int] = (0, 0)
        self._handlers: dict[str, _Handler] = {
            protocol.PATH_SEARCH: self._async_search,
            protocol.PATH_RUN: self._async_run,
        }

    @property
    def ip(self) -> str:
        """Return the IP address."""
        return str(self._listener.getsockname()[0])

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self._listener.getsockname()[1])

    async def __aenter__(self) -> Searcher:
        """Start the server on the bound port."""
        loop = asyncio.get_running_loop()
        self._server = _LimitedServer(self)
        server = await loop.create_server(
            self._server,
            sock=self._listener,
        )
        self._stack.push_async_callback(
            self._server.shutdown,
            _SHUTDOWN_SECONDS,
        )
        self._stack.callback(self._server.pre_shutdown)
        self._stack.callback(server.close)
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Stop the server."""
        await self._stack.aclose()

    def restart_cold(self) -> None:
        """Simulate a restart: a new boot id and a cold searcher."""
        self.boot_id = secrets.token_hex(_BOOT_BYTES)
        self.limits.reset_warm_up()

    def hold(self, snapshots: Iterable[SnapshotId], shards: HeldShards) -> None:
        """Replace the held snapshots; ``shards`` lists the shards of each."""
        self.held = {snapshot: shards[snapshot] for snapshot in snapshots}

    def silence_connections(self) -> int:
        """Stop answering on all open connections and return their number.

        New connections are served.
        """
        handlers = [] if self._server is None else self._server.connections
        for handler in handlers:
            self._silenced.add(handler)
            if handler.transport is not None:
                handler.transport.pause_reading()
        return len(handlers)

    async def async_handle(self, request: web.BaseRequest) -> web.Response:
        """Handle a request of the upstream protocol."""
        if request.path == protocol.PATH_CANCEL:
            return self._cancel(request)
        if request.path == PATH_HEALTH:
            return self._health_response()
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=_NOT_FOUND)
        self.limits.count_arrival(asyncio.get_running_loop().time())
        response = self._check_refusal(request)
        if response is None:
            response = await self._async_within_limits(request, handler)
        dispatch_name = request.headers.get(protocol.HEADER_DISPATCH, '')
        response.headers[protocol.HEADER_DISPATCH] = dispatch_name
        self._add_stated_rate(response)
        return response

    async def _async_within_limits(
        self,
        request: web.BaseRequest,
        handler: _Handler,
    ) -> web.Response:
        with ExitStack() as slot:
            is_accepted = self.limits.start_request()
            slot.callback(self.limits.end_request)
            if not is_accepted:
                return self._overload_response()
            response = await handler(request)
        if response.status == protocol.STATUS_OK:
            self.limits.count_served()
        if request.protocol in self._silenced:
            await asyncio.Event().wait()
        return response

    def _overload_response(self) -> web.Response:
        if self.limits.has_failed:
            return web.Response(status=_FAILED)
        return self._refusal_response(ENDED_SHED)

    def _check_refusal(self, request: web.BaseRequest) -> web.Response | None:
        if self.has_left:
            self.limits.breaches[BREACH_AFTER_LEAVING] += 1
        if self.is_leaving:
            return self._refusal_response(ENDED_LEAVING)
        if self.behaviour.is_shedding:
            return self._refusal_response(ENDED_SHED)
        self.last_request_at = asyncio.get_running_loop().time()
        return None

    def _add_stated_rate(self, response: web.Response) -> None:
        stated_rate = self.limits.stated_rate
        if stated_rate.rate < NEVER:
            response.headers[protocol.HEADER_RATE_LIMIT] = str(stated_rate.rate)
            stated_rate.count_answer(asyncio.get_running_loop().time())

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
            return self._refusal_response(ENDED_SNAPSHOT_NOT_HELD)
        stop_reason = await self._async_simulate_work(request)
        if stop_reason is not None:
            return self._refusal_response(stop_reason)
        shards = tuple(
            shard for shard in wanted if shard in self.held[snapshot]
        )
        return self._search_response(snapshot, shards, query)

    async def _async_run(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        request_id = request.headers.get(protocol.HEADER_REQUEST, '')
        # The run counts before the delay: a late cancellation does not undo it.
        self.limits.count_run(request_id)
        stop_reason = await self._async_simulate_work(request)
        if stop_reason is not None:
            return self._refusal_response(stop_reason)
        outcome = {'loan': request_id, 'bytes': len(body), 'by': self.name}
        return web.json_response(
            outcome,
            headers={protocol.HEADER_BOOT: self.boot_id},
        )

    async def _async_simulate_work(
        self, request: web.BaseRequest
    ) -> str | None:
        """Wait for the duration of a request.

        Return the reason if it was cancelled or passed its deadline, else
        None.
        """
        headers = request.headers
        dispatch_id = headers.get(protocol.HEADER_DISPATCH, '')
        deadline_ms = headers.get(
            protocol.HEADER_DEADLINE,
            _DEFAULT_DEADLINE_MS,
        )
        deadline = int(deadline_ms) / _MILLISECONDS
        delay = self.behaviour.next_delay()
        with ExitStack() as stack:
            cancelled = asyncio.Event()
            self._running[dispatch_id] = cancelled
            stack.callback(self._running.pop, dispatch_id, None)
            try:
                async with asyncio.timeout(min(delay, deadline)):
                    await cancelled.wait()
            except TimeoutError:
                return ENDED_DEADLINE if delay > deadline else None
        return ENDED_CANCELLED

    def _search_response(
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
        dispatch_id = request.headers.get(protocol.HEADER_DISPATCH, '')
        cancelled = self._running.get(dispatch_id)
        if cancelled is not None:
            cancelled.set()
        return web.json_response({'found': cancelled is not None})

    def _refusal_response(self, reason: str) -> web.Response:
        return web.Response(
            status=protocol.STATUS_REFUSED,
            headers={
                protocol.HEADER_REFUSAL: reason,
                protocol.HEADER_BOOT: self.boot_id,
            },
        )

    def _health_response(self) -> web.Response:
        """Report a stale load, as the health endpoints of upstreams do."""
        now = asyncio.get_running_loop().time()
        reported_at, load = self._reported_load
        if now - reported_at > HEALTH_LAG_SECONDS:
            self._reported_load = (now, self.limits.running)
        return web.json_response({'healthy': True, 'load': load})
