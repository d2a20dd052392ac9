"""A queue that serves callers round-robin."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from snipejunction.components.owner.work import Work
from snipejunction.timers import NEVER


class FairQueue:
    """Queued work by caller, served round-robin.

    ``timer`` is the id of the timer for the first queue deadline,
    ``timer_due`` its time in monotonic seconds.
    """

    __slots__ = ('_by_caller', '_length', 'timer', 'timer_due')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._by_caller: dict[str, deque[Work]] = {}
        self._length = 0
        self.timer = 0
        self.timer_due = NEVER

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._length

    def __iter__(self) -> Iterator[Work]:
        """Iterate over a copy of the queued work."""
        return iter(
            [
                work
                for requests in self._by_caller.values()
                for work in requests
            ],
        )

    def push(self, work: Work) -> None:
        """Append work to its caller's queue."""
        self._by_caller.setdefault(work.caller, deque()).append(work)
        self._length += 1
        work.is_queued = True

    def push_first(self, work: Work) -> None:
        """Insert work at the head of its caller's queue."""
        self._by_caller.setdefault(work.caller, deque()).appendleft(work)
        self._length += 1
        work.is_queued = True

    def pop(self) -> Work | None:
        """Remove and return the first request of the next caller."""
        if not self._by_caller:
            return None
        caller = next(iter(self._by_caller))
        requests = self._by_caller.pop(caller)
        work = requests.popleft()
        work.is_queued = False
        self._length -= 1
        if requests:
            self._by_caller[caller] = requests
        return work

    def remove(self, work: Work) -> bool:
        """Remove one request and return whether it was queued."""
        requests = self._by_caller.get(work.caller)
        if requests is None or work not in requests:
            return False
        requests.remove(work)
        work.is_queued = False
        self._length -= 1
        if not requests:
            self._by_caller.pop(work.caller)
        return True

    def drain(self) -> list[Work]:
        """Remove and return all requests."""
        requests = list(self)
        for work in requests:
            work.is_queued = False
        self._by_caller.clear()
        self._length = 0
        return requests

    def count_ahead(self, caller: str) -> int:
        """Return how many requests come before a new one of ``caller``."""
        if not self._length:
            return 0
        own_count = len(self._by_caller.get(caller, ()))
        return sum(
            own_count if name == caller else min(len(requests), own_count + 1)
            for name, requests in self._by_caller.items()
        )

    def find_eviction_candidate(self, caller: str) -> Work | None:
        """Return the request to evict for a new one when the queue is full.

        That is the last request of the caller with the longest queue. None
        if the queue of ``caller`` would become as long as that one.
        """
        own_count = len(self._by_caller.get(caller, ()))
        longest = max(self._by_caller.values(), key=len, default=None)
        if longest is None or len(longest) <= own_count + 1:
            return None
        return longest[-1]

    def overdue(self, now: float) -> list[Work]:
        """Return the requests whose queue deadline has passed."""
        return [work for work in self if work.queue_deadline <= now]

    def next_due(self) -> float:
        """Return the earliest queue deadline."""
        return min(work.queue_deadline for work in self)
