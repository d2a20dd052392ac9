"""Streams between entry hosts and the relay calls on them."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from snipejunction.components.gateway.messages import (
    PartsCancelled,
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.relaying import relays_to_connect
from snipejunction.components.quotas.messages import QuotaMessage
from snipejunction.edge.gateway.forwarding import ForwardingHooks
from snipejunction.edge.gateway.quota_link import QuotaLink
from snipejunction.edge.gateway.relay_calls import RelayCalls
from snipejunction.edge.gateway.relay_jobs import RelayJobs
from snipejunction.edge.peers import PeerTable
from snipejunction.messages import PeerMessage


class Relays:
    """Relay calls and quotas on streams to and from other entry hosts."""

    def __init__(
        self,
        peers: PeerTable,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the relays on top of the streams of this host."""
        self._peers = peers
        self._table = hooks.table
        self._requesters: set[str] = set()
        self.calls = RelayCalls(peers, loop, hooks.table.random)
        self.jobs = RelayJobs(peers, hooks, loop)
        self.quotas = QuotaLink(peers, hooks, loop)

    def is_entry_host(self, name: str) -> bool:
        """Return whether a connected peer is an entry host."""
        table = self._table
        return (
            name in table.active
            or name in table.relays.connected_names
            or name in self._requesters
        )

    def open_streams(self) -> None:
        """Connect to the relays and the home that have no stream yet."""
        self.quotas.advance()
        for name in (
            relays_to_connect(self._table) - self._table.relays.connected_names
        ):
            self._peers.connect(name)

    def handle_connected(self, name: str) -> None:
        """Mark a connected entry host as available for relay calls."""
        if name in self._table.active:
            self._table.relays.connected_names.add(name)

    def handle_lost(self, name: str) -> None:
        """Fail the calls and cancel the jobs of a lost stream."""
        self._table.relays.connected_names.discard(name)
        self._requesters.discard(name)
        self.calls.handle_lost_stream(name)
        self.jobs.handle_lost_stream(name)

    @singledispatchmethod
    def handle_message(self, message: PeerMessage) -> None:
        """Handle a message from another entry host."""
        raise TypeError(f'no handler for {type(message).__name__}')

    @handle_message.register
    def _handle_request(self, message: PartsRequest) -> None:
        self._requesters.add(message.sender)
        self.jobs.start_job(message)

    @handle_message.register
    def _handle_response(self, message: PartsResponse) -> None:
        self.calls.handle_response(message)

    @handle_message.register
    def _handle_quotas(self, message: QuotaMessage) -> None:
        self._requesters.add(message.sender)
        self.quotas.handle_message(message)

    @handle_message.register
    def _handle_cancelled(self, message: PartsCancelled) -> None:
        self.jobs.cancel_job(message)
