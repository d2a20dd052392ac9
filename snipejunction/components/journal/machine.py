"""State machine of the journal group and the leader's open requests."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.machine import register_machine
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalBeginRequest,
    JournalBeginResponse,
    JournalFinishRequest,
    JournalFinishResponse,
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
        self._last_lookup_token = 0

    def add_pending_lookup(self, message: JournalBeginRequest) -> int:
        """Add a lookup and return its confirmation token."""
        self._last_lookup_token += 1
        self.pending_lookups[self._last_lookup_token] = message
        return self._last_lookup_token

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
        """Drop all open requests; roots resend them to the next leader."""
        self.pending_begins.clear()
        self.pending_finishes.clear()
        self.pending_lookups.clear()
        return iter(())

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
