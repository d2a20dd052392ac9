"""Parts that this host requests and merges for another entry host."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.gateway.const import (
    EVENT_RELAY_REQUEST_STARTED,
    MERGE_INTERVAL_SECONDS,
)
from snipejunction.components.gateway.merging import merge_records
from snipejunction.components.gateway.messages import (
    PartReport,
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.stated_limits import record_limit
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.gateway.versions import is_held_back
from snipejunction.timers import NEVER

_MS_PER_SECOND: Final = 1000


class SendRelayedPart(Command):
    """Send the part at a position of a call to a searcher."""

    __slots__ = ('deadline', 'position', 'upstream')

    def __init__(
        self,
        position: int,
        upstream: Upstream,
        deadline: float,
    ) -> None:
        """Create a command; ``deadline`` is in monotonic seconds."""
        self.position = position
        self.upstream = upstream
        self.deadline = deadline


class RelayedCall:
    """One call from another entry host.

    The calling host selects the searchers and repeats parts. This host only
    holds back parts for searchers that it knows to be unavailable.
    """

    __slots__ = (
        '_bodies',
        '_has_answered',
        '_in_flight',
        '_reports',
        '_request',
        '_started',
        '_table',
        'next_due',
    )

    def __init__(
        self,
        request: PartsRequest,
        table: GatewayTable,
        now: float,
    ) -> None:
        """Create the state of a call received at ``now``."""
        self._request = request
        self._table = table
        self._started = now
        self._in_flight: dict[int, Upstream] = {}
        self._reports: list[PartReport] = []
        self._bodies: list[bytes] = []
        self._has_answered = False
        self.next_due = now + request.merge_after

    @property
    def is_done(self) -> bool:
        """Return whether all parts have been reported."""
        return not self._in_flight and not self._reports

    def start(self, now: float) -> Iterator[Command]:
        """Send the parts to the searchers."""
        deadline = now + self._request.time_left
        for position, searcher_id in enumerate(self._request.searchers):
            upstream = self._table.upstreams.get(searcher_id)
            if upstream is None or not self._is_available(upstream, position):
                self._add_report(position, _held_back(upstream), 0)
                continue
            upstream.in_flight += 1
            self._in_flight[position] = upstream
            yield SendRelayedPart(position, upstream, deadline)
        yield LogEvent(
            EVENT_RELAY_REQUEST_STARTED,
            request=self._request.request_id,
            asker=self._request.sender,
            sent=len(self._in_flight),
            held=len(self._reports),
            left_ms=round(self._request.time_left * _MS_PER_SECOND),
        )
        if not self._in_flight:
            yield from self._send_response(now)

    def handle_outcome(
        self,
        position: int,
        outcome: Outcome,
        now: float,
    ) -> Iterator[Command]:
        """Record the outcome of a part; respond once no part is in flight.

        Parts that arrive after the first response are batched for
        ``MERGE_INTERVAL_SECONDS``.
        """
        upstream = self._in_flight.pop(position)
        upstream.in_flight -= 1
        upstream.record_outcome(outcome, now)
        yield from record_limit(
            upstream, outcome, self._started, self._table, now
        )
        self._add_report(position, outcome, now - self._started)
        if not self._in_flight:
            yield from self._send_response(now)
        elif self._has_answered:
            self.next_due = min(self.next_due, now + MERGE_INTERVAL_SECONDS)

    def advance(self, now: float) -> Iterator[Command]:
        """Send the parts received so far if a response is due.

        The first response is sent even without any part, so that the calling
        host knows that the searchers are late and not this host.
        """
        if now >= self.next_due:
            yield from self._send_response(now)

    def _is_available(self, upstream: Upstream, position: int) -> bool:
        is_limited = upstream.states_limit
        if is_limited and position not in self._request.limited:
            # The calling host does not know of the limit.
            return False
        if not self._table.is_in_service(upstream):
            return False
        if is_held_back(upstream, self._table):
            return False
        limit = self._table.connection_limit(upstream.record.service)
        return upstream.in_flight < limit

    def _add_report(
        self, position: int, outcome: Outcome, seconds: float
    ) -> None:
        reply = outcome.reply
        limit = outcome.stated_limit
        if outcome.valid_reply is not None:
            self._bodies.append(outcome.valid_reply.body)
        self._reports.append(
            PartReport(
                position,
                outcome.kind.value,
                0 if reply is None else reply.status,
                '' if reply is None else reply.signature,
                seconds,
                outcome.detail,
                NEVER if limit is None else limit,
            ),
        )

    def _send_response(self, now: float) -> Iterator[Command]:
        records = merge_records(self._bodies, self._request.top)
        response = PartsResponse(self._request.call_id, self._reports, records)
        self._reports = []
        self._bodies = []
        self._has_answered = True
        self.next_due = NEVER
        yield SendPeer(self._request.sender, response)


def _held_back(upstream: Upstream | None) -> Outcome:
    detail = 'held back by the relay'
    if upstream is None or not upstream.states_limit:
        return Outcome(OutcomeKind.UNSENT, detail=detail)
    limit = upstream.stated_limit
    return Outcome(
        OutcomeKind.UNSENT,
        detail=f'{detail}: it states a limit of {limit:g} per s',
        stated_limit=limit,
    )
