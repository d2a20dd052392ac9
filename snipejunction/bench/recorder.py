"""Event history of a run, read by the checkers."""

from __future__ import annotations

from typing import Any

from snipejunction.helpers.records import Record


class HistoryEvent(Record):
    """An event of a run; ``when`` is its virtual time in seconds."""

    __slots__ = ('fields', 'kind', 'when')

    def __init__(self, when: float, kind: str, fields: dict[str, Any]) -> None:
        """Create an event of a kind with its fields."""
        self.when = when
        self.kind = kind
        self.fields = fields

    def __getitem__(self, name: str) -> Any:
        """Return a field by name."""
        return self.fields[name]


class Recorder:
    """Events in the order in which they happened."""

    __slots__ = ('_events',)

    def __init__(self) -> None:
        """Create an empty history."""
        self._events: list[HistoryEvent] = []

    @property
    def events(self) -> list[HistoryEvent]:
        """Return all events."""
        return self._events

    def record(self, when: float, kind: str, **fields: Any) -> None:
        """Add an event."""
        self._events.append(HistoryEvent(when, kind, fields))

    def of_kind(self, *kinds: str) -> list[HistoryEvent]:
        """Return the events of the given kinds."""
        return [event for event in self._events if event.kind in kinds]
