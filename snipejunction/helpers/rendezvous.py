"""Rendezvous hashing: a change of hosts moves few keys."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

# The hosts of a large deployment for each data centre.
_CACHED_WEIGHTS: Final = 2048


@lru_cache(maxsize=_CACHED_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a host for a key."""
    return xxhash.xxh64_intdigest(f'{key}\n{name}'.encode())


def choose(key: str, names: Iterable[str]) -> str | None:
    """Return the host with the highest weight, or None without hosts."""
    return max(
        names,
        key=lambda name: (weight(key, name), name),
        default=None,
    )


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the hosts in descending order of weight."""
    return sorted(
        names,
        key=lambda name: (weight(key, name), name),
        reverse=True,
    )
