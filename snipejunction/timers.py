"""Timers that deliver messages at a later time."""

from __future__ import annotations

import heapq
import itertools

from snipejunction.messages import Message

NEVER = float('inf')


class TimerTable:
    """Scheduled messages; times are in monotonic seconds."""

    __slots__ = ('_heap', '_numbers', '_pending')

    def __init__(self) -> None:
        """Create an empty table."""
        self._heap: list[tuple[float, int, Message]] = []
        self._pending: set[int] = set()
        self._numbers = itertools.count(1)

    @property
    def next_due(self) -> float:
        """Return when the next timer is due, ``NEVER`` without timers."""
        self._drop_cancelled()
        return self._heap[0][0] if self._heap else NEVER

    def schedule(self, due: float, message: Message) -> int:
        """Schedule ``message`` for ``due``; return a number to cancel it."""
        number = next(self._numbers)
        self._pending.add(number)
        heapq.heappush(self._heap, (due, number, message))
        return number

    def cancel(self, number: int) -> None:
        """Cancel a timer; unknown and expired numbers are ignored."""
        self._pending.discard(number)

    def pop_due(self, now: float) -> Message | None:
        """Remove and return the next message that is due, if any."""
        self._drop_cancelled()
        if not self._heap or self._heap[0][0] > now:
            return None
        _, number, message = heapq.heappop(self._heap)
        self._pending.discard(number)
        return message

    def _drop_cancelled(self) -> None:
        while self._heap and self._heap[0][1] not in self._pending:
            heapq.heappop(self._heap)
