"""Entry host that forwards callers' requests to searchers."""

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
from snipejunction.components.gateway.stated_limits import ReportLimits
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.control_link import ControlLink
from snipejunction.edge.gateway.forwarding import ForwardedRequest
from snipejunction.edge.gateway.header_names import HeaderNames
from snipejunction.edge.gateway.headers import parse_whole_number
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.gateway.identification import identify_request
from snipejunction.edge.gateway.relay_calls import RelayCalls
from snipejunction.edge.gateway.relays import Relays
from snipejunction.edge.gateway.searcher_pool import SearcherPool
from snipejunction.edge.gateway.service_metrics import Gauges, ServiceMetrics
from snipejunction.edge.gateway.waiting_requests import WaitingRequests
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.peers import async_listen
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.errors import SettingsError, StorageError

# Shares of the grace period of a stop. The host accepts requests for the
# first share, since callers cache its address for some seconds; open requests
# may run until the end of the second share, and their answers are sent until
# the end of the third one, before the process is killed.
_ACCEPT_SHARE: Final = 0.65
_GRACE_SHARE: Final = 0.9
_FLUSH_SHARE: Final = 0.95
_STOP_POLL_SECONDS: Final = 0.05
_MILLISECONDS: Final = 1000
_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400
_UNAUTHORIZED: Final = 401
_UNAVAILABLE: Final = 503
_EXPIRY_INTERVAL_SECONDS: Final = 10.0


