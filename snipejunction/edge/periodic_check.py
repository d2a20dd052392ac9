"""Periodic callback that is told how late it is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class PeriodicCheck:
    """Calls ``check(now, lateness)`` in intervals, both in seconds.

    The lateness is the time in which the event loop did not run;
    ``late_seconds`` is the sum of it.
    """

    __slots__ = (
        '_check',
        '_due',
        '_interval',
        '_loop',
        '_timer',
        'late_seconds',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        interval: float,
        check: Callable[[float, float], None],
    ) -> None:
        """Create a check that has not started."""
        self._loop = loop
        self._interval = interval
        self._check = check
        self._due = 0.0
        self.late_seconds = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first call."""
        self._due = self._loop.time() + self._interval
        self._timer = self._loop.call_at(self._due, self._run)

    def stop(self) -> None:
        """Cancel the next call."""
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        now = self._loop.time()
        lateness = now - self._due
        self.late_seconds += lateness
        self._check(now, lateness)
        self.start()
