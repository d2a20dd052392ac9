"""Parts that this host gets for requests of other entry hosts."""

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
from snipejunction.edge.gateway.forwarding import ForwardingHooks
from snipejunction.edge.gateway.headers import complete_head
from snipejunction.edge.gateway.searcher_pool import Sending
from snipejunction.edge.peers import PeerTable
from snipejunction.timers import NEVER

# Calls of other hosts that are open at a time; what comes beyond is left to
# the repeats of the asking host.
_MAX_JOBS: Final = 512
_JobKey: TypeAlias = tuple[str, int]


class _Job:
    """One call of another host."""

    __slots__ = (
        '_asked',
        '_hooks',
        '_jobs',
        '_loop',
        '_parts',
        '_sendings',
        '_timer',
    )

    def __init__(
        self,
        asked: PartsRequest,
        jobs: RelayJobs,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._asked = asked
        self._jobs = jobs
        self._hooks = hooks
        self._loop = loop
        self._parts = RelayedCall(asked, hooks.table, loop.time())
        self._sendings: dict[int, Sending] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._execute(self._parts.start(self._loop.time()))

    def cancel(self, detail: str) -> None:
        for sending in list(self._sendings.values()):
            sending.cancel(detail)

    def _advance(self) -> None:
        self._timer = None
        self._execute(self._parts.advance(self._loop.time()))

    def _take(self, position: int, outcome: Outcome) -> None:
        self._sendings.pop(position, None)
        now = self._loop.time()
        self._execute(self._parts.handle_outcome(position, outcome, now))

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendRelayedPart):
                self._send(command)
            elif isinstance(command, SendPeer):
                self._jobs.peers.send(command.host, command.message)
            elif isinstance(command, LogEvent):
                self._hooks.log(command)
        self._arm(self._parts.next_due)
        if self._parts.is_done:
            self._jobs.end(self._asked)

    def _arm(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.when() == due:
                return
            self._timer.cancel()
            self._timer = None
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._advance)

    def _send(self, command: SendRelayedPart) -> None:
        content = complete_head(
            self._asked.head,
            self._hooks.dialect,
            command.deadline - self._loop.time(),
            command.upstream.searcher_id,
        )
        sending = Sending(
            content + self._asked.body,
            self._asked.request_id.encode('latin-1'),
            partial(self._take, command.position),
        )
        self._sendings[command.position] = sending
        self._hooks.pool.send(command.upstream, sending)


class RelayJobs:
    """All calls of other hosts to this one."""

    def __init__(
        self,
        peers: PeerTable,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the jobs over the streams of this host."""
        self.peers = peers
        self._hooks = hooks
        self._loop = loop
        self._jobs: dict[_JobKey, _Job] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether another host waits for parts."""
        return bool(self._jobs)

    def take(self, asked: PartsRequest) -> None:
        """Begin to work on a call."""
        key = (asked.sender, asked.call_id)
        if len(self._jobs) >= _MAX_JOBS or key in self._jobs:
            return
        job = _Job(asked, self, self._hooks, self._loop)
        self._jobs[key] = job
        job.start()

    def abandon(self, message: PartsCancelled) -> None:
        """Stop work that nobody waits for."""
        job = self._jobs.get((message.sender, message.call_id))
        if job is not None:
            job.cancel('nobody waits for it')

    def lose(self, asker: str) -> None:
        """Stop the work for a host whose stream is lost."""
        for (sender, _), job in list(self._jobs.items()):
            if sender == asker:
                job.cancel('the stream to the asking host is lost')

    def end(self, asked: PartsRequest) -> None:
        """Forget a call that is answered."""
        self._jobs.pop((asked.sender, asked.call_id), None)
