"""Generated toy catalogue that is identical in every process."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from functools import cache
from random import Random
from typing import Any, Final

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.helpers.records import Record

TOY_COUNT: Final = 4000
DEFAULT_LIMIT: Final = 20

_SEED: Final = 20260
# One record in this many changes with each version.
_CHANGED_EVERY: Final = 10
_POPULARITY_STEPS: Final = 1000
_SCORE_DIGITS: Final = 6

_COLOURS: Final = (
    'red',
    'green',
    'blue',
    'yellow',
    'white',
    'black',
    'orange',
    'purple',
)
_MATERIALS: Final = ('wooden', 'plastic', 'woollen', 'metal', 'cloth', 'paper')
_KINDS: Final = (
    'train',
    'puzzle',
    'kite',
    'ball',
    'drum',
    'doll',
    'abacus',
    'boat',
    'tractor',
    'puppet',
    'blocks',
    'whistle',
)
_SHELVES: Final = ('Lagos', 'Kano', 'Enugu')


class Toy(Record):
    """One record of the catalogue; ``popularity`` is from 0 to 1."""

    __slots__ = ('name', 'popularity', 'shelf', 'toy_id', 'words')

    def __init__(
        self,
        toy_id: str,
        name: str,
        shelf: str,
        popularity: float,
    ) -> None:
        """Create a record."""
        self.toy_id = toy_id
        self.name = name
        self.shelf = shelf
        self.popularity = popularity
        self.words = frozenset(name.split())

    def score(self, words: frozenset[str]) -> float:
        """Return the score for the words, zero if none of them matches."""
        matched = len(self.words & words)
        if not matched:
            return 0
        return round(matched + self.popularity, _SCORE_DIGITS)


class Query(Record):
    """Search words and the maximum number of hits."""

    __slots__ = ('limit', 'words')

    def __init__(self, document: dict[str, Any]) -> None:
        """Parse a query from its JSON document."""
        self.words = frozenset(str(document.get('text', '')).split())
        self.limit = int(document.get('limit', DEFAULT_LIMIT))


@cache
def toys_in_version(version: int) -> tuple[Toy, ...]:
    """Return all records of a version of the catalogue."""
    random = Random(_SEED)
    return tuple(
        _make_toy(random, number, version) for number in range(TOY_COUNT)
    )


def shard_for(toy_id: str, shards: int) -> int:
    """Return the shard of a record in a layout of ``shards`` shards."""
    return zlib.crc32(toy_id.encode()) % shards


@cache
def toys_by_shard(snapshot: SnapshotId) -> tuple[tuple[Toy, ...], ...]:
    """Return the records of each shard.

    The layout of the snapshot is the number of shards.
    """
    count = int(snapshot.layout)
    shards: list[list[Toy]] = [[] for _ in range(count)]
    for toy in toys_in_version(snapshot.version):
        shards[shard_for(toy.toy_id, count)].append(toy)
    return tuple(tuple(shard) for shard in shards)


def documents_of(snapshot: SnapshotId) -> tuple[int, ...]:
    """Return the number of records of each shard."""
    return tuple(len(shard) for shard in toys_by_shard(snapshot))


def search(toys: Iterable[Toy], query: Query) -> list[dict[str, Any]]:
    """Return the best hits among records, sorted by score, then by id."""
    scored = [(toy.score(query.words), toy) for toy in toys]
    found = [(-score, toy.toy_id, toy) for score, toy in scored if score]
    found.sort(key=lambda entry: entry[:2])
    return [
        {
            'id': toy_id,
            'score': -negative,
            'name': toy.name,
            'shelf': toy.shelf,
        }
        for negative, toy_id, toy in found[: query.limit]
    ]


@cache
def build_index(
    snapshot: SnapshotId,
    shard: int,
) -> dict[str, tuple[Toy, ...]]:
    """Return the inverted index of a shard, from word to records."""
    index: dict[str, list[Toy]] = {}
    for toy in toys_by_shard(snapshot)[shard]:
        for word in toy.words:
            index.setdefault(word, []).append(toy)
    return {word: tuple(toys) for word, toys in index.items()}


def search_shard(
    snapshot: SnapshotId,
    shard: int,
    query: Query,
) -> list[dict[str, Any]]:
    """Return the best hits of a shard, using its index."""
    index = build_index(snapshot, shard)
    found = {
        toy.toy_id: toy for word in query.words for toy in index.get(word, ())
    }
    return search(found.values(), query)


def brute_force(
    snapshot: SnapshotId,
    document: dict[str, Any],
    missing_shards: Iterable[int] = (),
) -> list[dict[str, Any]]:
    """Return the expected hits of a snapshot without ``missing_shards``.

    Scans all records without the index.
    """
    missing = frozenset(missing_shards)
    toys = [
        toy
        for number, shard in enumerate(toys_by_shard(snapshot))
        if number not in missing
        for toy in shard
    ]
    return search(toys, Query(document))


def _make_toy(random: Random, number: int, version: int) -> Toy:
    colour = random.choice(_COLOURS)
    material = random.choice(_MATERIALS)
    kind = random.choice(_KINDS)
    shelf = random.choice(_SHELVES)
    popularity = random.randrange(_POPULARITY_STEPS)
    if (number + version) % _CHANGED_EVERY == 0:
        colour = _COLOURS[version % len(_COLOURS)]
        popularity = (popularity + version) % _POPULARITY_STEPS
    return Toy(
        f'toy-{number:05}',
        f'{colour} {material} {kind}',
        shelf,
        popularity / _POPULARITY_STEPS,
    )
