"""State machine of the journal group and the leader's open requests."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.consensus.machine import register_machine
from snipejunction.components.journal.const import MAX_EARLY_REQUESTS
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalBeginRequest,
    JournalBeginResponse,
    JournalFinishRequest,
    JournalFinishResponse,
    JournalRedirect,
)
from snipejunction.components.journal.state import JournalState
from snipejunction.const import GROUP_JOURNAL
from snipejunction.helpers.wire import decode
from snipejunction.node import Node


class JournalMachine:
    """State of the journal and, on the leader, the open requests.

    ``pending_begins`` and ``pending_finishes`` are requests by token whose
    entries are not applied yet; ``pending_lookups`` wait for a leadership
    confirmation.
    """

    __slots__ = (
        '_early_requests',
        '_early_term',
        '_last_lookup_token',
        'pending_begins',
        'pending_finishes',
        'pending_lookups',
        'state',
    )

    def __init__(self) -> None:
        """Create a machine in the initial state."""
        self.state = JournalState()
        self.pending_begins: dict[str, JournalBeginRequest] = {}
        self.pending_finishes: dict[str, JournalFinishRequest] = {}
        self.pending_lookups: dict[int, JournalBeginRequest] = {}
        self._early_requests: dict[
            tuple[str, bool], JournalBeginRequest | JournalFinishRequest
        ] = {}
        self._early_term = 0
        self._last_lookup_token = 0

    def add_pending_lookup(self, message: JournalBeginRequest) -> int:
        """Add a lookup and return its confirmation token."""
        self._last_lookup_token += 1
        self.pending_lookups[self._last_lookup_token] = message
        return self._last_lookup_token

    def hold_until_ready(
        self, message: JournalBeginRequest | JournalFinishRequest, term: int
    ) -> bool:
        """Keep a request to the leader elected in ``term`` until it is ready.

        Return False if too many are kept.
        """
        if term != self._early_term:
            self._early_requests.clear()
            self._early_term = term
        if len(self._early_requests) >= MAX_EARLY_REQUESTS:
            return False
        is_finish = isinstance(message, JournalFinishRequest)
        self._early_requests[message.token, is_finish] = message
        return True

    def apply(
        self,
        node: Node,
        index: int,
        term: int,
        payload: bytes,
        now: float,
    ) -> Iterator[Command]:
        """Apply an entry and respond to the request that proposed it."""
        entry = decode(payload)
        if isinstance(entry, BeginEntry):
            status = self.state.begin(entry)
            begin = self.pending_begins.pop(entry.token, None)
            if begin is not None:
                yield self.make_response(begin, status)
        elif isinstance(entry, FinishEntry):
            self.state.finish(entry)
            finish = self.pending_finishes.pop(entry.token, None)
            if finish is not None:
                response = JournalFinishResponse(finish.run_id, finish.token)
                yield SendPeer(finish.sender, response)

    def snapshot(self) -> bytes:
        """Return the serialised state."""
        return self.state.pack()

    def restore(
        self,
        node: Node,
        state: bytes,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        """Replace the state."""
        self.state = JournalState.unpack(state)
        return iter(())

    def on_confirmed(
        self,
        node: Node,
        token: int,
        now: float,
    ) -> Iterator[Command]:
        """Respond to a lookup; the state is now known to be up to date."""
        request = self.pending_lookups.pop(token, None)
        if request is None:
            return
        yield self.make_response(request, self.request_status(request))

    def on_leadership(
        self,
        node: Node,
        is_leader: bool,
        now: float,
    ) -> Iterator[Command]:
        """Drop all open requests and handle those that came early.

        The roots of dropped requests ask the next leader.
        """
        dropped_requests: list[JournalBeginRequest | JournalFinishRequest] = [
            *self.pending_begins.values(),
            *self.pending_finishes.values(),
            *self.pending_lookups.values(),
        ]
        for request in dropped_requests:
            redirect = JournalRedirect(request.run_id, request.token, '')
            yield SendPeer(request.sender, redirect)
        self.pending_begins.clear()
        self.pending_finishes.clear()
        self.pending_lookups.clear()
        early_requests = list(self._early_requests.values())
        self._early_requests.clear()
        term = node.consensus.replicas[GROUP_JOURNAL].term
        if is_leader and term == self._early_term:
            for early_request in early_requests:
                yield Deliver(early_request)

    def request_status(self, request: JournalBeginRequest) -> str:
        """Return the status of a request as a ``STATUS_`` constant."""
        return self.state.status(request.key, request.digest, request.token)

    def make_response(
        self, request: JournalBeginRequest, status: str
    ) -> SendPeer:
        """Return the response to a root's request."""
        record = self.state.records.get(request.key)
        response = JournalBeginResponse(
            request.run_id, request.key, request.token, status
        )
        if record is not None and record.digest == request.digest:
            response.holder = record.token
            response.refusal = record.refusal
            response.payload = record.payload
        return SendPeer(request.sender, response)


register_machine(GROUP_JOURNAL, JournalMachine)
