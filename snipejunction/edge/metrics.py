"""Buffers metrics and sends them to statsd over UDP."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, Final

from statsd import StatsClient

from snipejunction.edge.const import MAX_TIMINGS, METRICS_FLUSH_SECONDS

_MILLISECONDS: Final = 1000


class Metrics:
    """Buffers the counters and timings of one host until the next flush."""

    __slots__ = ('_client', '_counters', '_loop', '_timer', '_timings')

    def __init__(self, address: tuple[str, int] | None, prefix: str) -> None:
        """Create metrics; without an address they are discarded."""
        self._client: Any = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._counters: dict[str, int] = {}
        self._timings: list[tuple[str, float]] = []
        if address is not None:
            self._client = StatsClient(*address, prefix=prefix)

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to flush periodically on an event loop."""
        if self._client is not None:
            self._loop = loop
            self._flush_periodically()

    def count(self, name: str, increment: int) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._counters[name] = self._counters.get(name, 0) + increment

    def time(self, name: str, seconds: float) -> None:
        """Record a duration, or drop it over ``MAX_TIMINGS`` per flush."""
        if self._client is not None and len(self._timings) < MAX_TIMINGS:
            self._timings.append((name, seconds * _MILLISECONDS))

    def flush(self) -> None:
        """Send buffered metrics; drop them if the socket is full."""
        if self._client is None:
            return
        counters = self._counters
        timings = self._timings
        self._counters = {}
        self._timings = []
        with contextlib.suppress(OSError), self._client.pipeline() as batch:
            for name, increment in counters.items():
                batch.incr(name, increment)
            for name, duration in timings:
                batch.timing(name, duration)

    def close(self) -> None:
        """Flush buffered metrics and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._client is not None:
            self.flush()
            self._client.close()
            self._client = None

    def _flush_periodically(self) -> None:
        self.flush()
        if self._loop is not None:
            self._timer = self._loop.call_later(
                METRICS_FLUSH_SECONDS,
                self._flush_periodically,
            )
