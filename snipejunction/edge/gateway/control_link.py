"""What an entry host says to control hosts, and what they tell it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Final, Protocol

from snipejunction.commands import Command, LogEvent
from snipejunction.components.deployment.const import (
    CONNECT_RETRY_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    UNNEEDED_STREAM_SECONDS,
)
from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    EntryHeartbeat,
    HostsUpdate,
)
from snipejunction.components.gateway.control_selection import (
    controls_to_disconnect,
    controls_to_notify,
    controls_to_subscribe,
)
from snipejunction.components.gateway.updates import (
    ReadDocument,
    apply_deployment,
    apply_searcher_updates,
    remove_control,
    update_hosts,
)
from snipejunction.components.gateway.messages import PartsMessage
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.registration.const import GONE
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.edge import const
from snipejunction.edge.gateway.host_profile import HostProfile, find_address
from snipejunction.edge.gateway.relays import Relays
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.peers import Address, PeerTable
from snipejunction.messages import Message, PeerConnected, PeerLost


class LinkHooks(Protocol):
    """What the link needs of the host that it belongs to."""

    table: GatewayTable

    @property
    def relays(self) -> Relays:
        """Return the entry hosts that this one works with."""

    @property
    def is_ready(self) -> bool:
        """Return whether the host takes new work."""

    def log(self, event: LogEvent) -> None:
        """Write an event."""

    def document_changed(self) -> None:
        """Adopt the limits of a document that is newly in force."""

    def searcher_gone(self, searcher_id: str) -> None:
        """Drop what is kept for a searcher."""


class ControlLink:
    """Streams to all control hosts that are known, found from the seeds."""

    def __init__(
        self,
        profile: HostProfile,
        address: Address,
        keys: PeerKeys,
        read_document: ReadDocument,
        hooks: LinkHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a link; ``address`` is where callers connect."""
        self._profile = profile
        self._address = address
        self._read_document = read_document
        self._hooks = hooks
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._needless_since: dict[str, float] = {}
        self.peers: Final = PeerTable(
            profile.name,
            profile.incarnation,
            keys,
            self,
            loop,
        )

    @property
    def connected(self) -> list[str]:
        """Return the control hosts with a stream."""
        relays = self._hooks.relays
        return [one for one in self.peers.connected if not relays.knows(one)]

    def start(self) -> None:
        """Begin to announce this host."""
        self.peers.start(None)
        self._keep_announcing()

    def stop_announcing(self) -> None:
        """Say nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other control hosts to start from."""
        self._profile.seeds = seeds
        self.send_presence()

    def send_presence(self) -> None:
        """Tell the control hosts that it needs how this host is."""
        names = controls_to_notify(
            self._hooks.table,
            self.connected,
            self._profile.seeds,
        )
        feeding = self._feeding()
        for name in sorted(names):
            self.peers.send(name, self._presence(name in feeding))

    def log(self, event: LogEvent) -> None:
        """Write an event."""
        self._hooks.log(event)

    def locate(self, host: str) -> Address | None:
        """Return where a host listens for its peers: its name says so."""
        return find_address(host)

    def submit(self, message: Message) -> None:
        """Take a message of a control host."""
        try:
            self._take(message)
        except Exception as error:
            # One message that fails must not end the host.
            self.log(
                LogEvent(
                    const.EVENT_HANDLER_FAILED,
                    kind=type(message).__name__,
                    reason=repr(error),
                ),
            )

    @singledispatchmethod
    def _take(self, message: Message) -> None:
        raise TypeError(f'no use for {type(message).__name__}')

    @_take.register
    def _take_connected(self, message: PeerConnected) -> None:
        name = message.host
        self._hooks.relays.note_connected(name)
        if name in self._hooks.table.controls or name in self._profile.seeds:
            self.peers.send(name, self._presence(name in self._feeding()))

    @_take.register
    def _take_lost(self, message: PeerLost) -> None:
        is_entry = self._hooks.relays.knows(message.host)
        self._hooks.relays.note_lost(message.host)
        if not is_entry:
            remove_control(message.host, self._hooks.table)
            # Others may have to take its place.
            self.send_presence()

    @_take.register
    def _take_parts(self, message: PartsMessage) -> None:
        self._hooks.relays.take(message)

    @_take.register
    def _take_deployment(self, message: DeploymentUpdate) -> None:
        table = self._hooks.table
        index = table.index
        now = self._loop.time()
        self._execute(
            apply_deployment(message, table, self._read_document, now),
        )
        if table.index != index:
            self._hooks.document_changed()
            self.send_presence()

    @_take.register
    def _take_hosts(self, message: HostsUpdate) -> None:
        table = self._hooks.table
        before = table.hosts_by_sender.get(message.sender)
        feeding = self._feeding()
        update_hosts(message, table, self._loop.time())
        is_new = before is None or before.is_cut_off != message.is_cut_off
        if is_new or self._feeding() != feeding:
            self.send_presence()

    @_take.register
    def _take_searchers(self, message: SearcherUpdate) -> None:
        now = self._loop.time()
        was_ready = self._hooks.is_ready
        self._execute(apply_searcher_updates(message, self._hooks.table, now))
        if self._hooks.is_ready != was_ready:
            self.send_presence()
        for record in message.searchers:
            if record.state == GONE:
                self._hooks.searcher_gone(record.searcher_id)

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, LogEvent):
                self.log(command)

    def _feeding(self) -> set[str]:
        return controls_to_subscribe(
            self._hooks.table,
            self.connected,
            self._loop.time(),
        )

    def _presence(self, wants_news: bool) -> EntryHeartbeat:
        ip, port = self._address
        return EntryHeartbeat(
            self._profile.data_centre,
            self._profile.region,
            f'{ip}:{port}',
            self._hooks.is_ready,
            self._hooks.table.index,
            wants_news,
        )

    def _keep_announcing(self) -> None:
        self.send_presence()
        self._close_needless()
        self._hooks.relays.open_streams()
        is_found = bool(self.connected)
        self._timer = self._loop.call_later(
            HEARTBEAT_INTERVAL_SECONDS if is_found else CONNECT_RETRY_SECONDS,
            self._keep_announcing,
        )

    def _close_needless(self) -> None:
        now = self._loop.time()
        needless = controls_to_disconnect(
            self._hooks.table,
            self.connected,
            self._profile.seeds,
        )
        for name in self._needless_since.keys() - needless:
            self._needless_since.pop(name)
        for name in needless:
            since = self._needless_since.setdefault(name, now)
            if now >= since + UNNEEDED_STREAM_SECONDS:
                self.peers.drop(name, 'not needed')
