"""Opening, closing and health of the connections to searchers."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.owner.const import (
    EVENT_SEARCHER_DOWN,
    FAILURES_UNTIL_DOWN,
    MAX_REOPEN_SECONDS,
    OPEN_TIMEOUT_SECONDS,
    REOPEN_SECONDS,
    RESETS_UNTIL_COLD,
    STALE_SECONDS,
    UNANSWERED_UNTIL_COLD,
)
from snipejunction.components.owner.pool import Connection, ConnectionState
from snipejunction.components.owner.searcher import Searcher
from snipejunction.components.owner.systems.rules import may_contact
from snipejunction.components.owner.upstream_messages import (
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    OpenConnection,
)
from snipejunction.node import Node


def open_missing_connections(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    """Open connections up to the recent demand plus one spare.

    The caller must have checked ``may_contact``.
    """
    if now < searcher.health.reopen_at:
        return
    pool = searcher.pool
    missing = _target_count(searcher) - pool.count_usable()
    capacity_left = searcher.connection_limit - len(pool)
    for _ in range(min(missing, capacity_left)):
        connection_id = node.owner.new_connection_id()
        pool.add(connection_id, now)
        node.owner.connections[connection_id] = searcher
        yield OpenConnection(
            connection_id,
            searcher.announcement.searcher,
            searcher.announcement.ip,
            searcher.announcement.port,
        )


def close_connection(
    searcher: Searcher,
    connection: Connection,
) -> Iterator[Command]:
    """Close a connection; it counts towards the limit until closed."""
    if searcher.pool.mark_closing(connection):
        yield CloseConnection(connection.connection_id)


def close_unused_connections(searcher: Searcher) -> Iterator[Command]:
    """Close all connections that are idle or being opened."""
    for connection in searcher.pool.idle + searcher.pool.opening():
        yield from close_connection(searcher, connection)


def close_inactive_since(
    searcher: Searcher, cutoff: float
) -> Iterator[Command]:
    """Close the idle connections that were last active before a time."""
    for idle in searcher.pool.idle:
        if idle.last_active_at < cutoff:
            yield from close_connection(searcher, idle)


def trim_connections(searcher: Searcher, now: float) -> Iterator[Command]:
    """Close connections that are stale or do not open in time.

    The caller opens new ones for those that are marked as stale.
    """
    searcher.pool.record_demand(searcher.in_flight, now)
    for opening in searcher.pool.opening():
        if now - opening.last_active_at >= OPEN_TIMEOUT_SECONDS:
            yield from close_connection(searcher, opening)
    yield from _close_stale(searcher, now)


def mark_opened(
    message: ConnectionOpened,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Mark an opened connection as idle, or close it if not allowed."""
    searcher = node.owner.connections.get(message.connection_id)
    if searcher is None:
        return
    connection = searcher.pool.get(message.connection_id)
    if connection is None:
        return
    if connection.state is not ConnectionState.OPENING:
        return
    searcher.health.open_failures = 0
    searcher.health.is_down = False
    searcher.pool.release(connection, now)
    if not may_contact(node, searcher, now):
        yield from close_connection(searcher, connection)


def remove_closed(
    message: ConnectionClosed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Remove a closed connection and record a failure if it was lost."""
    searcher = node.owner.connections.pop(message.connection_id, None)
    if searcher is None:
        return
    connection = searcher.pool.remove(message.connection_id)
    if connection is None:
        return
    if connection.state is ConnectionState.OPENING:
        yield from record_open_failure(node, searcher, message.reason, now)
    elif connection.state is not ConnectionState.CLOSING:
        record_reset(searcher, connection, now)


def record_reset(
    searcher: Searcher,
    connection: Connection,
    now: float,
) -> None:
    """Record that the upstream dropped a connection.

    The searcher may have restarted, so the limit is restricted to the cold
    capacity until an answer confirms the boot.
    """
    health = searcher.health
    if connection.last_active_at > health.reset_at:
        # Connections that break at the same time count as one reset.
        health.consecutive_resets += 1
        health.reset_at = now
    if health.consecutive_resets >= RESETS_UNTIL_COLD:
        searcher.warmth.reset(now)
    searcher.warmth.restrict_to_cold(now)


def record_open_failure(
    node: Node,
    searcher: Searcher,
    reason: str,
    now: float,
) -> Iterator[Command]:
    """Record a failure to connect; several mark the searcher as down."""
    searcher.health.open_failures += 1
    backoff = REOPEN_SECONDS * searcher.health.open_failures
    searcher.health.reopen_at = now + min(backoff, MAX_REOPEN_SECONDS)
    searcher.warmth.restrict_to_cold(now)
    if (
        searcher.health.is_down
        or searcher.health.open_failures < FAILURES_UNTIL_DOWN
    ):
        return
    if searcher.pool.has_responsive:
        return
    searcher.health.is_down = True
    searcher.warmth.reset(now)
    yield LogEvent(
        EVENT_SEARCHER_DOWN,
        searcher=searcher.key,
        reason=reason,
    )


def record_unanswered(
    searcher: Searcher,
    started_at: float,
    now: float,
) -> Iterator[Command]:
    """Record that a request which began at ``started_at`` got no answer.

    A single one may be due to the connection. Several in a row reset the
    searcher to cold.
    """
    yield from close_inactive_since(searcher, started_at)
    searcher.latency.record(now - started_at)
    searcher.health.consecutive_unanswered += 1
    searcher.warmth.restrict_to_cold(now)
    if searcher.health.consecutive_unanswered >= UNANSWERED_UNTIL_COLD:
        searcher.warmth.reset(now)


def _close_stale(searcher: Searcher, now: float) -> Iterator[Command]:
    """Close stale connections once a fresh one is idle; mark new ones."""
    for idle in searcher.pool.idle:
        if idle.is_stale and searcher.pool.has_fresh_idle:
            yield from close_connection(searcher, idle)
        elif now - idle.last_active_at >= STALE_SECONDS:
            idle.is_stale = True


def _target_count(searcher: Searcher) -> int:
    if searcher.health.is_down:
        return 1
    return min(max(searcher.pool.peak, 1), int(searcher.warmth.limit)) + 1
