"""Log entries that have an effect only if nothing overtook them."""

from __future__ import annotations

from copy import copy
from typing import Final, Self

from snipejunction.helpers.records import Record

# Base of an entry that is always applied, as those of earlier releases.
UNCONDITIONAL: Final = -1


class ConditionalEntry(Record):
    """Log entry about a subject that had a known revision.

    ``base`` is the revision at which the sender of the order still waited: the
    log index of the last order for the subject that was acknowledged, 0
    without one. An entry whose base is older comes too late.
    """

    __slots__ = ('base',)

    base: int

    @property
    def subject(self) -> str:
        """Return what the order is about."""
        raise NotImplementedError

    def with_base(self, base: int) -> Self:
        """Return a copy with another base."""
        changed = copy(self)
        changed.base = base
        return changed


class Revisions:
    """Log index of the last acknowledged order, by subject."""

    __slots__ = ('_by_subject',)

    def __init__(self, by_subject: dict[str, int] | None = None) -> None:
        """Create revisions; subjects that are missing have revision 0."""
        self._by_subject = by_subject or {}

    def of(self, subject: str) -> int:
        """Return the revision of a subject."""
        return self._by_subject.get(subject, 0)

    def is_overtaken(self, entry: ConditionalEntry) -> bool:
        """Return whether an order was acknowledged after the entry's base."""
        if entry.base == UNCONDITIONAL:
            return False
        return entry.base < self.of(entry.subject)

    def advance(self, entry: ConditionalEntry, index: int) -> None:
        """Note an order that is acknowledged at a log index."""
        self._by_subject[entry.subject] = index

    def pack(self) -> dict[str, int]:
        """Return the revisions in a form that msgpack can hold."""
        return dict(self._by_subject)
