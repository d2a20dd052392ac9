"""Selection of the searcher that runs a request."""

from __future__ import annotations

import xxhash

from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.owner.messages import SnapshotEntry, SnapshotId
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.root.systems.estimate import is_reachable
from snipejunction.helpers import rendezvous
from snipejunction.node import Node


def choose_searcher(
    node: Node,
    service: str,
    key: str,
    now: float,
) -> RouteEntry | None:
    """Return the searcher for a key, None if none is reachable.

    The searcher holds the key's shard in the newest snapshot in which that
    shard is reachable. A key maps to the same searcher as long as that
    searcher is reachable.
    """
    holders: dict[SnapshotId, dict[str, RouteEntry]] = {}
    for entry in node.routing.entries(service).values():
        if not is_reachable(node, entry, now):
            continue
        if owner_of(node, entry) not in node.view.current.hosts:
            continue
        for held in entry.snapshots:
            if _shard_of(key, held) in held.shards:
                names = holders.setdefault(held.snapshot, {})
                names[entry.searcher] = entry
    if not holders:
        return None
    newest = holders[max(holders)]
    name = rendezvous.choose(f'{service}\n{key}', newest)
    return None if name is None else newest[name]


def owner_of(node: Node, entry: RouteEntry) -> str:
    """Return the owner of a searcher; the view is newer than the entry."""
    key = searcher_key(entry.service, entry.searcher)
    owner = node.view.owner_of(key, entry.data_centre)
    return entry.owner if owner is None else owner


def _shard_of(key: str, held: SnapshotEntry) -> int:
    shards = len(held.documents)
    return xxhash.xxh64_intdigest(key.encode()) % shards if shards else -1
