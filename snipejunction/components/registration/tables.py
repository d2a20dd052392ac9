"""Table of the searchers that a control host knows of."""

from __future__ import annotations

from typing import Final

from snipejunction.components.registration.belief import SearcherStatus
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.timers import NEVER

DEFAULT_INTERVAL_SECONDS: Final = 1.0


class KnownSearcher(SearcherStatus):
    """A searcher and when this host heard it, in monotonic seconds.

    ``heard_at`` is ``-NEVER`` for one that only other control hosts hear.
    """

    __slots__ = ('announced_at',)

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create an entry of a searcher that ``sender`` told of."""
        super().__init__(record, sender, now)
        self.announced_at = -NEVER


class RegistrationTable:
    """Searchers by id.

    ``interval`` is the time between two announcements of one searcher, in
    seconds.
    """

    __slots__ = ('interval', 'searchers', 'sweep_due')

    def __init__(self) -> None:
        """Create an empty table."""
        self.interval = DEFAULT_INTERVAL_SECONDS
        self.searchers: dict[str, KnownSearcher] = {}
        self.sweep_due = 0.0
