"""Table of the searchers that a control host knows."""

from __future__ import annotations

from typing import Final

from snipejunction.components.registration.const import GONE, READY
from snipejunction.components.registration.departures import Departures
from snipejunction.components.registration.messages import (
    LimitRecord,
    SearcherRecord,
)
from snipejunction.components.registration.searcher_status import SearcherStatus
from snipejunction.timers import NEVER

DEFAULT_INTERVAL_SECONDS: Final = 1.0


class KnownSearcher(SearcherStatus):
    """A searcher with the time of its last announcement to this host.

    ``announced_at`` is in monotonic seconds, ``-NEVER`` if only other control
    hosts receive its announcements.
    """

    __slots__ = ('announced_at',)

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create an entry for a searcher that ``sender`` reported."""
        super().__init__(record, sender, now)
        self.announced_at = -NEVER

    def apply_departure(self, departures: Departures) -> bool:
        """Apply the state in which the searcher left.

        Return whether that changed its state.
        """
        state = departures.state_of(self.record)
        if state == READY or self.record.state in {state, GONE}:
            return False
        self.record = self.record.with_state(state)
        return True


class RegistrationTable:
    """Searchers by id.

    ``interval`` is the time between two announcements of one searcher, in
    seconds. ``unsent_to_entries`` and ``unsent_to_controls`` hold the ids of
    the searchers whose last change was not sent to these hosts yet. ``limits``
    holds the limits that searchers state, by id.
    """

    __slots__ = (
        'interval',
        'limits',
        'searchers',
        'sweep_due',
        'unsent_to_controls',
        'unsent_to_entries',
    )

    def __init__(self) -> None:
        """Create an empty table."""
        self.interval = DEFAULT_INTERVAL_SECONDS
        self.searchers: dict[str, KnownSearcher] = {}
        self.limits: dict[str, LimitRecord] = {}
        self.sweep_due = 0.0
        self.unsent_to_controls: dict[str, None] = {}
        self.unsent_to_entries: dict[str, None] = {}
