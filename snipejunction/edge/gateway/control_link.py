"""Heartbeats to control hosts and handling of their updates."""

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
from snipejunction.components.gateway.const import CONTROL_SEARCH_STEP_SECONDS
from snipejunction.components.gateway.control_selection import (
    controls_to_disconnect,
    controls_to_notify,
    controls_to_subscribe,
    update_control_search,
)
from snipejunction.components.gateway.updates import (
    ReadDocument,
    apply_deployment,
    apply_searcher_updates,
    remove_control,
    update_hosts,
)
from snipejunction.components.gateway.messages import PartsMessage
from snipejunction.components.gateway.stated_limits import (
    apply_limit_update,
    pop_unreported,
)
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.quotas.messages import QuotaMessage
from snipejunction.components.registration.const import GONE
from snipejunction.components.registration.messages import (
    LimitUpdate,
    SearcherUpdate,
)
from snipejunction.edge import const
from snipejunction.edge.gateway.host_profile import HostProfile, find_address
from snipejunction.edge.gateway.relays import Relays
from snipejunction.edge.gateway.rollout_reporter import RolloutReporter
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.peers import Address, PeerTable
from snipejunction.messages import (
    Message,
    PeerConnected,
    PeerLost,
    PeerMessage,
)


class LinkHooks(Protocol):
    """Interface of the host that owns the link."""

    table: GatewayTable

    @property
    def relays(self) -> Relays:
        """Return the streams to other entry hosts."""

    @property
    def is_ready(self) -> bool:
        """Return whether the host accepts new requests."""

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""

    def on_document_changed(self) -> None:
        """Apply the limits of the new deployment document."""

    def on_searcher_gone(self, searcher_id: str) -> None:
        """Release the resources of a removed searcher."""


