"""The connections of one searcher."""

from __future__ import annotations

from enum import Enum
from typing import Final

from snipejunction.components.owner.const import PEAK_PERIOD_SECONDS


class ConnectionState(Enum):
    """The state of a connection."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'
    CLOSING = 'closing'


_OPEN_STATES: Final = frozenset((ConnectionState.IDLE, ConnectionState.BUSY))


class Connection:
    """A connection to a searcher.

    ``last_active_at`` is when it was last opened or answered on, in monotonic
    seconds. A stale connection was idle for so long that it may be broken
    without notice, and is replaced by a new one. A suspect connection has
    not answered a request in the expected time.
    """

    __slots__ = (
        'connection_id',
        'is_stale',
        'is_suspect',
        'last_active_at',
        'state',
    )

    def __init__(self, connection_id: int, now: float) -> None:
        """Create a connection that is being opened."""
        self.connection_id = connection_id
        self.state = ConnectionState.OPENING
        self.last_active_at = now
        self.is_suspect = False
        self.is_stale = False


class ConnectionPool:
    """Connections by id, including those being opened or closed."""

    __slots__ = (
        '_connections',
        '_idle',
        '_peak',
        '_period_started_at',
        '_previous_peak',
    )

    def __init__(self) -> None:
        """Create an empty pool."""
        self._connections: dict[int, Connection] = {}
        # The most recently active connection is last and is used first.
        self._idle: list[Connection] = []
        self._peak = 0
        self._previous_peak = 0
        self._period_started_at = 0.0

    def __len__(self) -> int:
        """Return the number of connections in any state."""
        return len(self._connections)

    @property
    def peak(self) -> int:
        """Return the peak demand of this period and the one before."""
        return max(self._peak, self._previous_peak)

    @property
    def idle(self) -> list[Connection]:
        """Return the idle connections, the least recently active first."""
        return list(self._idle)

    @property
    def has_idle(self) -> bool:
        """Return whether any connection is idle."""
        return bool(self._idle)

    @property
    def has_responsive(self) -> bool:
        """Return whether any connection is open and not suspect."""
        return any(
            connection.state in _OPEN_STATES and not connection.is_suspect
            for connection in self._connections.values()
        )

    @property
    def has_fresh_idle(self) -> bool:
        """Return whether any idle connection is not stale."""
        return any(not connection.is_stale for connection in self._idle)

    def get(self, connection_id: int) -> Connection | None:
        """Return a connection, None if it is not in the pool."""
        return self._connections.get(connection_id)

    def count_usable(self) -> int:
        """Return the number that are not closing, suspect or stale."""
        count = 0
        # A loop without calls: this runs for every sub-request.
        for connection in self._connections.values():
            if connection.is_suspect or connection.is_stale:
                continue
            if connection.state is not ConnectionState.CLOSING:
                count += 1
        return count

    def opening(self) -> list[Connection]:
        """Return the connections that are being opened."""
        return [
            connection
            for connection in self._connections.values()
            if connection.state is ConnectionState.OPENING
        ]

    def add(self, connection_id: int, now: float) -> Connection:
        """Add a connection that is being opened."""
        connection = Connection(connection_id, now)
        self._connections[connection_id] = connection
        return connection

    def acquire(self) -> Connection | None:
        """Take the most recently active idle connection, None if none."""
        if not self._idle:
            return None
        connection = self._idle.pop()
        connection.state = ConnectionState.BUSY
        return connection

    def release(self, connection: Connection, now: float) -> None:
        """Mark a connection that has just opened or answered as idle."""
        connection.state = ConnectionState.IDLE
        connection.last_active_at = now
        connection.is_suspect = False
        connection.is_stale = False
        self._idle.append(connection)

    def mark_closing(self, connection: Connection) -> bool:
        """Mark a connection as closing; return False if it already is."""
        if connection.state is ConnectionState.CLOSING:
            return False
        if connection.state is ConnectionState.IDLE:
            self._idle.remove(connection)
        connection.state = ConnectionState.CLOSING
        return True

    def remove(self, connection_id: int) -> Connection | None:
        """Remove a connection that is closed."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None and connection in self._idle:
            self._idle.remove(connection)
        return connection

    def record_demand(self, demand: int, now: float) -> None:
        """Record how many connections are needed at the same time."""
        if now - self._period_started_at >= PEAK_PERIOD_SECONDS:
            self._previous_peak = self._peak
            self._peak = 0
            self._period_started_at = now
        self._peak = max(self._peak, demand)
