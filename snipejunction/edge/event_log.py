"""Non-blocking, rate-limited JSON log."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import deque
from typing import Final

from absl import logging as absl_logging

from snipejunction.commands import LogEvent
from snipejunction.edge.logs import format_event

# Rate limits per event number; warnings and errors have a higher one.
_LINES_PER_SECOND: Final = 40
_FAILURE_LINES_PER_SECOND: Final = 200
# Lines queued for the output; the oldest ones are dropped.
_MAX_QUEUED_LINES: Final = 4000
_FLUSH_SECONDS: Final = 0.2
_WRITE_BYTES: Final = 65536
_TIME_DIGITS: Final = 3


class EventLog:
    """Writes events to a file descriptor, one JSON object per line.

    Events over the rate limit are suppressed and counted; the next line of
    the same event holds the count.
    """

    def __init__(
        self,
        host: str,
        role: str,
        loop: asyncio.AbstractEventLoop,
        descriptor: int = 1,
    ) -> None:
        """Create a log; the descriptor is made non-blocking."""
        self._host = host
        self._role = role
        self._loop = loop
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque(maxlen=_MAX_QUEUED_LINES)
        self._unwritten = b''
        self._line_counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}
        self._window = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, event: LogEvent) -> None:
        """Queue a line for an event, or suppress it over the rate limit."""
        event_kind = event.event
        if event_kind.level == 'debug' and not absl_logging.vlog_is_on(1):
            return
        event_number = event_kind.number
        if not self._is_within_rate_limit(event_number, event_kind.level):
            self._suppressed[event_number] = (
                self._suppressed.get(event_number, 0) + 1
            )
            return
        line = {
            'time': round(time.time(), _TIME_DIGITS),
            'host': self._host,
            'role': self._role,
            'event': event_number,
            'level': event_kind.level,
            'text': format_event(event),
            **event.fields,
        }
        suppressed = self._suppressed.pop(event_number, 0)
        if suppressed:
            line['left_out'] = suppressed
        self._queue.append(json.dumps(line, default=str).encode())
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_SECONDS, self._flush)

    def close(self) -> None:
        """Write as many queued lines as the output accepts without blocking."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush(is_closing=True)

    def _is_within_rate_limit(self, event_number: int, level: str) -> bool:
        window = int(self._loop.time())
        if window != self._window:
            self._window = window
            self._line_counts.clear()
        count = self._line_counts.get(event_number, 0) + 1
        self._line_counts[event_number] = count
        if level == 'info':
            return count <= _LINES_PER_SECOND
        return count <= _FAILURE_LINES_PER_SECOND

    def _flush(self, *, is_closing: bool = False) -> None:
        self._timer = None
        while self._unwritten or self._queue:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                break
            except OSError:
                # The output is closed, and there is no other output to report
                # the error on.
                self._unwritten = b''
                self._queue.clear()
                return
            self._unwritten = self._unwritten[written:]
        if not is_closing and (self._unwritten or self._queue):
            self._timer = self._loop.call_later(_FLUSH_SECONDS, self._flush)

    def _next_batch(self) -> bytes:
        batch: list[bytes] = []
        size = 0
        while self._queue and size < _WRITE_BYTES:
            batch.append(self._queue.popleft())
            size += len(batch[-1])
        return b'\n'.join([*batch, b''])
