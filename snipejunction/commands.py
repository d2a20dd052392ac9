"""Commands that systems return and the edge executes."""

from __future__ import annotations

from typing import Any

from snipejunction.helpers.records import Record
from snipejunction.messages import Message, PeerMessage


class Command(Record):
    """An action with an effect outside the systems."""

    __slots__ = ()


class SendPeer(Command):
    """Send a message to a host.

    The message may be lost, delayed, duplicated or reordered. A message to
    the host itself is handled immediately.
    """

    __slots__ = ('host', 'message')

    def __init__(self, host: str, message: PeerMessage) -> None:
        """Create a command to send ``message`` to ``host``."""
        self.host = host
        self.message = message


class Deliver(Command):
    """Handle a message in the same host, after the current one."""

    __slots__ = ('message',)

    def __init__(self, message: Message) -> None:
        """Create a command to handle ``message``."""
        self.message = message


class LogEvent(Command):
    """Write an event of the catalogue to the log."""

    __slots__ = ('event', 'fields')

    def __init__(self, event: EventKind, **fields: Any) -> None:
        """Create a command to log ``event`` with its fields."""
        self.event = event
        self.fields = fields


class IncrementCounter(Command):
    """Add to a counter."""

    __slots__ = ('amount', 'name')

    def __init__(self, name: str, amount: int = 1) -> None:
        """Create a command to add ``amount`` to ``name``."""
        self.name = name
        self.amount = amount


class RecordDuration(Command):
    """Record a duration in seconds."""

    __slots__ = ('name', 'seconds')

    def __init__(self, name: str, seconds: float) -> None:
        """Create a command to record ``seconds`` under ``name``."""
        self.name = name
        self.seconds = seconds


class EndSpan(Command):
    """Record a finished span of a trace; times are monotonic seconds."""

    __slots__ = ('ended', 'fields', 'name', 'started', 'traceparent')

    def __init__(
        self,
        name: str,
        traceparent: str,
        started: float,
        ended: float,
        **fields: Any,
    ) -> None:
        """Create a span whose parent is given by ``traceparent``."""
        self.name = name
        self.traceparent = traceparent
        self.started = started
        self.ended = ended
        self.fields = fields


class StopProcess(Command):
    """End the process after a completed planned stop."""

    __slots__ = ()


class EventKind(Record):
    """A kind of log event.

    ``number`` is unique and stable; ``text`` is a template for the fields.
    """

    __slots__ = ('level', 'number', 'text')

    def __init__(self, number: int, level: str, text: str) -> None:
        """Create a kind and add it to the catalogue.

        Raises:
            ValueError: if the number is in use.
        """
        self.number = number
        self.level = level
        self.text = text
        if number in _catalogue:
            raise ValueError(f'event number {number} is already in use')
        _catalogue[number] = self


def event_catalogue() -> dict[int, EventKind]:
    """Return a copy of the catalogue: all kinds of events by number."""
    return dict(_catalogue)


_catalogue: dict[int, EventKind] = {}
