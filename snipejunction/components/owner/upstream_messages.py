"""Commands for connections to searchers, and their outcomes."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.messages import Message


class OpenConnection(Command):
    """Open a connection; ``ConnectionOpened`` or ``-Closed`` follows."""

    __slots__ = ('connection_id', 'ip', 'port', 'searcher')

    def __init__(
        self,
        connection_id: int,
        searcher: str,
        ip: str,
        port: int,
    ) -> None:
        """Create a command; ids are unique within the process."""
        self.connection_id = connection_id
        self.searcher = searcher
        self.ip = ip
        self.port = port


class CloseConnection(Command):
    """Close a connection; ``ConnectionClosed`` follows once it is closed."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int) -> None:
        """Create a command."""
        self.connection_id = connection_id


class DispatchRequest(Command):
    """Send one request over an idle connection.

    ``snapshot`` is None and ``request_id`` is set for a request that is not
    idempotent. ``timeout`` is the upstream's deadline in seconds from now.
    """

    __slots__ = (
        'body',
        'caller',
        'connection_id',
        'dispatch_id',
        'request_id',
        'service',
        'shards',
        'snapshot',
        'timeout',
        'traceparent',
    )

    def __init__(
        self,
        dispatch_id: int,
        connection_id: int,
        service: str,
        caller: str,
        snapshot: SnapshotId | None,
        shards: list[int],
        request_id: str,
        timeout: float,
        body: bytes,
        traceparent: str,
    ) -> None:
        """Create a command; ids are unique within the process."""
        self.dispatch_id = dispatch_id
        self.connection_id = connection_id
        self.service = service
        self.caller = caller
        self.snapshot = snapshot
        self.shards = shards
        self.request_id = request_id
        self.timeout = timeout
        self.body = body
        self.traceparent = traceparent


class CancelDispatch(Command):
    """Cancel a request that the upstream may be running.

    The slot stays taken until ``DispatchEnded`` arrives.
    """

    __slots__ = ('dispatch_id',)

    def __init__(self, dispatch_id: int) -> None:
        """Create a command."""
        self.dispatch_id = dispatch_id


class ConnectionOpened(Message):
    """A connection is open and idle."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int) -> None:
        """Create a notice."""
        self.connection_id = connection_id


class ConnectionClosed(Message):
    """A connection was closed, was lost or could not be opened."""

    __slots__ = ('connection_id', 'reason')

    def __init__(self, connection_id: int, reason: str) -> None:
        """Create a notice; ``reason`` is for the log."""
        self.connection_id = connection_id
        self.reason = reason


class DispatchEnded(Message):
    """A dispatched request ended.

    ``outcome`` is one of the ``ENDED_`` constants. ``boot_id`` is the one in
    the answer, empty if there was no answer. ``retry_after`` is in seconds.
    ``stated_limit`` is the request rate that the answer stated, infinite if
    it stated none and None if there was no answer.
    """

    __slots__ = (
        'boot_id',
        'dispatch_id',
        'is_truncated',
        'outcome',
        'payload',
        'retry_after',
        'shards',
        'snapshot',
        'stated_limit',
    )

    def __init__(
        self,
        dispatch_id: int,
        outcome: str,
        payload: bytes = b'',
        snapshot: SnapshotId | None = None,
        shards: tuple[int, ...] = (),
        boot_id: str = '',
        retry_after: float = 0,
        is_truncated: bool = False,
        stated_limit: float | None = None,
    ) -> None:
        """Create a notice."""
        self.dispatch_id = dispatch_id
        self.outcome = outcome
        self.payload = payload
        self.snapshot = snapshot
        self.shards = shards
        self.boot_id = boot_id
        self.retry_after = retry_after
        self.is_truncated = is_truncated
        self.stated_limit = stated_limit
