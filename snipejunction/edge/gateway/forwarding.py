"""Runs one caller's request against the searchers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Any, Final, Protocol

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import (
    ABANDON_SECONDS,
    EVENT_REQUEST_DONE,
    EVENT_REQUEST_FAILED,
)
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendAttempt,
)
from snipejunction.components.gateway.replies import SUCCESSES, Answer, Outcome
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.dialect import Dialect
from snipejunction.edge.gateway.headers import end_to_end
from snipejunction.edge.gateway.searcher_pool import SearcherPool, Sending
from snipejunction.edge.gateway.service_metrics import ServiceMetrics

_MILLISECONDS: Final = 1000


class ForwardingHooks(Protocol):
    """What the requests need of the host that they belong to."""

    dialect: Dialect
    table: GatewayTable
    pool: SearcherPool
    metrics: ServiceMetrics

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
        '_prefix',
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
        self._prefix = _prefix_of(request, hooks.dialect)
        self._sendings: dict[Attempt, Sending] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_gone = False
        request.on_gone = self._leave

    def start(self) -> None:
        """Send the parts."""
        self._execute(self._run.start(self._loop.time()))
        self._settle()

    def give_up(self, detail: str) -> None:
        """Abort what is open: the host has to end now."""
        for sending in list(self._sendings.values()):
            sending.cancel(detail)
        self._settle()

    def _advance(self) -> None:
        self._timer = None
        self._execute(self._run.advance(self._loop.time()))
        self._settle()

    def _take(self, attempt: Attempt, outcome: Outcome) -> None:
        self._sendings.pop(attempt, None)
        self._execute(self._run.take(attempt, outcome, self._loop.time()))
        self._settle()

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendAttempt):
                if command.attempt.is_repeat:
                    self._hooks.metrics.note_repeat()
                self._send(command)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)

    def _send(self, command: SendAttempt) -> None:
        attempt = command.attempt
        left = command.deadline - self._loop.time()
        content = b'%s%s: %d\r\n%s: %s\r\n\r\n%s' % (
            self._prefix,
            self._hooks.dialect.deadline,
            max(1, int(left * _MILLISECONDS)),
            self._hooks.dialect.expected_searcher,
            attempt.upstream.searcher_id.encode(),
            self._request.body,
        )
        request_id = self._run.request_id.encode()
        sending = Sending(content, request_id, partial(self._take, attempt))
        self._sendings[attempt] = sending
        self._hooks.pool.send(attempt.upstream, sending)

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
        if self._sendings:
            self._loop.call_later(ABANDON_SECONDS, self._abandon)

    def _abandon(self) -> None:
        for sending in list(self._sendings.values()):
            sending.cancel('nobody waits for it')


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


def _prefix_of(request: CallerRequest, dialect: Dialect) -> bytes:
    """Return the head for searchers, but for what each attempt sets."""
    own = (dialect.deadline, dialect.expected_searcher)
    lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
    lines.extend(
        b'%s: %s' % header for header in end_to_end(request.headers, own)
    )
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join([*lines, b''])
