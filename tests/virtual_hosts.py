"""Host cores on a simulated network in virtual time, without consensus."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from snipejunction.bench.schedule import Schedule
from snipejunction.commands import Command, SendPeer
from snipejunction.components.control.view import HostEntry, View
from snipejunction.core import Core
from snipejunction.helpers.wire import decode, encode
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.messages import Message, ViewChanged
from snipejunction.timers import NEVER

DELAY_SECONDS = 0.002
LEASE_SECONDS = 2.0


class VirtualHosts:
    """Hosts with leases and a shared view of the cluster.

    Commands other than messages to peers are passed to ``on_command``.
    ``isolated`` holds the names of hosts without a network, ``lease_lapsed``
    those whose leases are no longer renewed. ``duplicate_rate`` and
    ``loss_rate`` are probabilities, ``max_extra_delay`` the largest
    additional delay in seconds. The ``others`` exist in the view only.
    """

    def __init__(
        self,
        names: list[str],
        seed: int = 1,
        on_command: Callable[[str, Command], None] | None = None,
        others: tuple[str, ...] = (),
    ) -> None:
        self.schedule = Schedule()
        self.random = Random(seed)
        self.isolated: set[str] = set()
        self.lease_lapsed: set[str] = set()
        self.duplicate_rate = 0.0
        self.max_extra_delay = 0.0
        self.loss_rate = 0.0
        self.sent: list[tuple[str, str, Any]] = []
        self._on_command = on_command
        self._settings = {
            name: _make_settings(name) for name in (*names, *others)
        }
        self.cores = {
            name: Core(self._settings[name], self.random.getrandbits(32))
            for name in names
        }
        self.install_view(1, [*names, *others])
        for name in names:
            self.perform(name, self.cores[name].start(self.now))
        self._renew_leases()
        self._advance_all()

    @property
    def now(self) -> float:
        return self.schedule.now

    def run(self, seconds: float) -> None:
        self.schedule.run_until(self.now + seconds)

    def write_settings(self, revision: int, written: dict[str, Any]) -> None:
        for core in self.cores.values():
            core.node.settings.apply(revision, written)

    def install_view(
        self,
        revision: int,
        names: list[str],
        *,
        is_settled: bool = True,
        to: list[str] | None = None,
    ) -> None:
        hosts = {name: _make_entry(self._settings[name]) for name in names}
        for name in to or list(self.cores):
            core = self.cores[name]
            core.node.view.apply(View(revision, hosts))
            if is_settled:
                core.node.view.settle(revision)
            self.receive(name, ViewChanged(revision))

    def settle_view(self, revision: int, to: list[str]) -> None:
        for name in to:
            self.cores[name].node.view.settle(revision)
            self.receive(name, ViewChanged(revision))

    def receive(self, name: str, message: Message) -> None:
        self.perform(name, self.cores[name].process(message, self.now))

    def perform(self, name: str, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendPeer):
                self._send(name, command.host, command.message)
            elif self._on_command is not None:
                self._on_command(name, command)
        self._schedule_advance(name)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self.sent.append((sender, receiver, message))
        if receiver not in self.cores or self.random.random() < self.loss_rate:
            return
        frame = encode(message)
        copies = 2 if self.random.random() < self.duplicate_rate else 1
        for _ in range(copies):
            delay = DELAY_SECONDS + self.max_extra_delay * self.random.random()
            arrive = partial(self._arrive, sender, receiver, frame)
            self.schedule.after(delay, arrive)

    def _arrive(self, sender: str, receiver: str, frame: bytes) -> None:
        if self.isolated.isdisjoint((sender, receiver)):
            message = decode(frame)
            message.sender = sender
            self.receive(receiver, message)

    def _schedule_advance(self, name: str) -> None:
        due = self.cores[name].node.timers.next_due
        if due < NEVER:
            self.schedule.at(due, lambda: self._advance_if_due(name))

    def _advance_if_due(self, name: str) -> None:
        core = self.cores[name]
        if core.next_due() <= self.now:
            self.perform(name, core.advance(self.now))

    def _renew_leases(self) -> None:
        for name, core in self.cores.items():
            if name not in self.lease_lapsed | self.isolated:
                core.node.lease.extend(self.now + LEASE_SECONDS)
        self.schedule.after(0.5, self._renew_leases)

    def _advance_all(self) -> None:
        for name, core in self.cores.items():
            self.perform(name, core.advance(self.now))
        self.schedule.after(0.05, self._advance_all)


def _make_settings(name: str) -> HostSettings:
    data_centre = f'{name[:2]}-dc'
    identity = HostIdentity(
        name,
        '127.0.0.1',
        1,
        2,
        data_centre,
        name[:1],
        f'{name}#1',
    )
    return HostSettings(identity, ())


def _make_entry(settings: HostSettings) -> HostEntry:
    identity = settings.identity
    return HostEntry(
        identity.name,
        identity.ip,
        identity.peer_port,
        identity.http_port,
        identity.data_centre,
        identity.region,
        identity.incarnation,
    )
