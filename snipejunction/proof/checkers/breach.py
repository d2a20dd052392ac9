"""A promise that a history breaks."""

from __future__ import annotations

from snipejunction.helpers.records import Record


class Breach(Record):
    """One broken promise, at a virtual time in seconds."""

    __slots__ = ('detail', 'promise', 'when')

    def __init__(self, promise: str, when: float, detail: str) -> None:
        """Create a breach of ``promise``."""
        self.promise = promise
        self.when = when
        self.detail = detail
