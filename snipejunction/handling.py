"""Registries for the message handlers and periodic systems of components.

A component registers message handlers with ``handle.register`` and periodic
systems with ``on_tick`` in its ``systems`` package. Notices are passed to all
listeners that were added with ``add_listener``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import TYPE_CHECKING, Any, TypeAlias

from snipejunction.commands import Command
from snipejunction.messages import (
    LeaseLost,
    PeerConnected,
    PeerLost,
    SettingsChanged,
    Started,
    StopRequested,
    ViewChanged,
)

if TYPE_CHECKING:
    from snipejunction.node import Node

TickSystem: TypeAlias = Callable[['Node', float], Iterator[Command]]
Listener: TypeAlias = Callable[[Any, 'Node', float], Iterator[Command]]
Notice: TypeAlias = (
    LeaseLost
    | PeerConnected
    | PeerLost
    | SettingsChanged
    | Started
    | StopRequested
    | ViewChanged
)

_tick_systems: list[TickSystem] = []
_listeners: dict[type, list[Listener]] = {}


@singledispatch
def handle(message: object, node: Node, now: float) -> Iterator[Command]:
    """Run the handler of a message and yield its commands.

    ``now`` is in seconds on the host's monotonic clock.

    Raises:
        TypeError: if the type of the message has no handler.
    """
    raise TypeError(f'no handler for {type(message).__name__}')


def on_tick(system: TickSystem) -> TickSystem:
    """Register a system that runs at every tick."""
    _tick_systems.append(system)
    return system


def run_tick(node: Node, now: float) -> Iterator[Command]:
    """Run all periodic systems in the order of registration."""
    for system in _tick_systems:
        yield from system(node, now)


def add_listener(notice_type: type[Notice], listener: Listener) -> None:
    """Add a listener for a type of notice.

    Listeners run in the order of registration.
    """
    _listeners.setdefault(notice_type, []).append(listener)


@handle.register(LeaseLost)
@handle.register(PeerConnected)
@handle.register(PeerLost)
@handle.register(SettingsChanged)
@handle.register(Started)
@handle.register(StopRequested)
@handle.register(ViewChanged)
def _notify_listeners(
    notice: Notice,
    node: Node,
    now: float,
) -> Iterator[Command]:
    for listener in _listeners.get(type(notice), ()):
        yield from listener(notice, node, now)
