"""Messages that the owner component sends to itself."""

from __future__ import annotations

from snipejunction.messages import Message


class QueueDue(Message):
    """The queue deadline of a request for a searcher has passed."""

    __slots__ = ('key',)

    def __init__(self, key: str) -> None:
        """Create a notice for the searcher with ``key``."""
        self.key = key


class ResultsDue(Message):
    """The queued results for a root are to be sent."""

    __slots__ = ('root',)

    def __init__(self, root: str) -> None:
        """Create a notice for the host ``root``."""
        self.root = root


class SuspectDue(Message):
    """A request over a long idle connection has not ended in time."""

    __slots__ = ('dispatch_id',)

    def __init__(self, dispatch_id: int) -> None:
        """Create a notice for the dispatch ``dispatch_id``."""
        self.dispatch_id = dispatch_id
