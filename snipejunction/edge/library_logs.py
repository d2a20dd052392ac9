"""Writes the log records of libraries as numbered events."""

from __future__ import annotations

import asyncio
import logging

from snipejunction.commands import LogEvent
from snipejunction.edge.const import EVENT_LIBRARY_RECORD
from snipejunction.edge.event_log import EventLog


class LibraryLogHandler(logging.Handler):
    """Passes records to an event log, which never blocks.

    Without a handler, warnings go to standard error. A write there blocks
    the event loop while nobody reads the other end.
    """

    def __init__(
        self,
        event_log: EventLog,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a handler of warnings and errors."""
        super().__init__(logging.WARNING)
        self._event_log = event_log
        self._loop = loop

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of any thread."""
        error = record.exc_info[1] if record.exc_info else None
        message = record.getMessage()
        event = LogEvent(
            EVENT_LIBRARY_RECORD,
            logger=record.name,
            message=message if error is None else f'{message}: {error!r}',
        )
        self._loop.call_soon_threadsafe(self._event_log.write, event)
