"""Structured log lines that never block and stay within a budget."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import deque
from typing import Final

from absl import logging as absl_logging

from snipejunction.commands import LogEvent
from snipejunction.edge.logs import text_of

# Lines of one kind of event in a second; failures and refusals get more.
_LINES_PER_SECOND: Final = 40
_FAILURE_LINES_PER_SECOND: Final = 200
# Lines that wait for a reader of the output; older ones give way.
_MAX_WAITING_LINES: Final = 4000
_FLUSH_SECONDS: Final = 0.2
_WRITE_BYTES: Final = 65536
_TIME_DIGITS: Final = 3


class EventLog:
    """Writes one JSON object a line to a descriptor.

    Lines over the budget of their kind are counted, and the count is
    written with the next line of that kind.
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
        self._waiting: deque[bytes] = deque(maxlen=_MAX_WAITING_LINES)
        self._rest = b''
        self._counts: dict[int, int] = {}
        self._left_out: dict[int, int] = {}
        self._window = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, event: LogEvent) -> None:
        """Queue a line for an event, or count it as left out."""
        kind = event.event
        if kind.level == 'debug' and not absl_logging.vlog_is_on(1):
            return
        number = kind.number
        if not self._has_room(number, kind.level):
            self._left_out[number] = self._left_out.get(number, 0) + 1
            return
        line = {
            'time': round(time.time(), _TIME_DIGITS),
            'host': self._host,
            'role': self._role,
            'event': number,
            'level': kind.level,
            'text': text_of(event),
            **event.fields,
        }
        left_out = self._left_out.pop(number, 0)
        if left_out:
            line['left_out'] = left_out
        self._waiting.append(json.dumps(line, default=str).encode())
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_SECONDS, self._flush)

    def close(self) -> None:
        """Write what the reader takes at once."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush(is_last=True)

    def _has_room(self, number: int, level: str) -> bool:
        window = int(self._loop.time())
        if window != self._window:
            self._window = window
            self._counts.clear()
        count = self._counts.get(number, 0) + 1
        self._counts[number] = count
        if level == 'info':
            return count <= _LINES_PER_SECOND
        return count <= _FAILURE_LINES_PER_SECOND

    def _flush(self, *, is_last: bool = False) -> None:
        self._timer = None
        while self._rest or self._waiting:
            if not self._rest:
                self._rest = self._next_batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                break
            except OSError:
                # Nobody can read the output any more; there is no other
                # place to say so.
                self._rest = b''
                self._waiting.clear()
                return
            self._rest = self._rest[written:]
        if not is_last and (self._rest or self._waiting):
            self._timer = self._loop.call_later(_FLUSH_SECONDS, self._flush)

    def _next_batch(self) -> bytes:
        batch: list[bytes] = []
        size = 0
        while self._waiting and size < _WRITE_BYTES:
            batch.append(self._waiting.popleft())
            size += len(batch[-1])
        return b'\n'.join([*batch, b''])
