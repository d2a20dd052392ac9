"""State of the lease renewals of this host."""

from __future__ import annotations

from snipejunction.components.control.const import MAX_OUTSTANDING_RENEWALS
from snipejunction.timers import NEVER


class RenewalTable:
    """Renewals in flight and the leader that they are sent to.

    Times are in monotonic seconds. ``due`` is when the next renewal is sent.
    ``last_report`` holds the applied and the released revision sent last.
    """

    __slots__ = (
        '_last_id',
        '_outstanding',
        'due',
        'has_given_up',
        'is_lease_held',
        'last_report',
        'leader',
        'unanswered_since',
    )

    def __init__(self) -> None:
        """Create the table of a host that sent no renewal yet."""
        self._last_id = 0
        self._outstanding: dict[int, float] = {}
        self.due = -NEVER
        self.leader = ''
        self.unanswered_since = NEVER
        self.last_report = (0, 0)
        self.is_lease_held = False
        self.has_given_up = False

    def start_renewal(self, now: float) -> int:
        """Register a renewal that is sent at ``now`` and return its id."""
        self._last_id += 1
        self._outstanding[self._last_id] = now
        if len(self._outstanding) > MAX_OUTSTANDING_RENEWALS:
            self._outstanding.pop(next(iter(self._outstanding)))
        self.unanswered_since = min(self.unanswered_since, now)
        return self._last_id

    def pop_sent_at(self, renewal_id: int) -> float | None:
        """Remove a renewal and return when it was sent, None if unknown."""
        return self._outstanding.pop(renewal_id, None)

    def record_answer(self) -> None:
        """Record that the leader answered."""
        self.unanswered_since = NEVER

    def set_leader(self, leader: str) -> None:
        """Send further renewals to ``leader``."""
        self.leader = leader
        self.unanswered_since = NEVER
