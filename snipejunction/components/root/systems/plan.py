"""Selection of the snapshot and the searchers of a query."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from typing import Final, TypeAlias

from snipejunction.components.root.entities import Query
from snipejunction.components.root.index import SnapshotLayout, build_layouts
from snipejunction.components.root.systems.estimate import (
    expected_seconds,
    owner_of,
)
from snipejunction.node import Node

# Maximum random increase of an expected time, so that roots with the same
# routes do not all choose the same searcher.
CHOICE_JITTER: Final = 0.25
# Factor on the expected time of a replacement through the same owner as the
# late sub-request: the owner itself may be the cause of the delay.
SAME_OWNER_FACTOR: Final = 1.5

Costs: TypeAlias = dict[str, float]
Picks: TypeAlias = list[tuple[str, tuple[int, ...]]]


class Plan:
    """Snapshot of a query and the searchers that can answer in time."""

    __slots__ = ('costs', 'layout')

    def __init__(self, layout: SnapshotLayout, costs: Costs) -> None:
        """Create a plan; ``costs`` maps searchers to expected seconds."""
        self.layout = layout
        self.costs = costs

    def reachable_share(self) -> float:
        """Return the share of documents that can be answered in time."""
        shards: set[int] = set()
        for searcher in self.costs:
            shards.update(self.layout.holders[searcher])
        return self.layout.document_share(shards)


def current_layouts(node: Node, service: str) -> list[SnapshotLayout]:
    """Return the layouts of a service's snapshots, newest first.

    They are rebuilt only after the searchers or their snapshots changed;
    most route changes affect only the load.
    """
    state = node.root.service(service)
    if state.is_layout_stale:
        entries = node.routing.entries(service)
        held = {name: entry.snapshots for name, entry in entries.items()}
        if held != state.indexed_snapshots:
            state.indexed_snapshots = held
            state.layouts = build_layouts(entries.values())
        state.is_layout_stale = False
    return state.layouts


def choose_plan(node: Node, query: Query, now: float) -> Plan | None:
    """Choose the snapshot with the highest coverage by the deadline.

    Ties go to the newest snapshot. Return None if no snapshot is reachable.
    """
    best: Plan | None = None
    best_share = 0.0
    for layout in current_layouts(node, query.service.name):
        if layout.snapshot in query.rejected_snapshots:
            continue
        plan = Plan(layout, reachable_costs(node, query, layout, now))
        share = plan.reachable_share() if plan.costs else 0
        if share > best_share:
            best = plan
            best_share = share
        if best_share >= 1:
            break
    return best


def reachable_costs(
    node: Node,
    query: Query,
    layout: SnapshotLayout,
    now: float,
) -> Costs:
    """Return the expected seconds of searchers that can answer in time."""
    entries = node.routing.entries(query.service.name)
    remaining = query.due - now
    excluded = query.excluded
    costs: Costs = {}
    for searcher in layout.holders:
        entry = entries.get(searcher)
        if entry is None or excluded.get(searcher, 0) > now:
            continue
        if not node.root.searcher(searcher).may_hold(layout.snapshot, now):
            continue
        expected = expected_seconds(node, entry, remaining, now)
        if expected is not None:
            costs[searcher] = expected
    return costs


def penalize_owners(
    node: Node,
    query: Query,
    costs: Costs,
    owners: Collection[str],
) -> None:
    """Increase the costs of the searchers of ``owners`` in place."""
    entries = node.routing.entries(query.service.name)
    for searcher in costs:
        if owner_of(node, entries[searcher]) in owners:
            costs[searcher] *= SAME_OWNER_FACTOR


def assign_shards(
    node: Node,
    layout: SnapshotLayout,
    wanted: Iterable[int],
    costs: Costs,
) -> Picks:
    """Assign the wanted shards to few and fast searchers.

    This is a greedy weighted set cover: each step picks the searcher with
    the lowest expected time per shard that it adds. Shards that no searcher
    in ``costs`` holds stay unassigned.
    """
    open_shards = set(wanted)
    heap = _rank_searchers(node, layout, open_shards, costs)
    picks: Picks = []
    while open_shards and heap:
        rating, searcher, gain = heapq.heappop(heap)
        shards = [
            shard for shard in layout.holders[searcher] if shard in open_shards
        ]
        if not shards:
            continue
        if len(shards) < gain:
            # Earlier picks cover some of its shards: rank it again.
            rating *= gain / len(shards)
            heapq.heappush(heap, (rating, searcher, len(shards)))
            continue
        open_shards.difference_update(shards)
        picks.append((searcher, tuple(shards)))
    return picks


def _rank_searchers(
    node: Node,
    layout: SnapshotLayout,
    wanted: set[int],
    costs: Costs,
) -> list[tuple[float, str, int]]:
    draw = node.random.random
    rated = []
    for searcher, cost in costs.items():
        gain = len(wanted.intersection(layout.holders[searcher]))
        if gain:
            rating = cost * (1 + CHOICE_JITTER * draw()) / gain
            rated.append((rating, searcher, gain))
    heapq.heapify(rated)
    return rated
