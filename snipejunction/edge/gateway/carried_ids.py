"""Ids of the requests that a connection to a searcher has carried."""

from __future__ import annotations

from typing import Final

# Requests after which a connection is replaced, which bounds the memory.
MAX_REQUESTS_PER_CONNECTION: Final = 256


class CarriedIds:
    """Request ids, kept as hashes: callers choose the ids and their length.

    Equal hashes of different ids cost one more connection.
    """

    __slots__ = ('_hashes',)

    def __init__(self) -> None:
        """Create an empty set."""
        self._hashes: set[int] = set()

    @property
    def is_full(self) -> bool:
        """Return whether the connection is due to be replaced."""
        return len(self._hashes) >= MAX_REQUESTS_PER_CONNECTION

    @property
    def has_earlier(self) -> bool:
        """Return whether there is more than the last id."""
        return len(self._hashes) > 1

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request with an id may have been carried."""
        return hash(request_id) in self._hashes

    def add(self, request_id: bytes) -> None:
        """Add the id of a request that is sent."""
        self._hashes.add(hash(request_id))
