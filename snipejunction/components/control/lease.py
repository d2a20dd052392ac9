"""The lease that this host holds."""

from __future__ import annotations

from snipejunction.timers import NEVER


class LeaseTable:
    """The lease under which this host accepts new work.

    Times are in monotonic seconds.
    """

    __slots__ = ('_held_until',)

    def __init__(self) -> None:
        """Create a table without a lease."""
        self._held_until = -NEVER

    @property
    def held_until(self) -> float:
        """Return the end of the lease."""
        return self._held_until

    def extend(self, until: float) -> None:
        """Extend the lease to ``until`` if that is later."""
        self._held_until = max(self._held_until, until)

    def give_up(self) -> None:
        """End the lease at once."""
        self._held_until = -NEVER

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held, so that work may be accepted."""
        return now < self._held_until

    def remaining(self, now: float) -> float:
        """Return the seconds left, zero without a lease."""
        return max(0, self._held_until - now)
