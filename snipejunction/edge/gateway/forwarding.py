"""Runs one caller's request against the searchers."""

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
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendAttempt,
    SendPartsToRelay,
)
from snipejunction.components.gateway.replies import SUCCESSES, Answer, Outcome
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.dialect import Dialect
from snipejunction.edge.gateway.headers import complete_head, end_to_end
from snipejunction.edge.gateway.relay_calls import (
    MergedOutcomes,
    RelayCall,
    RelayCalls,
)
from snipejunction.edge.gateway.searcher_pool import SearcherPool, Sending
from snipejunction.edge.gateway.service_metrics import ServiceMetrics

_MILLISECONDS: Final = 1000


class ForwardingHooks(Protocol):
    """What the requests need of the host that they belong to."""

    dialect: Dialect
    table: GatewayTable
    pool: SearcherPool
    metrics: ServiceMetrics

    @property
    def relay_calls(self) -> RelayCalls:
        """Return the calls to other entry hosts."""

    def log(self, event: LogEvent) -> None:
        """Write an event."""

    def run_ended(self, run: ForwardedRequest) -> None:
        """Forget a request whose answer is given."""


class ForwardedRequest:
    """Carries out the decisions of one ``RequestRun``."""

    __slots__ = (
        '_hooks',
        '_is_gone',
        '_loop',
        '_head',
        '_relay_calls',
        '_request',
        '_route',
        '_run',
        '_sendings',
        '_timer',
    )

    def __init__(
        self,
        request: CallerRequest,
        run: RequestRun,
        route: Route,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the work on a request that was just read."""
        self._request = request
        self._run = run
        self._route = route
        self._hooks = hooks
        self._loop = loop
        self._head = _head_of(request, hooks.dialect)
        self._sendings: dict[Attempt, Sending] = {}
        self._relay_calls: list[RelayCall] = []
        self._timer: asyncio.TimerHandle | None = None
        self._is_gone = False
        request.on_gone = self._leave

    def start(self) -> None:
        """Send the parts."""
        self._execute(self._run.start(self._loop.time()))
        self._settle()

    def give_up(self, detail: str) -> None:
        """Abort what is open: the host has to end now."""
        self._cancel_all(detail)
        self._settle()

    def _advance(self) -> None:
        self._timer = None
        self._execute(self._run.advance(self._loop.time()))
        self._settle()

    def _take(self, attempt: Attempt, outcome: Outcome) -> None:
        self._sendings.pop(attempt, None)
        self._execute(
            self._run.handle_outcome(attempt, outcome, self._loop.time())
        )
        self._settle()

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendAttempt):
                self._count_repeats(command.attempt)
                self._send(command)
            elif isinstance(command, SendPartsToRelay):
                self._count_repeats(*command.attempts)
                self._ask(command)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)

    def _count_repeats(self, *attempts: Attempt) -> None:
        for attempt in attempts:
            if attempt.is_repeat:
                self._hooks.metrics.note_repeat()

    def _send(self, command: SendAttempt) -> None:
        attempt = command.attempt
        head = complete_head(
            self._head,
            self._hooks.dialect,
            command.deadline - self._loop.time(),
            attempt.upstream.searcher_id,
        )
        sending = Sending(
            head + self._request.body,
            self._run.request_id.encode('latin-1'),
            partial(self._take, attempt),
        )
        self._sendings[attempt] = sending
        self._hooks.pool.send(attempt.upstream, sending)

    def _ask(self, command: SendPartsToRelay) -> None:
        call = self._hooks.relay_calls.ask(
            command,
            self._run.request_id,
            self._head,
            self._request.body,
            self._take_merged,
        )
        self._relay_calls.append(call)

    def _take_merged(self, relay: str, outcomes: MergedOutcomes) -> None:
        now = self._loop.time()
        self._execute(self._run.handle_merged(relay, outcomes, now))
        self._settle()

    def _settle(self) -> None:
        answer = self._run.answer
        if answer is None and not self._is_gone:
            self._arm(self._run.next_due)
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if answer is not None and not self._request.is_answered:
            self._answer(answer)

    def _arm(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.when() == due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._advance)

    def _answer(self, answer: Answer) -> None:
        elapsed = self._loop.time() - self._request.received_at
        headers = answer.headers
        if answer.signatures is not None:
            dialect = self._hooks.dialect
            signatures = ', '.join(answer.signatures).encode('latin-1')
            headers = [
                (dialect.request_id, self._run.request_id.encode()),
                (dialect.signatures, signatures),
                (dialect.missing, b'%d' % answer.missing),
            ]
        elif answer.retry_after:
            headers = [(b'retry-after', b'%.2f' % answer.retry_after)]
        self._request.respond(answer.status, headers, answer.body)
        self._hooks.metrics.note_answer(
            self._route.name, answer.status, elapsed
        )
        self._log(answer, elapsed)
        self._hooks.run_ended(self)
        self._abandon_later()

    def _log(self, answer: Answer, elapsed: float) -> None:
        is_success = answer.status in SUCCESSES
        kind = EVENT_REQUEST_DONE if is_success else EVENT_REQUEST_FAILED
        document = self._hooks.table.document
        fields: dict[str, Any] = {'cause': answer.cause} if answer.cause else {}
        if answer.missing or not is_success:
            fields['lacking'] = _lacking(self._run)
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

    def _leave(self) -> None:
        """Stop: the caller is gone and nobody reads the answer."""
        self._is_gone = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        elapsed = self._loop.time() - self._request.received_at
        self._hooks.metrics.note_answer(self._route.name, 0, elapsed)
        self._hooks.run_ended(self)
        self._abandon_later()

    def _abandon_later(self) -> None:
        # Most work ends soon, and then its connection can be used again.
        if self._sendings or any(
            one.open_attempts for one in self._relay_calls
        ):
            self._loop.call_later(
                ABANDONED_WORK_SECONDS,
                self._cancel_all,
                'nobody waits for it',
            )

    def _cancel_all(self, detail: str) -> None:
        for sending in list(self._sendings.values()):
            sending.cancel(detail)
        for call in self._relay_calls:
            self._hooks.relay_calls.cancel(call, detail)


def _lacking(run: RequestRun) -> list[str]:
    """Describe the parts without a reply, for the log."""
    return [
        f'{part.service}: {_tries(part)}'
        for part in run.parts
        if part.reply is None
    ]


def _tries(part: Part) -> str:
    tries = [
        '{0} {1}'.format(
            attempt.upstream.searcher_id,
            'open' if attempt.is_open else 'ended',
        )
        for attempt in part.attempts
    ]
    return ', '.join(tries) or 'nobody to ask'


def _head_of(request: CallerRequest, dialect: Dialect) -> bytes:
    """Return the head for searchers, but for what each attempt sets."""
    own = (dialect.deadline, dialect.expected_searcher)
    lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
    lines.extend(
        b'%s: %s' % header for header in end_to_end(request.headers, own)
    )
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join([*lines, b''])
