"""Status of a searcher process, merged from the reports of control hosts."""

from __future__ import annotations

from typing import Final

from snipejunction.components.registration.const import (
    GONE,
    LEAVING,
    SILENT,
)
from snipejunction.components.registration.departures import is_later_start
from snipejunction.components.registration.messages import SearcherRecord

# Smallest difference of the end of the cold time that counts as a change, in
# seconds.
_COLD_TOLERANCE_SECONDS: Final = 0.5


class SearcherStatus:
    """The newest record of a searcher and its liveness per control host.

    Times are in monotonic seconds. ``updated_at`` is when the record changed
    last; ``silent_by_sender`` maps each control host that reported the
    searcher to whether its announcements stopped there.
    """

    __slots__ = ('cold_until', 'updated_at', 'record', 'silent_by_sender')

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create a status from the first record, sent by ``sender``."""
        self.record = record
        self.cold_until = now + record.cold_left
        self.updated_at = now
        self.silent_by_sender = {sender: record.state == SILENT}

    @property
    def searcher_id(self) -> str:
        """Return the id of the searcher."""
        return self.record.searcher_id

    @property
    def is_silent(self) -> bool:
        """Return whether the searcher is silent at all control hosts."""
        senders = self.silent_by_sender
        return bool(senders) and all(senders.values())

    def is_superseded_by(self, record: SearcherRecord) -> bool:
        """Return whether a record belongs to a later start of this id."""
        if not self.record.service:
            # Only the end of some start is known.
            return bool(record.service) and is_later_start(record, self.record)
        return bool(record.service) and record.born_ms > self.record.born_ms

    def apply_record(
        self, record: SearcherRecord, sender: str, now: float
    ) -> bool:
        """Apply a record of this start; return whether anything changed."""
        if not self._is_of_this_start(record):
            return False
        was_silent = self.is_silent
        if self.record.state == GONE:
            return False
        self.silent_by_sender[sender] = record.state == SILENT
        is_changed = False
        if record.state == GONE:
            self.record.state = GONE
            is_changed = True
        elif record.state != SILENT:
            is_changed = self._replace_record(record, now)
        if is_changed:
            self.updated_at = now
        return is_changed or self.is_silent != was_silent

    def remove_sender(self, sender: str) -> None:
        """Drop the report of a lost control host unless it is the only one."""
        if len(self.silent_by_sender) > 1:
            self.silent_by_sender.pop(sender, None)

    def to_record(self, state: int, now: float) -> SearcherRecord:
        """Return a record to send, with the remaining cold time."""
        known = self.record
        return SearcherRecord(
            known.searcher_id,
            known.service,
            known.address,
            known.data_centre,
            known.slots,
            max(0.0, self.cold_until - now),
            known.born_ms,
            known.sequence,
            state,
            known.version,
        )

    def _is_of_this_start(self, record: SearcherRecord) -> bool:
        if record.service:
            return record.born_ms == self.record.born_ms
        # The end of an unknown start, not later than ``born_ms`` if given.
        return not record.born_ms or self.record.born_ms <= record.born_ms

    def _replace_record(self, record: SearcherRecord, now: float) -> bool:
        old = self.record
        # The first record may tell that the searcher is silent, but not the
        # state that it announced with this sequence.
        lowest = old.sequence if old.state == SILENT else old.sequence + 1
        if record.sequence < lowest:
            return False
        if old.state == LEAVING:
            # A searcher that leaves is used again only after a new start.
            record.state = LEAVING
        self.record = record
        cold_until = now + record.cold_left
        cold_shift = abs(cold_until - self.cold_until)
        has_new_cold_time = (
            record.cold_left > 0 and cold_shift > _COLD_TOLERANCE_SECONDS
        )
        if record.cold_left > 0:
            self.cold_until = cold_until
        return has_new_cold_time or (old.state, old.service, old.address) != (
            record.state,
            record.service,
            record.address,
        )
