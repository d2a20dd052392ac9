"""Interface and registry of the replicated state machines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final, Protocol, TypeAlias

if TYPE_CHECKING:
    from snipejunction.commands import Command
    from snipejunction.node import Node


class StateMachine(Protocol):
    """State machine of one group; applying entries is deterministic.

    ``now`` is in monotonic seconds of this host and must not influence the
    state. All methods but ``snapshot`` are generators of commands.
    """

    def apply(
        self,
        node: Node,
        index: int,
        term: int,
        payload: bytes,
        now: float,
    ) -> Iterator[Command]:
        """Apply a committed entry; indexes increase, with gaps."""

    def snapshot(self) -> bytes:
        """Return the serialised state."""

    def restore(
        self,
        node: Node,
        state: bytes,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        """Replace the state; empty bytes stand for the initial state."""

    def on_confirmed(
        self,
        node: Node,
        token: int,
        now: float,
    ) -> Iterator[Command]:
        """Handle a quorum's confirmation of the leader after ``confirm``."""

    def on_leadership(
        self,
        node: Node,
        is_leader: bool,
        now: float,
    ) -> Iterator[Command]:
        """Handle that this host became a ready leader or lost leadership."""


MachineFactory: TypeAlias = Callable[[], StateMachine]

_factories: Final[dict[str, MachineFactory]] = {}


def register_machine(group: str, factory: MachineFactory) -> None:
    """Register the factory of the state machines of a group."""
    _factories[group] = factory


def make_machine(group: str) -> StateMachine:
    """Return a new state machine for a group."""
    return _factories[group]()
