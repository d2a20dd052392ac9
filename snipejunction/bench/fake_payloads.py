"""Deterministic hits of fake searchers, by shard and snapshot."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any, Final, TypeAlias

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.helpers import rendezvous

HITS_PER_SHARD: Final = 3
_SCORE_RANGE: Final = 1000000

Hit: TypeAlias = dict[str, Any]

_hits_by_shard: dict[str, list[Hit]] = {}


def hits_of_shard(
    service: str,
    snapshot: SnapshotId,
    shard: int,
) -> list[Hit]:
    """Return the hits of a shard in a snapshot."""
    prefix = f'{service}:{snapshot.version}:{snapshot.layout}:{shard}'
    hits = _hits_by_shard.get(prefix)
    if hits is None:
        hits = [_make_hit(prefix, number) for number in range(HITS_PER_SHARD)]
        _hits_by_shard[prefix] = hits
    return hits


def payload_of(
    service: str,
    snapshot: SnapshotId,
    shards: Sequence[int],
) -> bytes:
    """Return the encoded payload with the hits of the shards."""
    hits = _hits_of_all_shards(service, snapshot, shards)
    return json.dumps({'hits': hits}).encode()


def true_top(
    service: str,
    snapshot: SnapshotId,
    shards: Iterable[int],
    top: int,
) -> list[Hit]:
    """Return the best hits of the shards by descending score, then id."""
    hits = _hits_of_all_shards(service, snapshot, shards)
    hits.sort(key=lambda hit: (-hit['score'], hit['id']))
    return hits[:top]


def _hits_of_all_shards(
    service: str,
    snapshot: SnapshotId,
    shards: Iterable[int],
) -> list[Hit]:
    return [
        hit
        for shard in shards
        for hit in hits_of_shard(service, snapshot, shard)
    ]


def _make_hit(prefix: str, number: int) -> Hit:
    score = rendezvous.weight(prefix, str(number)) % _SCORE_RANGE
    return {'id': f'{prefix}:{number}', 'score': float(score)}
