"""Base classes of messages, and notices for several components."""

from __future__ import annotations

from snipejunction.helpers.records import Record


class Message(Record):
    """Input of a system: an event to handle."""

    __slots__ = ()


class PeerMessage(Message):
    """A message from a host; the transport sets ``sender`` to its name."""

    __slots__ = ('sender',)

    sender: str


class Started(Message):
    """The process started; components schedule their first timers."""

    __slots__ = ()


class StopRequested(Message):
    """The platform requested a planned stop (SIGTERM)."""

    __slots__ = ()


class PeerConnected(Message):
    """A stream to or from a host was opened and authenticated."""

    __slots__ = ('host',)

    def __init__(self, host: str) -> None:
        """Create a notice for ``host``."""
        self.host = host


class PeerLost(Message):
    """The last stream to a host closed, or its heartbeats stopped."""

    __slots__ = ('host',)

    def __init__(self, host: str) -> None:
        """Create a notice for ``host``."""
        self.host = host


class ViewChanged(Message):
    """The host applied a newer view or learned that one is settled."""

    __slots__ = ('revision',)

    def __init__(self, revision: int) -> None:
        """Create a notice of the view at ``revision``."""
        self.revision = revision


class SettingsChanged(Message):
    """The host applied a settings change; ``paths`` are those written."""

    __slots__ = ('paths', 'revision')

    def __init__(self, revision: int, paths: list[str]) -> None:
        """Create a notice of the change at ``revision``."""
        self.revision = revision
        self.paths = paths


class LeaseLost(Message):
    """The lease of this host expired; it accepts no new work."""

    __slots__ = ()
