"""Searchers that left, as recorded in the log of the deployment group."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from snipejunction.components.registration.const import GONE, READY
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.helpers.wire import decode, encode

# Upper bound of the departures that are kept. The oldest ones are dropped
# first.
MAX_DEPARTURES: Final = 4096


class Departures:
    """The last departure of each searcher id, the oldest one first.

    A departure holds for its start of the searcher and for all earlier starts
    of the same id. If its service is empty, the start is unknown, and
    ``born_ms`` is the latest possible time of that start.
    """

    __slots__ = ('_records',)

    def __init__(self, records: Iterable[SearcherRecord] = ()) -> None:
        """Create a collection from departures, the oldest one first."""
        self._records = {record.searcher_id: record for record in records}

    def state_of(self, record: SearcherRecord) -> int:
        """Return the state in which a start left, ``READY`` if it did not."""
        departure = self._records.get(record.searcher_id)
        if departure is None or is_later_start(record, departure):
            return READY
        if departure.service and departure.born_ms == record.born_ms:
            return departure.state
        return GONE

    def add(self, record: SearcherRecord) -> bool:
        """Add a departure; return whether it was unknown."""
        if self.state_of(record) != READY:
            return False
        self._records.pop(record.searcher_id, None)
        self._records[record.searcher_id] = record
        if len(self._records) > MAX_DEPARTURES:
            self._records.pop(next(iter(self._records)))
        return True

    def newest(self, count: int) -> list[SearcherRecord]:
        """Return at most ``count`` departures, the newest ones."""
        return list(self._records.values())[-count:]

    def pack(self) -> list[bytes]:
        """Return the encoded departures, the oldest one first."""
        return [encode(record) for record in self._records.values()]


def unpack_departures(frames: Iterable[bytes]) -> Departures:
    """Return the departures that ``Departures.pack`` encoded."""
    return Departures(decode(frame) for frame in frames)


def is_later_start(record: SearcherRecord, departure: SearcherRecord) -> bool:
    """Return whether a record is of a later start than a departure.

    Without the time of a start, only the first announcement tells it.
    """
    if record.born_ms and departure.born_ms:
        return record.born_ms > departure.born_ms
    return record.sequence <= 1
