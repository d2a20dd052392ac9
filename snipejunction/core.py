"""Core of a host without I/O: takes messages and time, returns commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random
from typing import TypeGuard

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.const import TICK_SECONDS
from snipejunction.handling import handle, run_tick
from snipejunction.host_settings import HostSettings
from snipejunction.messages import Message, Started
from snipejunction.node import Node


class Core:
    """Runs the systems of one host over its tables.

    Times are in seconds on the host's monotonic clock.
    """

    __slots__ = ('_next_tick', '_node')

    def __init__(self, settings: HostSettings, seed: int) -> None:
        """Create a host; ``seed`` makes its random choices reproducible."""
        self._node = Node(settings, Random(seed))
        self._next_tick = 0.0

    @property
    def node(self) -> Node:
        """Return the tables of the host."""
        return self._node

    def next_due(self) -> float:
        """Return when ``advance`` must be called next."""
        return min(self._next_tick, self._node.timers.next_due)

    def start(self, now: float) -> list[Command]:
        """Start all components."""
        self._next_tick = now + TICK_SECONDS
        return self.process(Started(), now)

    def process(self, message: Message, now: float) -> list[Command]:
        """Handle a message and the messages that it causes in this host."""
        return self._handle_all(handle(message, self._node, now), now)

    def advance(self, now: float) -> list[Command]:
        """Handle the timers that are due and, if it is due, the tick."""
        outbox: list[Command] = []
        message = self._node.timers.pop_due(now)
        while message is not None:
            outbox.extend(self.process(message, now))
            message = self._node.timers.pop_due(now)
        if now >= self._next_tick:
            self._next_tick = now + TICK_SECONDS
            outbox.extend(self._handle_all(run_tick(self._node, now), now))
        return outbox

    def _handle_all(
        self, commands: Iterable[Command], now: float
    ) -> list[Command]:
        outbox: list[Command] = []
        pending: deque[Message] = deque()
        self._split_commands(commands, outbox, pending)
        while pending:
            message = pending.popleft()
            self._split_commands(
                handle(message, self._node, now), outbox, pending
            )
        return outbox

    def _split_commands(
        self,
        commands: Iterable[Command],
        outbox: list[Command],
        pending: deque[Message],
    ) -> None:
        for command in commands:
            if isinstance(command, Deliver):
                pending.append(command.message)
            elif self._is_loopback(command):
                pending.append(command.message)
            else:
                outbox.append(command)

    def _is_loopback(self, command: Command) -> TypeGuard[SendPeer]:
        if not isinstance(command, SendPeer):
            return False
        if command.host != self._node.name:
            return False
        command.message.sender = command.host
        return True
