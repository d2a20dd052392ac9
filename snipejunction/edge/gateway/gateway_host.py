"""An entry host: takes callers' requests and serves them by searchers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from random import Random
from typing import Final

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.const import (
    EVENT_REQUEST_REJECTED,
    UNPREPARED_RETRY_AFTER_SECONDS,
)
from snipejunction.components.gateway.updates import (
    ReadDocument,
    drop_gone_searchers,
)
from snipejunction.components.gateway.readiness import is_prepared
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.control_link import ControlLink
from snipejunction.edge.gateway.dialect import Dialect
from snipejunction.edge.gateway.forwarding import ForwardedRequest
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.gateway.relay_calls import RelayCalls
from snipejunction.edge.gateway.relays import Relays
from snipejunction.edge.gateway.searcher_pool import SearcherPool
from snipejunction.edge.gateway.service_metrics import Gauges, ServiceMetrics
from snipejunction.edge.keys import PeerKeys
from snipejunction.errors import SettingsError, StorageError

# Shares of the time until the process is killed: a stopping host goes on
# taking requests for the first, since callers keep the addresses that they
# were told for some seconds; open requests may use the second.
_ACCEPT_SHARE: Final = 0.65
_GRACE_SHARE: Final = 0.8
_STOP_POLL_SECONDS: Final = 0.05
_MILLISECONDS: Final = 1000
_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
_FORGET_SECONDS: Final = 10.0


class GatewayHost:
    """Owns the sockets of an entry host.

    ``read_document`` turns the content of a deployment document into typed
    data and raises ``SettingsError`` if it cannot.
    """

    def __init__(
        self,
        profile: HostProfile,
        keys: PeerKeys,
        dialect: Dialect,
        read_document: ReadDocument,
        event_log: EventLog,
        seed: int,
    ) -> None:
        """Create a host that does not listen yet."""
        loop = asyncio.get_running_loop()
        if profile.addresses.callers is None:
            raise SettingsError('listen', 'no address for callers')
        self._loop = loop
        self._profile = profile
        self._address = profile.addresses.callers
        self._event_log = event_log
        self._stack = AsyncExitStack()
        self._runs: set[ForwardedRequest] = set()
        self._is_leaving = False
        self._forget_timer: asyncio.TimerHandle | None = None
        self.dialect = dialect
        self.table = GatewayTable(
            profile.name,
            profile.data_centre,
            profile.regions,
            profile.repeat_limits,
            Random(seed),
            loop.time(),
        )
        self.pool = SearcherPool(dialect, loop)
        self.metrics = ServiceMetrics()
        self.callers: Final = HttpServer(self._serve, loop)
        self.link: Final = ControlLink(
            profile,
            self._address,
            keys,
            read_document,
            self,
            loop,
        )
        self._relays = Relays(self.link.peers, self, loop)

    @property
    def relay_calls(self) -> RelayCalls:
        """Return the calls to other entry hosts."""
        return self._relays.calls

    @property
    def relays(self) -> Relays:
        """Return the entry hosts that this one works with."""
        return self._relays

    @property
    def failure(self) -> StorageError | None:
        """Return None: a host without a disk never fails by it."""

    @property
    def address_seconds(self) -> float:
        """Return how long callers may keep addresses at most, in seconds."""
        return self._profile.ttl_seconds

    @property
    def is_ready(self) -> bool:
        """Return whether the host takes new work."""
        now = self._loop.time()
        return is_prepared(self.table, now) and not self._is_leaving

    async def __aenter__(self) -> GatewayHost:
        """Open the listeners and begin to look for control hosts."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.pool.async_close)
            stack.push_async_callback(self.link.peers.async_close)
            server = await self._loop.create_server(
                self.link.peers.accept,
                self._profile.ip,
                self._profile.peer_port,
            )
            stack.callback(server.close)
            stack.callback(self.link.stop_announcing)
            stack.callback(self._stop_forgetting)
            stack.callback(self.callers.close)
            await self.callers.async_listen(*self._address)
            self._stack = stack.pop_all()
        self.link.start()
        self._keep_forgetting()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close everything."""
        await self._stack.aclose()

    async def async_stop(self) -> None:
        """Stop as planned: finish open requests, but not for ever."""
        self._is_leaving = True
        self.link.send_presence()
        self.callers.is_stopping = True
        started = self._loop.time()
        await asyncio.sleep(self._profile.grace_seconds * _ACCEPT_SHARE)
        self.callers.stop_listening()
        end = started + self._profile.grace_seconds * _GRACE_SHARE
        while self._is_busy and self._loop.time() < end:
            await asyncio.sleep(_STOP_POLL_SECONDS)
        for run in list(self._runs):
            run.give_up('this host stops')
        await asyncio.sleep(_STOP_POLL_SECONDS)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other control hosts to start from."""
        self.link.update_seeds(seeds)

    def log(self, event: LogEvent) -> None:
        """Write an event."""
        self._event_log.write(event)

    def metrics_text(self) -> bytes:
        """Return all metrics, those of the present state included."""
        return self.metrics.text(self._gauges())

    def run_ended(self, run: ForwardedRequest) -> None:
        """Forget a request whose answer is given."""
        self._runs.discard(run)

    def document_changed(self) -> None:
        """Adopt the limits of a document that is newly in force."""
        document = self.table.document
        if document is not None:
            self.callers.limits = document.limits

    def searcher_gone(self, searcher_id: str) -> None:
        """Close the idle connections to a searcher."""
        self.pool.drop(searcher_id)

    @property
    def _is_busy(self) -> bool:
        return self.callers.is_busy or self._relays.jobs.is_busy

    def _gauges(self) -> Gauges:
        table = self.table
        now = self._loop.time()
        document = table.document
        share = table.slack_share
        budgets = [one.remaining(share, now) for one in table.budgets.values()]
        upstreams = table.upstreams.values()
        return {
            'document_version': (
                'Version of the document in force, 0 without one.',
                0 if document is None else document.version,
            ),
            'deployment_index': ('Index of the deployment.', table.index),
            'control_streams': (
                'Streams to control hosts.',
                len(self.link.connected),
            ),
            'relays': (
                'Other entry hosts with a stream.',
                len(table.relays.connected_names),
            ),
            'active_hosts': (
                'Entry hosts that callers are told to use.',
                len(table.active),
            ),
            'searchers': ('Searchers that are known.', len(upstreams)),
            'searchers_silent': (
                'Searchers that no control host hears.',
                sum(one.is_silent for one in upstreams),
            ),
            'searchers_stalled': (
                'Searchers that answer nothing at present.',
                sum(one.is_stalled(now) for one in upstreams),
            ),
            'attempts_open': (
                'Requests at searchers.',
                sum(one.in_flight for one in upstreams),
            ),
            'requests_open': ('Requests of callers.', len(self._runs)),
            'caller_connections': (
                'Connections of callers.',
                self.callers.open_connections,
            ),
            'searcher_connections': (
                'Connections to searchers.',
                self.pool.open_connections,
            ),
            'searcher_connections_opened': (
                'Connections to searchers that were ever opened.',
                self.pool.opened,
            ),
            'repeat_budget_least': (
                'Repeats that the most used budget has left.',
                min(budgets, default=0),
            ),
        }

    def _serve(self, request: CallerRequest) -> None:
        document = self.table.document
        if document is None:
            self._refuse(request, _UNAVAILABLE, 'no document yet')
            return
        request_id = request.header(self.dialect.request_id)
        host = request.header(b'host').decode('latin-1')
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = self.table.routes.find(host, path)
        if route is None:
            self._refuse(request, _NOT_FOUND, 'no route')
            return
        if not request_id:
            self._refuse(request, _BAD_REQUEST, 'no request id')
            return
        now = self._loop.time()
        run = RequestRun(
            request_id.decode('latin-1'),
            route,
            self.table,
            now + self._time_left(request, route.timeout),
            now,
        )
        forwarded = ForwardedRequest(request, run, route, self, self._loop)
        self._runs.add(forwarded)
        forwarded.start()

    def _time_left(self, request: CallerRequest, timeout: float) -> float:
        stated = request.header(self.dialect.deadline)
        if stated.isdigit():
            return min(int(stated) / _MILLISECONDS, timeout)
        return timeout

    def _refuse(
        self,
        request: CallerRequest,
        status: int,
        reason: str,
    ) -> None:
        headers = []
        if status == _UNAVAILABLE:
            headers = [
                (b'retry-after', b'%.2f' % UNPREPARED_RETRY_AFTER_SECONDS)
            ]
        self.metrics.note_refusal(status)
        document = self.table.document
        request_id = request.header(self.dialect.request_id)
        self.log(
            LogEvent(
                EVENT_REQUEST_REJECTED,
                request=request_id.decode('latin-1'),
                asked_host=request.header(b'host').decode('latin-1'),
                path=request.target.decode('latin-1'),
                status=status,
                reason=reason,
                version=0 if document is None else document.version,
                controls=len(self.link.peers.connected),
            ),
        )
        request.respond(status, headers, b'')

    def _keep_forgetting(self) -> None:
        drop_gone_searchers(self.table, self._loop.time())
        self._forget_timer = self._loop.call_later(
            _FORGET_SECONDS,
            self._keep_forgetting,
        )

    def _stop_forgetting(self) -> None:
        if self._forget_timer is not None:
            self._forget_timer.cancel()
