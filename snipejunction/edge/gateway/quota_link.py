"""Quotas of customers at the requests of callers and on the streams."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Final, Protocol

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.quotas.account import Decision
from snipejunction.components.quotas.const import EVENT_OVER_QUOTA
from snipejunction.components.quotas.messages import (
    QuotaLevels,
    QuotaMessage,
    QuotaUsage,
)
from snipejunction.components.quotas.quotas import Quotas
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.header_names import HeaderNames
from snipejunction.edge.gateway.service_metrics import Gauges, ServiceMetrics
from snipejunction.edge.peers import PeerTable
from snipejunction.timers import NEVER

_TOO_MANY_REQUESTS: Final = 429
# Retry-after has two decimals.
_MIN_RETRY_SECONDS: Final = 0.01


class QuotaHooks(Protocol):
    """Interface of the host that owns the requests."""

    header_names: HeaderNames
    table: GatewayTable
    metrics: ServiceMetrics

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""


class QuotaLink:
    """Admits requests and exchanges reports with other entry hosts."""

    def __init__(
        self,
        peers: PeerTable,
        hooks: QuotaHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a link; ``peers`` carries the reports."""
        self._peers = peers
        self._hooks = hooks
        self._loop = loop
        self._quotas = Quotas(hooks.table, hooks.table.random)
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def admit(self, request: CallerRequest, customer: str) -> bool:
        """Return whether a request is admitted; answer it if it is not."""
        if not customer:
            return True
        decision = self._quotas.admit(customer, self._loop.time())
        self.advance()
        if decision.is_limited:
            self._hooks.metrics.count_quota(
                customer, is_admitted=decision.is_admitted
            )
        if not decision.is_admitted:
            self._refuse(request, customer, decision)
        return decision.is_admitted

    def give_back(self, customer: str) -> None:
        """Give back an admitted request that has not run and will not."""
        self._quotas.give_back(customer, self._loop.time())

    def apply_document(self) -> None:
        """Apply a newer deployment document."""
        self._quotas.apply_document()
        self.advance()

    def advance(self) -> None:
        """Send what is due and set the timer for what comes next."""
        if self._is_closed:
            return
        self._execute(self._quotas.advance(self._loop.time()))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._quotas.next_due(self._loop.time())
        if due < NEVER:
            self._timer = self._loop.call_at(due, self.advance)

    def close(self) -> None:
        """Stop the timer for good."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    def gauges(self) -> Gauges:
        """Return the gauges of quotas."""
        now = self._loop.time()
        return {
            'quota_lease': (
                'Whether the home of the quotas answers, 1 or 0.',
                self._quotas.has_lease(now),
            ),
            'quota_share': (
                'Share of all quotas that this host keeps as their home.',
                self._quotas.home.share,
            ),
        }

    @singledispatchmethod
    def handle_message(self, message: QuotaMessage) -> None:
        """Handle a message from another entry host."""
        raise TypeError(f'no handler for {type(message).__name__}')

    @handle_message.register
    def _handle_usage(self, message: QuotaUsage) -> None:
        now = self._loop.time()
        self._execute(self._quotas.handle_usage(message, now))

    @handle_message.register
    def _handle_levels(self, message: QuotaLevels) -> None:
        now = self._loop.time()
        self._execute(self._quotas.handle_levels(message, now))
        self.advance()

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendPeer):
                self._peers.send(command.host, command.message)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)

    def _refuse(
        self, request: CallerRequest, customer: str, decision: Decision
    ) -> None:
        self._hooks.metrics.count_refusal(_TOO_MANY_REQUESTS)
        request_id = request.header(self._hooks.header_names.request_id)
        wait = max(decision.wait, _MIN_RETRY_SECONDS)
        self._hooks.log(
            LogEvent(
                EVENT_OVER_QUOTA,
                request=request_id.decode('latin-1'),
                customer=customer,
                source=decision.source,
                level=round(decision.level, 2),
                age=round(decision.age, 3),
                wait=round(wait, 2),
            )
        )
        headers = [(b'retry-after', b'%.2f' % wait)]
        request.respond(_TOO_MANY_REQUESTS, headers, b'')
