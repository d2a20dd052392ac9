"""Parts that another entry host gets for requests of this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import TypeAlias

from snipejunction.components.gateway.messages import (
    PartReport,
    PartsCancelled,
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.parts import Attempt, SendPartsToRelay
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.edge.peers import PeerTable

MergedOutcomes: TypeAlias = list[tuple[Attempt, Outcome]]
OnMerged: TypeAlias = Callable[[str, MergedOutcomes], None]


class RelayCall:
    """One call to a relay; its attempts end one after the other."""

    __slots__ = ('_on_merged', 'call_id', 'open_attempts', 'relay')

    def __init__(
        self,
        call_id: int,
        command: SendPartsToRelay,
        on_merged: OnMerged,
    ) -> None:
        """Create a call that waits for all of its attempts."""
        self.call_id = call_id
        self.relay = command.relay
        self.open_attempts = dict(enumerate(command.attempts))
        self._on_merged = on_merged

    def take(self, message: PartsResponse) -> None:
        """Pass on what the relay tells of parts that are still open."""
        outcomes: MergedOutcomes = []
        for report, outcome in _outcomes_of(message):
            attempt = self.open_attempts.pop(report.position, None)
            if attempt is not None:
                outcomes.append((attempt, outcome))
        self._on_merged(self.relay, outcomes)

    def fail(self, detail: str) -> None:
        """End all open attempts: they may have run."""
        attempts = list(self.open_attempts.values())
        self.open_attempts.clear()
        lost = Outcome(OutcomeKind.LOST, detail=detail)
        self._on_merged(self.relay, [(attempt, lost) for attempt in attempts])


class RelayCalls:
    """All calls of this host to relays."""

    def __init__(
        self,
        peers: PeerTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the calls over the streams of this host."""
        self._peers = peers
        self._loop = loop
        self._calls: dict[int, RelayCall] = {}
        self._last_id = 0

    def ask(
        self,
        command: SendPartsToRelay,
        request_id: str,
        head: bytes,
        body: bytes,
        on_merged: OnMerged,
    ) -> RelayCall:
        """Send a call; ``on_merged`` is called with each answer."""
        self._last_id += 1
        call = RelayCall(self._last_id, command, on_merged)
        self._calls[call.call_id] = call
        asked = PartsRequest(
            call.call_id,
            request_id,
            head,
            body,
            [one.upstream.searcher_id for one in command.attempts],
            command.top,
            command.deadline - self._loop.time(),
            command.merge_after,
        )
        self._peers.send(command.relay, asked)
        return call

    def cancel(self, call: RelayCall, detail: str) -> None:
        """Give a call up and let the relay know."""
        if self._calls.pop(call.call_id, None) is None:
            return
        self._peers.send(call.relay, PartsCancelled(call.call_id))
        call.fail(detail)

    def take(self, message: PartsResponse) -> None:
        """Take an answer; one to a call that is over is dropped."""
        call = self._calls.get(message.call_id)
        if call is None or call.relay != message.sender:
            return
        call.take(message)
        if not call.open_attempts:
            self._calls.pop(call.call_id, None)

    def lose(self, relay: str) -> None:
        """End the calls to a relay whose stream is lost."""
        for call in list(self._calls.values()):
            if call.relay == relay:
                self._calls.pop(call.call_id, None)
                call.fail('the stream to the relay is lost')


def _outcomes_of(
    message: PartsResponse,
) -> Iterator[tuple[PartReport, Outcome]]:
    """Return what is told; the records are in the first good reply."""
    good = [one for one in message.reports if one.has_records]
    for report in message.reports:
        reply = None
        if report.status:
            is_first = bool(good) and report is good[0]
            reply = Reply(
                report.status,
                [],
                message.records if is_first else b'',
                report.signature,
                is_merged=len(good) > 1,
            )
        yield (
            report,
            Outcome(
                OutcomeKind(report.fate), reply, report.detail, report.seconds
            ),
        )
