"""What a host believes of one start of a searcher."""

from __future__ import annotations

from typing import Final

from snipejunction.components.registration.const import GONE, SILENT
from snipejunction.components.registration.messages import SearcherRecord

# A cold time that differs by less than this from what is known is no news,
# in seconds.
_COLD_TOLERANCE_SECONDS: Final = 0.5


class SearcherStatus:
    """The newest record, and which control hosts hear the searcher.

    Times are in monotonic seconds. ``learned_at`` is when the record changed
    last; ``silent_by_sender`` says for each control host that told of the
    searcher whether it hears nothing of it.
    """

    __slots__ = ('cold_until', 'learned_at', 'record', 'silent_by_sender')

    def __init__(self, record: SearcherRecord, sender: str, now: float) -> None:
        """Create a belief from what ``sender`` says."""
        self.record = record
        self.cold_until = now + record.cold_left
        self.learned_at = now
        self.silent_by_sender = {sender: record.state == SILENT}

    @property
    def searcher_id(self) -> str:
        """Return the id of the searcher."""
        return self.record.searcher_id

    @property
    def is_silent(self) -> bool:
        """Return whether no control host hears the searcher."""
        senders = self.silent_by_sender
        return bool(senders) and all(senders.values())

    def is_superseded_by(self, record: SearcherRecord) -> bool:
        """Return whether a record tells of a later start under this id."""
        if not self.record.service:
            # Only the end of a start is known, not which one: a first
            # announcement proves another.
            return bool(record.service) and record.sequence <= 1
        return bool(record.service) and record.born_ms > self.record.born_ms

    def apply_record(
        self, record: SearcherRecord, sender: str, now: float
    ) -> bool:
        """Take a record of this start; return whether anything changed."""
        if record.service and record.born_ms != self.record.born_ms:
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
            self.learned_at = now
        return is_changed or self.is_silent != was_silent

    def remove_sender(self, sender: str) -> None:
        """Drop what a lost control host said, unless it stands alone."""
        if len(self.silent_by_sender) > 1:
            self.silent_by_sender.pop(sender, None)

    def to_record(self, state: int, now: float) -> SearcherRecord:
        """Return a record for others, with the cold time that is left."""
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
        )

    def _replace_record(self, record: SearcherRecord, now: float) -> bool:
        old = self.record
        if record.sequence <= old.sequence:
            return False
        self.record = record
        cold_until = now + record.cold_left
        drift = abs(cold_until - self.cold_until)
        is_colder = record.cold_left > 0 and drift > _COLD_TOLERANCE_SECONDS
        if record.cold_left > 0:
            self.cold_until = cold_until
        return is_colder or (old.state, old.service, old.address) != (
            record.state,
            record.service,
            record.address,
        )
