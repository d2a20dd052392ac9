"""Counts of connections that a server refused or closed, by reason."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from snipejunction.edge.resets import is_reset

REASON_CONNECTIONS: Final = 'connections'
REASON_MALFORMED: Final = 'malformed'
REASON_MEMORY: Final = 'memory'
REASON_RESET: Final = 'reset'
REASON_SIZE: Final = 'size'
REASON_TIME: Final = 'time'
REASON_UNREAD: Final = 'unread'
_REASONS: Final = MappingProxyType(
    {
        HTTPStatus.REQUEST_TIMEOUT: REASON_TIME,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: REASON_SIZE,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: REASON_SIZE,
        HTTPStatus.TOO_MANY_REQUESTS: REASON_SIZE,
    },
)


def reason_of(status: HTTPStatus) -> str:
    """Return the reason of a refusal with a status."""
    return _REASONS.get(status, REASON_MALFORMED)


class RefusalCounts:
    """Counts by reason, in total and since they were last taken."""

    __slots__ = ('_taken', 'totals')

    def __init__(self) -> None:
        """Create counts of 0."""
        self.totals: Counter[str] = Counter()
        self._taken: Counter[str] = Counter()

    def add(self, reason: str) -> None:
        """Count a connection."""
        self.totals[reason] += 1

    def take(self) -> dict[str, int]:
        """Return the counts since the last call, without zeros."""
        counts = dict(self.totals - self._taken)
        self._taken = self.totals.copy()
        return counts


def abort_if_reset(
    transport: asyncio.Transport, refusals: RefusalCounts
) -> bool:
    """Abort and count an open connection that its caller has reset."""
    if not is_reset(transport):
        return False
    refusals.add(REASON_RESET)
    transport.abort()
    return True


def format_refusals(counts: Mapping[str, Mapping[str, int]]) -> bytes:
    """Return counts by listener and reason in the Prometheus text format."""
    # Most processes are never asked for their metrics.
    from snipejunction.edge.gateway import exposition  # noqa: WPS433

    return exposition.format_closed_connections(counts)
