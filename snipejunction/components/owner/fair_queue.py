"""A queue that serves callers in turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from snipejunction.components.owner.work import Work
from snipejunction.timers import NEVER


class FairQueue:
    """Waiting work by caller; the callers take turns.

    ``timer`` is the number of the timer of overdue work, ``timer_due`` its
    time in monotonic seconds.
    """

    __slots__ = ('_by_caller', '_length', 'timer', 'timer_due')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._by_caller: dict[str, deque[Work]] = {}
        self._length = 0
        self.timer = 0
        self.timer_due = NEVER

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def __iter__(self) -> Iterator[Work]:
        """Iterate over a copy of the waiting work."""
        return iter(
            [work for works in self._by_caller.values() for work in works],
        )

    def push(self, work: Work) -> None:
        """Add work at the end of its caller's line."""
        self._by_caller.setdefault(work.caller, deque()).append(work)
        self._length += 1
        work.is_waiting = True

    def push_first(self, work: Work) -> None:
        """Add work at the head of its caller's line."""
        self._by_caller.setdefault(work.caller, deque()).appendleft(work)
        self._length += 1
        work.is_waiting = True

    def pop(self) -> Work | None:
        """Remove the first request of the caller whose turn it is."""
        if not self._by_caller:
            return None
        caller = next(iter(self._by_caller))
        works = self._by_caller.pop(caller)
        work = works.popleft()
        work.is_waiting = False
        self._length -= 1
        if works:
            self._by_caller[caller] = works
        return work

    def remove(self, work: Work) -> bool:
        """Remove one request; return whether it was waiting."""
        works = self._by_caller.get(work.caller)
        if works is None or work not in works:
            return False
        works.remove(work)
        work.is_waiting = False
        self._length -= 1
        if not works:
            self._by_caller.pop(work.caller)
        return True

    def drain(self) -> list[Work]:
        """Remove and return all requests."""
        works = list(self)
        for work in works:
            work.is_waiting = False
        self._by_caller.clear()
        self._length = 0
        return works

    def count_ahead(self, caller: str) -> int:
        """Return how many requests run before a new one of ``caller``."""
        if not self._length:
            return 0
        own = len(self._by_caller.get(caller, ()))
        return sum(
            own if name == caller else min(len(works), own + 1)
            for name, works in self._by_caller.items()
        )

    def find_eviction_candidate(self, caller: str) -> Work | None:
        """Return what gives way to a new request of ``caller`` when full.

        That is the last request of the longest line, None if the line of
        ``caller`` is as long.
        """
        own = len(self._by_caller.get(caller, ()))
        longest = max(self._by_caller.values(), key=len, default=None)
        if longest is None or len(longest) <= own + 1:
            return None
        return longest[-1]

    def overdue(self, now: float) -> list[Work]:
        """Return the requests that may wait no longer."""
        return [work for work in self if work.queue_deadline <= now]

    def next_due(self) -> float:
        """Return when the first request may wait no longer."""
        return min(work.queue_deadline for work in self)
