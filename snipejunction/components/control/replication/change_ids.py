"""Deduplication of settings changes by a bounded set of ids."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.control.const import CHANGE_ID_WINDOW
from snipejunction.components.control.replication.messages import (
    ChangeRecord,
    SettingsEntry,
)
from snipejunction.components.control.replication.codec import change_digest
from snipejunction.const import CODE_ID_EXPIRED, CODE_ID_REUSED


class ChangeIds:
    """Outcomes of the last change ids, in log order.

    A change that had an effect at revision ``r`` was based on a revision
    below ``r``, and a resend has the same base. Once ids up to the horizon
    are forgotten, every resend of one of them has a base below the horizon.
    Refusing all unknown ids with such a base ensures that no change is
    applied twice.
    """

    __slots__ = ('_horizon', '_records', '_window')

    def __init__(self, window: int = CHANGE_ID_WINDOW) -> None:
        """Create an empty set that keeps the last ``window`` ids."""
        self._window = window
        self._horizon = 0
        self._records: dict[str, ChangeRecord] = {}

    @property
    def horizon(self) -> int:
        """Return the revision of the newest forgotten id, zero if none."""
        return self._horizon

    @property
    def records(self) -> list[ChangeRecord]:
        """Return the remembered records, oldest first."""
        return list(self._records.values())

    def look_up(self, entry: SettingsEntry) -> ChangeRecord | None:
        """Return the answer to a known or expired id, None to a new one."""
        known = self._records.get(entry.change_id)
        if known is None:
            return self._refuse_expired(entry)
        digest = change_digest(entry)
        if known.digest == digest:
            return known
        return ChangeRecord(
            entry.change_id,
            digest,
            known.logged_at,
            known.revision,
            CODE_ID_REUSED,
        )

    def record(self, record: ChangeRecord) -> None:
        """Add a record; drop the oldest ones beyond the window."""
        self._records[record.change_id] = record
        while len(self._records) > self._window:
            oldest = self._records.pop(next(iter(self._records)))
            self._horizon = max(self._horizon, oldest.logged_at)

    def restore(self, records: Iterable[ChangeRecord], horizon: int) -> None:
        """Replace the records by those of a snapshot."""
        self._records = {record.change_id: record for record in records}
        self._horizon = horizon

    def _refuse_expired(self, entry: SettingsEntry) -> ChangeRecord | None:
        if entry.base >= self._horizon:
            return None
        return ChangeRecord(
            entry.change_id,
            change_digest(entry),
            self._horizon,
            self._horizon,
            CODE_ID_EXPIRED,
        )
