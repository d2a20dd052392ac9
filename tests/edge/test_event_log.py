"""Tests of the event log."""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import ExitStack

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.const import (
    EVENT_REQUEST_DONE,
    EVENT_REQUEST_FAILED,
)
from snipejunction.edge.event_log import EventLog

CHUNK = 65536


class EventLogTest(TestCase):
    """An event log that writes to a pipe."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        reading, writing = os.pipe()
        self.reading = reading
        self.writing = writing
        self.stack.callback(os.close, self.reading)
        self.stack.callback(os.close, self.writing)
        os.set_blocking(self.reading, False)
        self.loop = asyncio.new_event_loop()
        self.stack.callback(self.loop.close)
        self.log = EventLog('h', 'entry', self.loop, self.writing)

    def write(self, kind=EVENT_REQUEST_FAILED, **fields) -> None:
        self.log.write(LogEvent(kind, request='r', status=502, **fields))

    def lines(self) -> list[dict]:
        """Flush and read until no output is left."""
        content = b''.join(iter(self.read_and_flush, b''))
        return [json.loads(line) for line in content.splitlines() if line]

    def read_and_flush(self) -> bytes:
        self.log.close()
        try:
            return os.read(self.reading, CHUNK)
        except BlockingIOError:
            return b''

    def fill(self) -> None:
        """Fill the pipe, as if its reader had stopped."""
        with ExitStack() as stack:
            stack.callback(os.set_blocking, self.writing, False)
            os.set_blocking(self.writing, False)
            while True:
                try:
                    os.write(self.writing, b'\n' * CHUNK)
                except BlockingIOError:
                    return

    def test_line(self) -> None:
        """A line holds the number, host and fields of the event."""
        self.write(cause='lost')
        self.log.close()
        line = self.lines()[0]
        self.assertThat(line['event'], Equals(EVENT_REQUEST_FAILED.number))
        self.assertThat(line['host'], Equals('h'))
        self.assertThat(line['request'], Equals('r'))
        self.assertThat(line['cause'], Equals('lost'))

    def test_unread_output(self) -> None:
        """Writes to a full pipe do not block and are kept."""
        self.fill()
        for _ in range(100):
            self.write()
        self.log.close()
        self.assertThat(self.lines(), HasLength(100))

    def test_rate_limits(self) -> None:
        """Info events have a lower rate limit than failures."""
        for _ in range(5000):
            self.write(EVENT_REQUEST_DONE)
            self.write()
        self.log.close()
        numbers = [line['event'] for line in self.lines()]
        done = numbers.count(EVENT_REQUEST_DONE.number)
        failed = numbers.count(EVENT_REQUEST_FAILED.number)
        self.assertThat(done, LessThan(failed))
        # The writes may span several one-second windows.
        self.assertThat(failed, LessThan(2500))
        self.assertThat(done, GreaterThan(0))

    def test_suppressed_count(self) -> None:
        """The next line of an event holds the number of suppressed ones."""
        now = [100.0]
        self.loop.time = lambda: now[0]
        for _ in range(250):
            self.write()
        now[0] = 101.0
        self.write()
        self.log.close()
        lines = self.lines()
        self.assertThat(lines, HasLength(201))
        self.assertThat(lines[-1]['left_out'], Equals(50))

    def test_bounded_wait(self) -> None:
        """Without a reader, only the newest lines stay queued."""
        now = [0.0]
        self.loop.time = lambda: now[0]
        self.fill()
        for second in range(60):
            now[0] = float(second)
            for _ in range(200):
                self.write()
        self.assertThat(len(self.lines()), LessThan(4200))
