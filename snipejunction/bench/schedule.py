"""Event schedule on virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

Action: TypeAlias = Callable[[], None]


class Schedule:
    """Runs actions in the order of their times, in virtual seconds.

    Actions with the same time run in the order in which they were
    scheduled, so that a run depends on its seed only.
    """

    __slots__ = ('_heap', '_now', '_numbers')

    def __init__(self) -> None:
        """Create an empty schedule at time zero."""
        self._heap: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()
        self._now = 0.0

    @property
    def now(self) -> float:
        """Return the present virtual time in seconds."""
        return self._now

    def at(self, when: float, action: Action) -> None:
        """Schedule ``action`` at ``when``, or now if that is past."""
        due = max(when, self._now)
        heapq.heappush(self._heap, (due, next(self._numbers), action))

    def after(self, delay: float, action: Action) -> None:
        """Schedule ``action`` after ``delay`` seconds."""
        self.at(self._now + delay, action)

    def run_until(self, end: float) -> None:
        """Run all actions up to ``end``."""
        while self._heap and self._heap[0][0] <= end:
            due, _, action = heapq.heappop(self._heap)
            self._now = due
            action()
        self._now = max(self._now, end)
