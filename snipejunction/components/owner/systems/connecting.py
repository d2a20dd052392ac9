"""Opening and closing of the connections to searchers."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.owner.const import (
    EVENT_SEARCHER_DOWN,
    FAILURES_UNTIL_DOWN,
    MAX_REOPEN_SECONDS,
    OPEN_TIMEOUT_SECONDS,
    REFRESH_SECONDS,
    REOPEN_SECONDS,
    RESETS_UNTIL_COLD,
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
    """Open connections up to the recent demand and one to spare.

    The caller has checked that this host may reach the upstream.
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
    """Close a connection; it counts until it is closed."""
    if searcher.pool.mark_closing(connection):
        yield CloseConnection(connection.connection_id)


def close_unused_connections(searcher: Searcher) -> Iterator[Command]:
    """Close every connection that runs no request."""
    for connection in searcher.pool.idle + searcher.pool.opening():
        yield from close_connection(searcher, connection)


def close_inactive_since(searcher: Searcher, since: float) -> Iterator[Command]:
    """Close the idle connections that have not worked since a time."""
    for idle in searcher.pool.idle:
        if idle.last_active_at < since:
            yield from close_connection(searcher, idle)


def trim_connections(searcher: Searcher, now: float) -> Iterator[Command]:
    """Close connections that are stuck in opening or stale.

    The caller opens fresh ones for those that are marked as stale.
    """
    searcher.pool.record_demand(searcher.in_flight, now)
    for opening in searcher.pool.opening():
        if now - opening.last_active_at >= OPEN_TIMEOUT_SECONDS:
            yield from close_connection(searcher, opening)
    yield from _replace_stale(searcher, now)


def handle_opened(
    message: ConnectionOpened,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Make an opened connection idle, or close it if it is not wanted."""
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


def handle_closed(
    message: ConnectionClosed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Forget a closed connection and draw conclusions if it was lost."""
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
    """Note that the upstream end dropped a connection.

    The process behind it may have started again: until an answer shows the
    same boot, the cold capacity is all that it gets.
    """
    health = searcher.health
    if connection.last_active_at > health.reset_at:
        # Connections that break together count as one reset.
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
    """Note a failed opening; after some the searcher counts as down."""
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
    """Note that a request of ``started`` ended without a word.

    Only when several in a row are silent is the searcher itself to blame.
    """
    yield from close_inactive_since(searcher, started_at)
    searcher.latency.record(now - started_at)
    searcher.health.consecutive_unanswered += 1
    searcher.warmth.restrict_to_cold(now)
    if searcher.health.consecutive_unanswered >= UNANSWERED_UNTIL_COLD:
        searcher.warmth.reset(now)


def _replace_stale(searcher: Searcher, now: float) -> Iterator[Command]:
    for idle in searcher.pool.idle:
        if idle.is_stale and searcher.pool.has_fresh_idle:
            yield from close_connection(searcher, idle)
        elif now - idle.last_active_at >= REFRESH_SECONDS:
            idle.is_stale = True


def _target_count(searcher: Searcher) -> int:
    if searcher.health.is_down:
        return 1
    return min(max(searcher.pool.peak, 1), int(searcher.warmth.limit)) + 1
