"""Reassembly of messages that arrive in any order."""

from __future__ import annotations

from typing import Any, Final

from snipejunction.components.directory.messages import RouteEntry

_MAX_PARTIAL_TABLES: Final = 3
_MAX_BUFFERED_CHANGES: Final = 64


class PartialTables:
    """Full tables with missing parts, by sequence or version."""

    __slots__ = ('_parts',)

    def __init__(self) -> None:
        """Create an empty collection."""
        self._parts: dict[int, dict[int, list[RouteEntry]]] = {}

    def add(
        self,
        number: int,
        part: int,
        parts: int,
        entries: list[RouteEntry],
    ) -> list[RouteEntry] | None:
        """Add one of ``parts`` parts; return the table once it is complete."""
        received = self._parts.setdefault(number, {})
        received[part] = entries
        if len(received) < parts:
            if len(self._parts) > _MAX_PARTIAL_TABLES:
                self._parts.pop(next(iter(self._parts)))
            return None
        for other in list(self._parts):
            if other <= number:
                self._parts.pop(other)
        return [
            entry
            for part_entries in received.values()
            for entry in part_entries
        ]


class ReorderBuffer:
    """Changes that arrived before their predecessors, by number."""

    __slots__ = ('_messages',)

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._messages: dict[int, Any] = {}

    def put(self, number: int, message: Any) -> None:
        """Buffer a change; drop the oldest one if there are too many."""
        self._messages[number] = message
        if len(self._messages) > _MAX_BUFFERED_CHANGES:
            self._messages.pop(next(iter(self._messages)))

    def pop(self, number: int) -> Any | None:
        """Remove and return the change with a number, None if missing."""
        return self._messages.pop(number, None)