class GatewayHost:
    """Owns the sockets of an entry host.

    ``read_document`` parses the content of a deployment document and raises
    ``SettingsError`` if it is not valid.
    """

    def __init__(
        self,
        profile: HostProfile,
        keys: PeerKeys,
        header_names: HeaderNames,
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
        self._open_requests: set[ForwardedRequest] = set()
        self._is_stopping = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.header_names = header_names
        self.table = GatewayTable(
            profile.name,
            profile.data_centre,
            profile.regions,
            profile.repeat_limits,
            Random(seed),
            loop.time(),
        )
        self.table.rollouts.exposure = profile.exposure
        self.pool = SearcherPool(
            header_names,
            loop,
            ReceiveBudget(
                'searchers', profile.bounds.received_answer_bytes, self.log
            ),
            lambda: self.link.peers.check.late_seconds,
        )
        self.metrics = ServiceMetrics()
        self.waiting: Final = WaitingRequests(
            self.table, self.log, self._handle_request, loop
        )
        self.caller_server: Final = HttpServer(
            self._handle_request,
            loop,
            ReceiveBudget(
                'callers', profile.bounds.received_request_bytes, self.log
            ),
        )
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
        """Return the relay calls to other entry hosts."""
        return self._relays.calls

    @property
    def relays(self) -> Relays:
        """Return the streams to other entry hosts."""
        return self._relays

    @property
    def failure(self) -> StorageError | None:
        """Return None: an entry host has no storage that can fail."""

    @property
    def address_ttl_seconds(self) -> float:
        """Return how long callers may cache addresses, in seconds."""
        return self._profile.address_ttl_seconds

    @property
    def is_ready(self) -> bool:
        """Return whether the host accepts new requests."""
        now = self._loop.time()
        return is_prepared(self.table, now) and not self._is_stopping

    async def __aenter__(self) -> GatewayHost:
        """Open the listeners and start connecting to control hosts."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.pool.async_close)
            stack.push_async_callback(self.link.peers.async_close)
            server = await async_listen(
                self.link.peers,
                (self._profile.ip, self._profile.peer_port),
                self.log,
            )
            stack.callback(server.close)
            stack.callback(self.link.stop_heartbeats)
            stack.callback(self._stop_expiry)
            stack.callback(self._relays.quotas.close)
            stack.callback(self.waiting.close)
            stack.callback(self.caller_server.close)
            await self.caller_server.async_listen_when_free(
                self._address, self.log
            )
            self._stack = stack.pop_all()
        self.link.start()
        self._expire_searchers()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all listeners, connections and timers."""
        await self._stack.aclose()

    async def async_stop(self) -> None:
        """Finish open requests within the grace period and abort the rest."""
        self._is_stopping = True
        self.link.send_heartbeats()
        self.caller_server.is_stopping = True
        started = self._loop.time()
        grace_seconds = self._profile.stop_grace_seconds
        await asyncio.sleep(grace_seconds * _ACCEPT_SHARE)
        self.caller_server.stop_listening()
        await self._async_wait_idle(started + grace_seconds * _GRACE_SHARE)
        for forwarded in list(self._open_requests):
            forwarded.abort('this host stops')
        await self._async_wait_idle(started + grace_seconds * _FLUSH_SHARE)
        await asyncio.sleep(_STOP_POLL_SECONDS)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed control hosts."""
        self.link.update_seeds(seeds)

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""
        self._event_log.write(event)

    def report_limits(self, command: ReportLimits) -> None:
        """Report limits to the control hosts."""
        self.link.notify(command.message)

    def metrics_text(self) -> bytes:
        """Return all metrics with current gauges in the text format."""
        return self.metrics.text(self._gauges())

    def on_request_done(self, forwarded: ForwardedRequest) -> None:
        """Remove a request that was answered or whose caller left."""
        self._open_requests.discard(forwarded)
        self._relays.quotas.give_back(forwarded.refused_customer)
        self.waiting.on_request_done(forwarded)

    def on_document_changed(self) -> None:
        """Apply the limits of the new deployment document."""
        document = self.table.document
        if document is not None:
            self.caller_server.limits = document.limits
            self._relays.quotas.apply_document()

    def on_searcher_gone(self, searcher_id: str) -> None:
        """Close the idle connections to a removed searcher."""
        self.pool.close_idle(searcher_id)

    async def _async_wait_idle(self, end: float) -> None:
        while self._is_busy and self._loop.time() < end:
            await asyncio.sleep(_STOP_POLL_SECONDS)

    @property
    def _is_busy(self) -> bool:
        return self.caller_server.is_busy or self._relays.jobs.is_busy

    def _gauges(self) -> Gauges:
        table = self.table
        now = self._loop.time()
        document = table.document
        share = table.slack_share
        budgets = [
            budget.remaining(share, now) for budget in table.budgets.values()
        ]
        upstreams = table.upstreams.values()
        trials = table.rollouts.open_trials
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
                sum(upstream.is_silent for upstream in upstreams),
            ),
            'searchers_stalled': (
                'Searchers that answer nothing at present.',
                sum(upstream.is_stalled(now) for upstream in upstreams),
            ),
            'searchers_limited': (
                'Searchers that state a limit on their request rate.',
                sum(upstream.states_limit for upstream in upstreams),
            ),
            'attempts_limited': (
                'Attempts that were ever sent to a searcher with a limit.',
                table.sharing.attempts,
            ),
            'refusals_limited': (
                'Requests that were ever refused because of stated limits.',
                table.sharing.refusals,
            ),
            'rollouts_open': (
                'Roll-outs that are running or switching.',
                len(trials),
            ),
            'rollout_target_sends': (
                'Attempts sent to the targets of open roll-outs.',
                sum(trial.ledger.target_sent for trial in trials),
            ),
            'rollout_target_bad': (
                'Bad answers of the targets of open roll-outs.',
                sum(trial.evidence.target_bad for trial in trials),
            ),
            **self.waiting.gauges(),
            'attempts_open': (
                'Requests at searchers.',
                sum(upstream.in_flight for upstream in upstreams),
            ),
            'requests_open': ('Requests of callers.', len(self._open_requests)),
            'caller_connections': (
                'Connections of callers.',
                self.caller_server.connection_count,
            ),
            'searcher_connections': (
                'Connections to searchers.',
                self.pool.connection_count,
            ),
            'searcher_connections_opened': (
                'Connections to searchers that were ever opened.',
                self.pool.opened_connections,
            ),
            **self._relays.quotas.gauges(),
            'repeat_budget_least': (
                'Repeats that the most used budget has left.',
                min(budgets, default=0),
            ),
        }

    def _handle_request(
        self, request: CallerRequest, waited: float = 0
    ) -> None:
        document = self.table.document
        if document is None:
            self._refuse(request, _UNAVAILABLE, 'no document yet')
            return
        request_id = request.header(self.header_names.request_id)
        host = request.header(b'host').decode('latin-1')
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = self.table.routes.find(host, path)
        if route is None:
            self._refuse(request, _NOT_FOUND, 'no route')
            return
        context = identify_request(request, route, document, self.header_names)
        if context is None:
            self._refuse(request, _UNAUTHORIZED, 'no key of a customer')
            return
        if not request_id:
            self._refuse(request, _BAD_REQUEST, 'no request id')
            return
        # A request that waited is admitted already.
        quotas = self._relays.quotas
        if not waited and not quotas.admit(request, context.customer):
            return
        now = self._loop.time()
        request_run = self.waiting.create_run(
            request_id.decode('latin-1'),
            route,
            document,
            now + self._effective_timeout(request, route.timeout) - waited,
            now,
            context,
        )
        forwarded = ForwardedRequest(
            request, request_run, route, self, self._loop, context
        )
        self._open_requests.add(forwarded)
        forwarded.start()
        self.waiting.add(forwarded, document.version)

    def _effective_timeout(
        self, request: CallerRequest, timeout: float
    ) -> float:
        requested_ms = parse_whole_number(
            request.header(self.header_names.deadline)
        )
        if requested_ms is None:
            return timeout
        return min(requested_ms / _MILLISECONDS, timeout)

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
        self.metrics.count_refusal(status)
        document = self.table.document
        request_id = request.header(self.header_names.request_id)
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

    def _expire_searchers(self) -> None:
        now = self._loop.time()
        drop_gone_searchers(self.table, now)
        self.table.drop_departed_hosts(now)
        self._expiry_timer = self._loop.call_later(
            _EXPIRY_INTERVAL_SECONDS,
            self._expire_searchers,
        )

    def _stop_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
