"""Repeats steps of a start that fail because of a passing condition."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from snipejunction.commands import LogEvent
from snipejunction.edge.const import EVENT_START_DELAYED

# A process that was asked to stop may hold its ports and files for its grace
# period, and a frozen one for longer.
MAX_START_SECONDS: Final = 30.0
_RETRY_SECONDS: Final = 0.2
_Part = TypeVar('_Part')


async def async_retry_start(
    async_open: Callable[[], Awaitable[_Part]],
    log: Callable[[LogEvent], None],
    max_seconds: float = MAX_START_SECONDS,
) -> _Part:
    """Return the part that ``async_open`` opens; log its first failure.

    Raises the last error if the part cannot be opened within ``max_seconds``.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + max_seconds
    is_logged = False
    while True:
        try:
            return await async_open()
        except OSError as error:
            if loop.time() >= end:
                raise
            if not is_logged:
                log(LogEvent(EVENT_START_DELAYED, reason=str(error)))
                is_logged = True
        await asyncio.sleep(_RETRY_SECONDS)
