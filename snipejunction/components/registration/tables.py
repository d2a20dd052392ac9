"""Table of the searchers that a control host heard of."""

from __future__ import annotations

from snipejunction.components.registration.messages import SearcherRecord

DEFAULT_INTERVAL_SECONDS = 1.0


class KnownSearcher:
    """A searcher and when it was heard, in monotonic seconds."""

    __slots__ = ('cold_until', 'heard_at', 'record')

    def __init__(self, record: SearcherRecord, now: float) -> None:
        """Create an entry of a searcher heard at ``now``."""
        self.record = record
        self.heard_at = now
        self.cold_until = now + record.cold_left

    def record_at(self, now: float) -> SearcherRecord:
        """Return the record with the cold time that is left."""
        record = self.record
        record.cold_left = max(0.0, self.cold_until - now)
        return record


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
