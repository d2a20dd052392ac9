"""Relay calls that this host runs for other entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Final, TypeAlias

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.gateway.messages import (
    PartsCancelled,
    PartsRequest,
)
from snipejunction.components.gateway.relayed import (
    RelayedCall,
    SendRelayedPart,
)
from snipejunction.components.gateway.replies import Outcome
from snipejunction.components.gateway.stated_limits import ReportLimits
from snipejunction.edge.gateway.forwarding import ForwardingHooks
from snipejunction.edge.gateway.headers import complete_head
from snipejunction.edge.gateway.searcher_pool import PendingRequest
from snipejunction.edge.peers import PeerTable
from snipejunction.timers import NEVER

# Maximum number of concurrent jobs. Calls beyond it are dropped; the
# requesting host repeats their parts.
_MAX_JOBS: Final = 512
_JobKey: TypeAlias = tuple[str, int]


class _RelayJob:
    """One relay call from another host."""

    __slots__ = (
        '_call',
        '_hooks',
        '_jobs',
        '_loop',
        '_pending',
        '_request',
        '_timer',
    )

    def __init__(
        self,
        request: PartsRequest,
        jobs: RelayJobs,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._request = request
        self._jobs = jobs
        self._hooks = hooks
        self._loop = loop
        self._call = RelayedCall(request, hooks.table, loop.time())
        self._pending: dict[int, PendingRequest] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._execute(self._call.start(self._loop.time()))

    def cancel(self, detail: str) -> None:
        for pending in list(self._pending.values()):
            pending.cancel(detail)

    def _advance(self) -> None:
        self._timer = None
        self._execute(self._call.advance(self._loop.time()))

    def _handle_outcome(self, position: int, outcome: Outcome) -> None:
        self._pending.pop(position, None)
        now = self._loop.time()
        self._execute(self._call.handle_outcome(position, outcome, now))

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendRelayedPart):
                self._send(command)
            elif isinstance(command, SendPeer):
                self._jobs.peers.send(command.host, command.message)
            elif isinstance(command, ReportLimits):
                self._hooks.report_limits(command)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)
        self._schedule_advance(self._call.next_due)
        if self._call.is_done:
            self._jobs.remove_job(self._request)

    def _schedule_advance(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.when() == due:
                return
            self._timer.cancel()
            self._timer = None
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._advance)

    def _send(self, command: SendRelayedPart) -> None:
        head = complete_head(
            self._request.head,
            self._hooks.header_names,
            command.deadline - self._loop.time(),
            command.upstream.searcher_id,
        )
        pending = PendingRequest(
            head,
            self._request.body,
            self._request.request_id.encode('latin-1'),
            partial(self._handle_outcome, command.position),
        )
        self._pending[command.position] = pending
        self._hooks.pool.send(command.upstream, pending)


class RelayJobs:
    """All relay calls from other hosts to this one."""

    def __init__(
        self,
        peers: PeerTable,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create an empty set of jobs; ``peers`` carries the responses."""
        self.peers = peers
        self._hooks = hooks
        self._loop = loop
        self._jobs: dict[_JobKey, _RelayJob] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether a relay call is in progress."""
        return bool(self._jobs)

    def start_job(self, request: PartsRequest) -> None:
        """Start a job unless it is a duplicate or over the limit."""
        key = (request.sender, request.call_id)
        if len(self._jobs) >= _MAX_JOBS or key in self._jobs:
            return
        job = _RelayJob(request, self, self._hooks, self._loop)
        self._jobs[key] = job
        job.start()

    def cancel_job(self, message: PartsCancelled) -> None:
        """Cancel the job of a call that the requesting host cancelled."""
        job = self._jobs.get((message.sender, message.call_id))
        if job is not None:
            job.cancel('nobody waits for it')

    def handle_lost_stream(self, host: str) -> None:
        """Cancel the jobs of a host whose stream is lost."""
        for (sender, _), job in list(self._jobs.items()):
            if sender == host:
                job.cancel('the stream to the asking host is lost')

    def remove_job(self, request: PartsRequest) -> None:
        """Remove a finished job."""
        self._jobs.pop((request.sender, request.call_id), None)
