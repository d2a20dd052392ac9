"""Starts the requests that wait for room when there may be some."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.context import RequestContext
from snipejunction.components.gateway.document import Document, Route
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.scheduling.const import (
    EVENT_REQUEST_OVERTAKEN,
    MAX_TRIED,
    MIN_STEP_SECONDS,
    REFUSAL_REASONS,
)
from snipejunction.components.scheduling.run import ScheduledRun
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.forwarding import ForwardedRequest
from snipejunction.edge.gateway.service_metrics import Gauges


class WaitingRequests:
    """The forwarded requests of a host whose runs may wait.

    Requests try again by their own timers, too; this only lets them use room
    as soon as it appears.
    """

    def __init__(
        self,
        table: GatewayTable,
        log: Callable[[LogEvent], None],
        restart: Callable[[CallerRequest, float], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the set of a host where nothing waits.

        ``restart`` handles a request that has waited for some seconds with
        the document that is in force now.
        """
        self._table = table
        self._log = log
        self._restart = restart
        self._loop = loop
        self._by_run: dict[RequestRun, tuple[ForwardedRequest, int]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def create_run(
        self,
        request_id: str,
        route: Route,
        document: Document,
        deadline: float,
        now: float,
        context: RequestContext | None = None,
    ) -> RequestRun:
        """Return the control of a request received at ``now``."""
        run_type = ScheduledRun if document.has_queue else RequestRun
        return run_type(request_id, route, self._table, deadline, now, context)

    def add(self, forwarded: ForwardedRequest, version: int) -> None:
        """Add a started request unless it has an answer.

        ``version`` is that of the document with which it was started.
        """
        is_scheduled = isinstance(forwarded.run, ScheduledRun)
        if is_scheduled and forwarded.run.answer is None:
            self._by_run[forwarded.run] = (forwarded, version)

    def on_request_done(self, forwarded: ForwardedRequest) -> None:
        """Drop a request that was answered or whose caller left."""
        self._by_run.pop(forwarded.run, None)
        if isinstance(forwarded.run, ScheduledRun):
            self._table.scheduling.queue.remove(forwarded.run)

    def on_room(self) -> None:
        """Let the first waiting requests try again, soon."""
        if self._timer is None and len(self._table.scheduling.queue):
            self._timer = self._loop.call_later(
                MIN_STEP_SECONDS, self._try_first
            )

    def restart_if_overtaken(self, forwarded: ForwardedRequest) -> bool:
        """Start a request again if a newer document came while it waited.

        Returns whether it did. Nothing was sent for such a request.
        """
        known = self._by_run.get(forwarded.run)
        document = self._table.document
        if known is None or document is None or document.version == known[1]:
            return False
        if not isinstance(forwarded.run, ScheduledRun):
            return False
        if not forwarded.run.is_queued:
            return False
        self._log(
            LogEvent(
                EVENT_REQUEST_OVERTAKEN,
                request=forwarded.run.request_id,
                version=document.version,
            )
        )
        request = forwarded.withdraw()
        self._restart(request, self._loop.time() - request.received_at)
        return True

    def gauges(self) -> Gauges:
        """Return how many requests wait and were refused, by reason."""
        scheduling = self._table.scheduling
        gauges: Gauges = {
            'requests_waiting': (
                'Requests that wait for room at searchers.',
                len(scheduling.queue),
            ),
            'requests_given_up': (
                'Requests that ever ended early because parts were lost.',
                scheduling.given_up,
            ),
        }
        for reason in REFUSAL_REASONS:
            name = reason.replace(' ', '_')
            gauges[f'refusals_{name}'] = (
                f'Requests that were ever refused because {reason}.',
                scheduling.refused[reason],
            )
        return gauges

    def close(self) -> None:
        """Try nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _try_first(self) -> None:
        self._timer = None
        now = self._loop.time()
        runs = list(self._table.scheduling.queue.ordered(now))
        for run in runs[:MAX_TRIED]:
            known = self._by_run.get(run)
            if known is not None:
                known[0].resume()
