"""Parsing and merging of sub-answers."""

from __future__ import annotations

import heapq
import json
import math
from collections.abc import Iterable
from typing import Any, TypeAlias

Hit: TypeAlias = dict[str, Any]


class PayloadError(Exception):
    """Raised for a sub-answer that violates the searcher protocol."""


def parse_hits(payload: bytes) -> list[Hit]:
    """Parse the hits of a sub-answer.

    Raises:
        PayloadError: if it is not JSON, or a hit lacks its id or score.
    """
    try:
        document = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise PayloadError('payload is not JSON') from error
    hits = document.get('hits') if isinstance(document, dict) else None
    if not isinstance(hits, list):
        raise PayloadError('payload has no list of hits')
    for hit in hits:
        if not _is_hit(hit):
            raise PayloadError('hit without a string id and a finite score')
    return hits


def best_hits(hits: Iterable[Hit], top: int) -> list[Hit]:
    """Return the first ``top`` hits by descending score, then by id."""
    return heapq.nsmallest(top, hits, key=_sort_key)


def _is_hit(hit: object) -> bool:
    if not isinstance(hit, dict) or not isinstance(hit.get('id'), str):
        return False
    score = hit.get('score')
    if isinstance(score, bool) or not isinstance(score, (int, float)):
        return False
    return math.isfinite(score)


def _sort_key(hit: Hit) -> tuple[float, str]:
    return -hit['score'], hit['id']
