"""State of searchers that is handed over between owners."""

from __future__ import annotations

import itertools
from typing import Final

from snipejunction.components.owner.const import LEARNED_TTL_SECONDS
from snipejunction.components.owner.peer_messages import HandOver, LearnedState

_MAX_RECEIVED_STATES: Final = 100_000


class OutgoingHandOver:
    """A hand-over that the receiving host has not acknowledged yet."""

    __slots__ = ('deadline', 'host', 'message', 'resend_at')

    def __init__(
        self,
        host: str,
        message: HandOver,
        resend_at: float,
        deadline: float,
    ) -> None:
        """Create an entry; times are monotonic seconds."""
        self.host = host
        self.message = message
        self.resend_at = resend_at
        self.deadline = deadline


class HandOverTable:
    """State received from other owners, and hand-overs sent to them."""

    __slots__ = ('_numbers', '_received', 'outgoing', 'returned_at_revision')

    def __init__(self) -> None:
        """Create an empty table."""
        self._numbers = itertools.count(1)
        self._received: dict[str, tuple[LearnedState, float]] = {}
        self.outgoing: dict[int, OutgoingHandOver] = {}
        # Settings revision at which each data centre was put back in service.
        self.returned_at_revision: dict[str, int] = {}

    def next_number(self) -> int:
        """Return the number of the next hand-over."""
        return next(self._numbers)

    def store(self, key: str, learned: LearnedState, now: float) -> None:
        """Store received state for when this host owns the searcher."""
        stored = self._received.get(key)
        if stored is not None and not _is_newer(learned, stored[0]):
            return
        if len(self._received) < _MAX_RECEIVED_STATES or key in self._received:
            self._received[key] = (learned, now + LEARNED_TTL_SECONDS)

    def find(self, key: str, now: float) -> LearnedState | None:
        """Return the received state of a searcher unless it expired."""
        stored = self._received.get(key)
        if stored is None or stored[1] <= now:
            return None
        return stored[0]

    def remove_expired(self, now: float) -> None:
        """Remove the received state that expired."""
        for key, stored in list(self._received.items()):
            if stored[1] <= now:
                self._received.pop(key)


def _is_newer(learned: LearnedState, stored: LearnedState) -> bool:
    received = learned.announcement
    known = stored.announcement
    if received.boot_id != known.boot_id:
        return True
    return received.sequence >= known.sequence
