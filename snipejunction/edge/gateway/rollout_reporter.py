"""Periodic reports of an entry host about roll-outs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.versions import (
    make_report,
    prepare_report,
)
from snipejunction.components.rollouts.const import REPORT_INTERVAL_SECONDS
from snipejunction.messages import PeerMessage

Send: TypeAlias = Callable[[PeerMessage], None]
Log: TypeAlias = Callable[[LogEvent], None]


class RolloutReporter:
    """Reports while a roll-out is open, and when one changes."""

    __slots__ = ('_host', '_log', '_loop', '_send', '_table', '_timer')

    def __init__(
        self,
        host: str,
        table: GatewayTable,
        send: Send,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a reporter for ``host``, its name and incarnation."""
        self._host = host
        self._table = table
        self._send = send
        self._log = log
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def report(self) -> None:
        """Report now if there are roll-outs, and go on while any is open."""
        self.stop()
        rollouts = self._table.rollouts
        if rollouts.exposure is None or not rollouts.trials:
            return
        if rollouts.open_trials:
            self._timer = self._loop.call_later(
                REPORT_INTERVAL_SECONDS, self.report
            )
        now = self._loop.time()
        for event in prepare_report(self._table, now):
            self._log(event)
        self._send(make_report(self._host, self._table, now))

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
