"""Forwards one caller's request to searchers and relays."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Any, Final, Protocol

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import (
    ABANDONED_WORK_SECONDS,
    EVENT_REQUEST_DONE,
    EVENT_REQUEST_FAILED,
)
from snipejunction.components.gateway.context import RequestContext
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendAttempt,
    SendPartsToRelay,
)
from snipejunction.components.gateway.replies import SUCCESSES, Answer, Outcome
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.stated_limits import ReportLimits
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.header_names import HeaderNames
from snipejunction.edge.gateway.headers import complete_head, end_to_end_headers
from snipejunction.edge.gateway.relay_calls import (
    MergedOutcomes,
    RelayCall,
    RelayCalls,
)
from snipejunction.edge.gateway.searcher_pool import (
    PendingRequest,
    SearcherPool,
)
from snipejunction.edge.gateway.service_metrics import ServiceMetrics

_MILLISECONDS: Final = 1000


class RoomHooks(Protocol):
    """Interface of what lets waiting requests use room."""

    def on_room(self) -> None:
        """Let waiting requests use the room of an attempt that ended."""

    def restart_if_overtaken(self, forwarded: ForwardedRequest) -> bool:
        """Start a request again if a newer document came while it waited."""


class ForwardingHooks(Protocol):
    """Interface of the host that owns the requests."""

    header_names: HeaderNames
    table: GatewayTable
    pool: SearcherPool
    metrics: ServiceMetrics

    @property
    def relay_calls(self) -> RelayCalls:
        """Return the relay calls to other entry hosts."""

    @property
    def waiting(self) -> RoomHooks:
        """Return what lets waiting requests use room."""

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""

    def report_limits(self, command: ReportLimits) -> None:
        """Report limits to the control hosts."""

    def on_request_done(self, forwarded: ForwardedRequest) -> None:
        """Remove a request that was answered or whose caller left."""


class ForwardedRequest:
    """Executes the commands of one ``RequestRun``."""

    __slots__ = (
        '_customer',
        '_head',
        '_hooks',
        '_is_disconnected',
        '_loop',
        '_pending',
        '_relay_calls',
        '_request',
        '_route',
        '_run',
        '_timer',
    )

    def __init__(
        self,
        request: CallerRequest,
        run: RequestRun,
        route: Route,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
        context: RequestContext,
    ) -> None:
        """Create the forwarding of a received request."""
        self._request = request
        self._run = run
        self._route = route
        self._hooks = hooks
        self._loop = loop
        self._customer = context.customer
        self._head = _format_head(request, hooks.header_names, context.customer)
        self._pending: dict[Attempt, PendingRequest] = {}
        self._relay_calls: list[RelayCall] = []
        self._timer: asyncio.TimerHandle | None = None
        self._is_disconnected = False
        request.on_disconnect = self._handle_disconnect

    @property
    def refused_customer(self) -> str:
        """Return the customer if the request was refused as not run."""
        answer = self._run.answer
        is_refused = answer is not None and bool(answer.retry_after)
        return self._customer if is_refused else ''

    @property
    def run(self) -> RequestRun:
        """Return the control of the request."""
        return self._run

    def start(self) -> None:
        """Send the first attempts."""
        self._execute(self._run.start(self._loop.time()))
        self._respond_or_wait()

    def resume(self) -> None:
        """Send what waits for room, if there is any by now."""
        self._stop_timer()
        self._advance()

    def withdraw(self) -> CallerRequest:
        """Drop this run, of which nothing was sent; return its request."""
        self._stop_timer()
        run = self._run
        run.is_abandoned = True
        self._hooks.on_request_done(self)
        return self._request

    def abort(self, detail: str) -> None:
        """Answer at once and cancel all open attempts, as the host stops."""
        self._run.end(self._loop.time())
        self._respond_or_wait()
        self._cancel_all(detail)

    def _advance(self) -> None:
        self._timer = None
        if self._hooks.waiting.restart_if_overtaken(self):
            return
        self._execute(self._run.advance(self._loop.time()))
        self._respond_or_wait()

    def _handle_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        self._pending.pop(attempt, None)
        self._execute(
            self._run.handle_outcome(attempt, outcome, self._loop.time())
        )
        self._respond_or_wait()
        self._hooks.waiting.on_room()

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendAttempt):
                self._count_repeats(command.attempt)
                self._send(command)
            elif isinstance(command, SendPartsToRelay):
                self._count_repeats(*command.attempts)
                self._send_to_relay(command)
            elif isinstance(command, ReportLimits):
                self._hooks.report_limits(command)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)

    def _count_repeats(self, *attempts: Attempt) -> None:
        for attempt in attempts:
            if attempt.is_repeat:
                self._hooks.metrics.count_repeat()

    def _send(self, command: SendAttempt) -> None:
        attempt = command.attempt
        head = complete_head(
            self._head,
            self._hooks.header_names,
            command.deadline - self._loop.time(),
            attempt.upstream.searcher_id,
        )
        pending = PendingRequest(
            head,
            self._request.body,
            self._run.request_id.encode('latin-1'),
            partial(self._handle_outcome, attempt),
        )
        self._pending[attempt] = pending
        self._hooks.pool.send(attempt.upstream, pending)

    def _send_to_relay(self, command: SendPartsToRelay) -> None:
        call = self._hooks.relay_calls.send_call(
            command,
            self._run.request_id,
            self._head,
            self._request.body,
            self._handle_merged,
        )
        self._relay_calls.append(call)

    def _handle_merged(self, relay: str, outcomes: MergedOutcomes) -> None:
        now = self._loop.time()
        self._execute(self._run.handle_merged(relay, outcomes, now))
        self._respond_or_wait()
        self._hooks.waiting.on_room()

    def _respond_or_wait(self) -> None:
        if self._is_disconnected or self._request.is_answered:
            # A reply came late.
            self._drop_bodies()
            return
        answer = self._run.answer
        if answer is None:
            self._schedule_advance(self._run.next_due)
            return
        self._stop_timer()
        self._respond(answer)

    def _schedule_advance(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.when() == due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._advance)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _respond(self, answer: Answer) -> None:
        elapsed = self._loop.time() - self._request.received_at
        headers = answer.headers
        if answer.signatures is not None:
            header_names = self._hooks.header_names
            signatures = ', '.join(answer.signatures).encode('latin-1')
            headers = [
                (header_names.request_id, self._run.request_id.encode()),
                (header_names.signatures, signatures),
                (header_names.missing, b'%d' % answer.missing),
            ]
        elif answer.retry_after:
            headers = [(b'retry-after', b'%.2f' % answer.retry_after)]
        self._request.respond(answer.status, headers, answer.body)
        self._hooks.metrics.record_answer(
            self._route.name, answer.status, elapsed
        )
        self._log_answer(answer, elapsed)
        self._hooks.on_request_done(self)
        self._schedule_cancel()
        self._drop_bodies()

    def _drop_bodies(self) -> None:
        """Free the replies: parts and their attempts refer to each other.

        They stay until the next collection of garbage.
        """
        answer = self._run.answer
        if answer is not None:
            answer.body = b''
        for part in self._run.parts:
            part.reply = None
            part.failure = None

    def _log_answer(self, answer: Answer, elapsed: float) -> None:
        is_success = answer.status in SUCCESSES
        kind = EVENT_REQUEST_DONE if is_success else EVENT_REQUEST_FAILED
        document = self._hooks.table.document
        fields: dict[str, Any] = {'cause': answer.cause} if answer.cause else {}
        if answer.missing or not is_success:
            fields['lacking'] = _describe_missing(self._run)
        self._hooks.log(
            LogEvent(
                kind,
                request=self._run.request_id,
                route=self._route.name,
                status=answer.status,
                ms=round(elapsed * _MILLISECONDS, 1),
                covered=answer.covered,
                parts=answer.parts,
                version=0 if document is None else document.version,
                outcome='success' if is_success else 'failure',
                **fields,
            ),
        )

    def _handle_disconnect(self) -> None:
        """End the request without an answer."""
        self._is_disconnected = True
        self._run.is_abandoned = True
        self._stop_timer()
        elapsed = self._loop.time() - self._request.received_at
        self._hooks.metrics.record_answer(self._route.name, 0, elapsed)
        self._hooks.on_request_done(self)
        self._schedule_cancel()
        self._drop_bodies()

    def _schedule_cancel(self) -> None:
        # Cancelling closes connections; attempts that end by themselves within
        # this time leave theirs reusable.
        detail = 'nobody waits for it'
        if self._pending or any(
            call.open_attempts for call in self._relay_calls
        ):
            self._loop.call_later(
                ABANDONED_WORK_SECONDS, self._cancel_all, detail
            )
        else:
            self._cancel_all(detail)

    def _cancel_all(self, detail: str) -> None:
        for pending in list(self._pending.values()):
            pending.cancel(detail)
        for call in self._relay_calls:
            self._hooks.relay_calls.cancel(call, detail)
        # The calls refer to this request, too.
        self._relay_calls.clear()


def _describe_missing(run: RequestRun) -> list[str]:
    """Describe the parts without a reply for the log."""
    return [
        f'{part.service}: {_describe_attempts(part)}'
        for part in run.parts
        if part.reply is None
    ]


def _describe_attempts(part: Part) -> str:
    attempts = [
        '{0} {1}'.format(
            attempt.upstream.searcher_id,
            'open' if attempt.is_open else 'ended',
        )
        for attempt in part.attempts
    ]
    if attempts:
        return ', '.join(attempts)
    return 'stated limits' if part.is_limited else 'nobody to ask'


def _format_head(
    request: CallerRequest,
    header_names: HeaderNames,
    customer: str,
) -> bytes:
    """Return the request head without the headers set per attempt.

    The caller's headers about the customer are dropped also while this host
    knows of no customers: other hosts may know of them already.
    """
    replaced = {
        header_names.deadline,
        header_names.expected_searcher,
        header_names.key,
        header_names.customer,
    }
    lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
    if customer:
        lines.append(b'%s: %s' % (header_names.customer, customer.encode()))
    lines.extend(
        b'%s: %s' % header
        for header in end_to_end_headers(request.headers, replaced)
    )
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join([*lines, b''])