class ControlLink:
    """Streams to the known control hosts, discovered from the seeds."""

    def __init__(
        self,
        profile: HostProfile,
        address: Address,
        keys: PeerKeys,
        read_document: ReadDocument,
        hooks: LinkHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a link; ``address`` is the address for callers."""
        self._profile = profile
        self._address = address
        self._read_document = read_document
        self._hooks = hooks
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._unneeded_since: dict[str, float] = {}
        self.peers: Final = PeerTable(
            profile.name,
            profile.incarnation,
            keys,
            self,
            loop,
        )
        self._reporter = RolloutReporter(
            f'{profile.name}/{profile.incarnation}',
            hooks.table,
            self.notify,
            self.log,
            loop,
        )

    @property
    def connected(self) -> list[str]:
        """Return the control hosts with an open stream."""
        table = self._hooks.table
        controls = {*self._profile.seeds, *table.controls}
        controls.update(table.hosts_by_sender)
        return [name for name in self.peers.connected if name in controls]

    def start(self) -> None:
        """Start connecting and sending heartbeats."""
        self.peers.start(None)
        self._maintain_streams()

    def stop_heartbeats(self) -> None:
        """Stop the timers of heartbeats and reports."""
        self._reporter.stop()
        if self._timer is not None:
            self._timer.cancel()

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed control hosts."""
        self._profile.seeds = seeds
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send the state of this host to the control hosts that need it."""
        now = self._loop.time()
        update_control_search(self._hooks.table, self.connected, now)
        names = controls_to_notify(
            self._hooks.table,
            self.connected,
            self._profile.seeds,
            now,
        )
        subscribed = self._subscribed_controls()
        for name in sorted(names):
            self.peers.send(name, self._make_heartbeat(name in subscribed))
        now = self._loop.time()
        limits = pop_unreported(self._hooks.table, now)
        if limits:
            self.notify(LimitUpdate(limits))

    def notify(self, message: PeerMessage) -> None:
        """Send a message to the control hosts that get heartbeats."""
        names = controls_to_notify(
            self._hooks.table,
            self.connected,
            self._profile.seeds,
            self._loop.time(),
        )
        for name in sorted(names):
            self.peers.send(name, message)

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""
        self._hooks.log(event)

    def locate(self, host: str) -> Address | None:
        """Return the peer address of a host, parsed from its name."""
        return find_address(host)

    def submit(self, message: Message) -> None:
        """Handle a message from a peer and log any failure."""
        try:
            self._handle(message)
        except Exception as error:
            # A failure with one message must not stop the host.
            self.log(
                LogEvent(
                    const.EVENT_HANDLER_FAILED,
                    kind=type(message).__name__,
                    reason=repr(error),
                ),
            )

    @singledispatchmethod
    def _handle(self, message: Message) -> None:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_handle.register
    def _handle_connected(self, message: PeerConnected) -> None:
        name = message.host
        self._hooks.relays.handle_connected(name)
        if name in self._hooks.table.controls or name in self._profile.seeds:
            self.peers.send(
                name, self._make_heartbeat(name in self._subscribed_controls())
            )

    @_handle.register
    def _handle_lost(self, message: PeerLost) -> None:
        is_entry = self._hooks.relays.is_entry_host(message.host)
        self._hooks.relays.handle_lost(message.host)
        if not is_entry:
            remove_control(message.host, self._hooks.table, self._loop.time())
            # Another control host may have to replace it.
            self.send_heartbeats()

    @_handle.register(PartsMessage)
    @_handle.register(QuotaMessage)
    def _handle_entry_message(self, message: PeerMessage) -> None:
        self._hooks.relays.handle_message(message)

    @_handle.register
    def _handle_deployment(self, message: DeploymentUpdate) -> None:
        table = self._hooks.table
        index = table.index
        now = self._loop.time()
        self._execute(
            apply_deployment(message, table, self._read_document, now),
        )
        if table.index != index:
            self._hooks.on_document_changed()
            self.send_heartbeats()
            self._reporter.report()

    @_handle.register
    def _handle_hosts(self, message: HostsUpdate) -> None:
        table = self._hooks.table
        previous = table.hosts_by_sender.get(message.sender)
        subscribed = self._subscribed_controls()
        update_hosts(message, table, self._loop.time())
        is_changed = (
            previous is None or previous.is_cut_off != message.is_cut_off
        )
        if is_changed or self._subscribed_controls() != subscribed:
            self.send_heartbeats()

    @_handle.register
    def _handle_searchers(self, message: SearcherUpdate) -> None:
        now = self._loop.time()
        was_ready = self._hooks.is_ready
        self._execute(apply_searcher_updates(message, self._hooks.table, now))
        if self._hooks.is_ready != was_ready:
            self.send_heartbeats()
        for record in message.searchers:
            if record.state == GONE:
                self._hooks.on_searcher_gone(record.searcher_id)

    @_handle.register
    def _handle_limits(self, message: LimitUpdate) -> None:
        now = self._loop.time()
        self._execute(apply_limit_update(message, self._hooks.table, now))

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, LogEvent):
                self.log(command)

    def _subscribed_controls(self) -> set[str]:
        return controls_to_subscribe(
            self._hooks.table,
            self.connected,
            self._loop.time(),
        )

    def _make_heartbeat(self, is_subscribed: bool) -> EntryHeartbeat:
        ip, port = self._address
        return EntryHeartbeat(
            self._profile.data_centre,
            self._profile.region,
            f'{ip}:{port}',
            self._hooks.is_ready,
            self._hooks.table.index,
            is_subscribed,
        )

    def _maintain_streams(self) -> None:
        self.send_heartbeats()
        self._close_unneeded_streams()
        self._hooks.relays.open_streams()
        self._timer = self._loop.call_later(
            self._maintenance_interval(), self._maintain_streams
        )

    def _maintenance_interval(self) -> float:
        if not self.connected:
            return CONNECT_RETRY_SECONDS
        if self._hooks.table.control_search.since is not None:
            return CONTROL_SEARCH_STEP_SECONDS
        return HEARTBEAT_INTERVAL_SECONDS

    def _close_unneeded_streams(self) -> None:
        now = self._loop.time()
        unneeded = controls_to_disconnect(
            self._hooks.table,
            self.connected,
            self._profile.seeds,
            now,
        )
        for name in self._unneeded_since.keys() - unneeded:
            self._unneeded_since.pop(name)
        for name in unneeded:
            since = self._unneeded_since.setdefault(name, now)
            if now >= since + UNNEEDED_STREAM_SECONDS:
                self.peers.drop(name, 'not needed')
