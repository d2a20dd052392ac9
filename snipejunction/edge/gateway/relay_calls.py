"""Relay calls to other entry hosts for requests of this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from random import Random
from typing import Final, TypeAlias

from snipejunction.components.gateway.messages import (
    PartReport,
    PartsCancelled,
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.parts import Attempt, SendPartsToRelay
from snipejunction.components.gateway.replies import (
    FINAL_STATUSES,
    Outcome,
    OutcomeKind,
    Reply,
)
from snipejunction.edge.peers import PeerTable

MergedOutcomes: TypeAlias = list[tuple[Attempt, Outcome]]
OnMerged: TypeAlias = Callable[[str, MergedOutcomes], None]
_FIRST_CALL_ID_BITS: Final = 48


class RelayCall:
    """One call to a relay; its attempts may end separately."""

    __slots__ = ('_on_merged', 'call_id', 'open_attempts', 'relay')

    def __init__(
        self,
        call_id: int,
        command: SendPartsToRelay,
        on_merged: OnMerged,
    ) -> None:
        """Create a call whose attempts are all open."""
        self.call_id = call_id
        self.relay = command.relay
        self.open_attempts = dict(enumerate(command.attempts))
        self._on_merged = on_merged

    def handle_response(self, message: PartsResponse) -> None:
        """Report the outcomes of attempts that are still open."""
        outcomes: MergedOutcomes = []
        for report, outcome in _decode_outcomes(message):
            attempt = self.open_attempts.pop(report.position, None)
            if attempt is not None:
                outcomes.append((attempt, outcome))
        self._on_merged(self.relay, outcomes)

    def end(self, outcome: Outcome) -> None:
        """Report an outcome for all open attempts."""
        attempts = list(self.open_attempts.values())
        self.open_attempts.clear()
        self._on_merged(
            self.relay, [(attempt, outcome) for attempt in attempts]
        )


class RelayCalls:
    """All open calls of this host to relays."""

    def __init__(
        self,
        peers: PeerTable,
        loop: asyncio.AbstractEventLoop,
        random: Random,
    ) -> None:
        """Create an empty set of calls; ``peers`` carries the requests.

        The first call id is drawn from ``random``, so that the response to a
        call of this host before a restart belongs to no call after it.
        """
        self._peers = peers
        self._loop = loop
        self._calls: dict[int, RelayCall] = {}
        self._last_id = random.getrandbits(_FIRST_CALL_ID_BITS)

    def send_call(
        self,
        command: SendPartsToRelay,
        request_id: str,
        head: bytes,
        body: bytes,
        on_merged: OnMerged,
    ) -> RelayCall:
        """Send a call; ``on_merged`` is called for each response."""
        self._last_id += 1
        call = RelayCall(self._last_id, command, on_merged)
        self._calls[call.call_id] = call
        request = PartsRequest(
            call.call_id,
            request_id,
            head,
            body,
            [attempt.upstream.searcher_id for attempt in command.attempts],
            command.top,
            command.deadline - self._loop.time(),
            command.merge_after,
            tuple(
                position
                for position, attempt in enumerate(command.attempts)
                if attempt.upstream.states_limit
            ),
        )
        self._peers.send(command.relay, request)
        return call

    def cancel(self, call: RelayCall, detail: str) -> None:
        """Cancel a call and notify the relay."""
        if self._calls.pop(call.call_id, None) is None:
            return
        self._peers.send(call.relay, PartsCancelled(call.call_id))
        call.end(Outcome(OutcomeKind.CANCELLED, detail=detail))

    def handle_response(self, message: PartsResponse) -> None:
        """Handle a response; ignore one to a call that has ended."""
        call = self._calls.get(message.call_id)
        if call is None or call.relay != message.sender:
            return
        call.handle_response(message)
        if not call.open_attempts:
            self._calls.pop(call.call_id, None)

    def handle_lost_stream(self, relay: str) -> None:
        """Fail the calls to a relay whose stream is lost."""
        lost = Outcome(
            OutcomeKind.LOST, detail='the stream to the relay is lost'
        )
        for call in list(self._calls.values()):
            if call.relay == relay:
                self._calls.pop(call.call_id, None)
                call.end(lost)


def _decode_outcomes(
    message: PartsResponse,
) -> Iterator[tuple[PartReport, Outcome]]:
    """Yield the reported outcomes.

    The merged records are the body of the first reply that has records.
    """
    with_records = [entry for entry in message.reports if entry.has_records]
    for report in message.reports:
        reply = None
        is_answer = report.status in FINAL_STATUSES
        if report.fate == OutcomeKind.ANSWERED.value and not is_answer:
            yield report, _lose_odd_status(report)
            continue
        if is_answer:
            is_first = bool(with_records) and report is with_records[0]
            reply = Reply(
                report.status,
                [],
                message.records if is_first else b'',
                report.signature,
                is_merged=len(with_records) > 1,
            )
        yield (
            report,
            Outcome(
                OutcomeKind(report.fate),
                reply,
                report.detail,
                report.seconds,
                report.stated_limit,
            ),
        )


def _lose_odd_status(report: PartReport) -> Outcome:
    return Outcome(
        OutcomeKind.LOST,
        detail=f'no answer: status {report.status:03d} from the relay',
        seconds=report.seconds,
    )
