"""Merge of parts that consist of unordered records of a fixed size."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest ``top`` records of all bodies, greatest first.

    Records are compared bytewise and duplicates are kept. Trailing bytes of
    a body that are shorter than a record are ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records.extend(
            body[start : start + RECORD_BYTES]
            for start in range(0, end, RECORD_BYTES)
        )
    return b''.join(heapq.nlargest(top, records))
