"""Index of callers and operators by their hashed tokens."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable
from typing import Final

_BUCKET_DIGITS: Final = 4


def hash_token(token: str) -> str:
    """Return the SHA-256 digest of a token as hex digits."""
    return hashlib.sha256(token.encode()).hexdigest()


class TokenIndex:
    """Names by the hash of their token.

    The first digits of the hash select a bucket; the comparison with each
    hash in it takes constant time.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        """Create an empty index."""
        self._buckets: dict[str, list[tuple[str, str]]] = {}

    def rebuild(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Rebuild the index from pairs of a token's hash and a name."""
        self._buckets = {}
        for stored, name in pairs:
            bucket = self._buckets.setdefault(stored[:_BUCKET_DIGITS], [])
            bucket.append((stored, name))

    def find(self, token: str) -> str | None:
        """Return the name that a token belongs to, None if unknown."""
        digest = hash_token(token)
        for stored, name in self._buckets.get(digest[:_BUCKET_DIGITS], ()):
            if hmac.compare_digest(stored, digest):
                return name
        return None
