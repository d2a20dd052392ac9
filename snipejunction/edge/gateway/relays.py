"""Streams between entry hosts, and what is asked on them."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from snipejunction.components.gateway.messages import (
    PartsCancelled,
    PartsMessage,
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.relaying import relays_to_connect
from snipejunction.edge.gateway.forwarding import ForwardingHooks
from snipejunction.edge.gateway.relay_calls import RelayCalls
from snipejunction.edge.gateway.relay_jobs import RelayJobs
from snipejunction.edge.peers import PeerTable


class Relays:
    """The entry hosts that get parts for this one, and the other way."""

    def __init__(
        self,
        peers: PeerTable,
        hooks: ForwardingHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the relays over the streams of this host."""
        self._peers = peers
        self._table = hooks.table
        self._askers: set[str] = set()
        self.calls = RelayCalls(peers, loop)
        self.jobs = RelayJobs(peers, hooks, loop)

    def knows(self, name: str) -> bool:
        """Return whether a host with a stream is an entry host."""
        table = self._table
        return (
            name in table.active
            or name in table.relays.connected_names
            or name in self._askers
        )

    def open_streams(self) -> None:
        """Open the streams that are lacking."""
        for name in (
            relays_to_connect(self._table) - self._table.relays.connected_names
        ):
            self._peers.connect(name)

    def note_connected(self, name: str) -> None:
        """Use a stream to an entry host."""
        if name in self._table.active:
            self._table.relays.connected_names.add(name)

    def note_lost(self, name: str) -> None:
        """End what was open on a stream."""
        self._table.relays.connected_names.discard(name)
        self._askers.discard(name)
        self.calls.lose(name)
        self.jobs.lose(name)

    @singledispatchmethod
    def take(self, message: PartsMessage) -> None:
        """Take a message of another entry host."""
        raise TypeError(f'no use for {type(message).__name__}')

    @take.register
    def _take_asked(self, message: PartsRequest) -> None:
        self._askers.add(message.sender)
        self.jobs.take(message)

    @take.register
    def _take_answered(self, message: PartsResponse) -> None:
        self.calls.take(message)

    @take.register
    def _take_abandoned(self, message: PartsCancelled) -> None:
        self.jobs.abandon(message)
