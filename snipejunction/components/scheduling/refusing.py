"""Times at which refused callers are asked to come back.

Answers callers that repeat at once or all together: each refusal of a route
gets a turn of its own behind the earlier ones.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from snipejunction.components.scheduling.const import (
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_SECONDS,
)


class RefusalTurns:
    """The next free turn of each route, in monotonic seconds."""

    __slots__ = ('_next_turns',)

    def __init__(self) -> None:
        """Create turns that are all free."""
        self._next_turns: dict[str, float] = {}

    def drop_other_routes(self, kept: AbstractSet[str]) -> None:
        """Drop the turns of routes that are not ``kept``."""
        for route in self._next_turns.keys() - kept:
            self._next_turns.pop(route)

    def take(
        self,
        route: str,
        ready_at: float,
        turn_seconds: float,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return the retry-after of one more refusal, in seconds.

        ``ready_at`` is when room is expected, ``turn_seconds`` the time in
        which it takes one request. ``seconds_left`` is what the caller has
        left; it returns well within that.
        """
        longest = max(
            seconds_left * MAX_RETRY_AFTER_SHARE, MIN_RETRY_AFTER_SECONDS
        )
        turn = max(ready_at, self._next_turns.get(route, ready_at))
        turn = min(turn, now + longest)
        self._next_turns[route] = turn + turn_seconds
        return max(turn - now, MIN_RETRY_AFTER_SECONDS)
