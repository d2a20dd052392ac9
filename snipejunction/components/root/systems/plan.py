"""Choice of the snapshot and of the searchers of a query."""

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

# Expected times are raised by up to this share at random, so that roots with
# the same hints do not all choose the same searcher.
CHOICE_JITTER: Final = 0.25
# A replacement on the owner of the sub-request that it replaces counts as
# slower by this factor: the owner itself may be what is slow.
SAME_OWNER_FACTOR: Final = 1.5

Costs: TypeAlias = dict[str, float]
Picks: TypeAlias = list[tuple[str, tuple[int, ...]]]


class Plan:
    """A snapshot and the searchers that can answer from it in time."""

    __slots__ = ('costs', 'layout')

    def __init__(self, layout: SnapshotLayout, costs: Costs) -> None:
        """Create a plan; ``costs`` are expected times in seconds."""
        self.layout = layout
        self.costs = costs

    def reachable_share(self) -> float:
        """Return the share of documents that can be answered in time."""
        shards: set[int] = set()
        for searcher in self.costs:
            shards.update(self.layout.holders[searcher])
        return self.layout.document_share(shards)


def layouts_of(node: Node, service: str) -> list[SnapshotLayout]:
    """Return the layouts of a service's snapshots, the newest first.

    They are made again only when the searchers or their snapshots changed;
    most changes of routes are of the load only.
    """
    state = node.root.service(service)
    if state.is_index_stale:
        entries = node.routing.entries(service)
        held = {name: entry.snapshots for name, entry in entries.items()}
        if held != state.held:
            state.held = held
            state.layouts = build_layouts(entries.values())
        state.is_index_stale = False
    return state.layouts


def choose_plan(node: Node, query: Query, now: float) -> Plan | None:
    """Return the snapshot with the best coverage by the deadline.

    The newest one wins a tie. None means that no snapshot can be reached.
    """
    best: Plan | None = None
    best_share = 0.0
    for layout in layouts_of(node, query.service.name):
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
    """Return the expected times of searchers that can answer in time."""
    entries = node.routing.entries(query.service.name)
    left = query.due - now
    excluded = query.excluded
    costs: Costs = {}
    for searcher in layout.holders:
        entry = entries.get(searcher)
        if entry is None or excluded.get(searcher, 0) > now:
            continue
        if not node.root.searcher(searcher).holds(layout.snapshot, now):
            continue
        expected = expected_seconds(node, entry, left, now)
        if expected is not None:
            costs[searcher] = expected
    return costs


def penalize_owners(
    node: Node,
    query: Query,
    costs: Costs,
    owners: Collection[str],
) -> None:
    """Raise the costs of searchers of some owners."""
    entries = node.routing.entries(query.service.name)
    for searcher in costs:
        if owner_of(node, entries[searcher]) in owners:
            costs[searcher] *= SAME_OWNER_FACTOR


def assign(
    node: Node,
    layout: SnapshotLayout,
    wanted: Iterable[int],
    costs: Costs,
) -> Picks:
    """Return few and fast searchers that together hold the wanted shards.

    This is the greedy weighted set cover: each step takes the searcher with
    the lowest expected time for each shard it adds. Shards that no searcher
    in ``costs`` holds are left out.
    """
    left = set(wanted)
    heap = _rated_searchers(node, layout, left, costs)
    picks: Picks = []
    while left and heap:
        rating, searcher, gain = heapq.heappop(heap)
        shards = [one for one in layout.holders[searcher] if one in left]
        if not shards:
            continue
        if len(shards) < gain:
            # Others took some of its shards since it was rated.
            rating *= gain / len(shards)
            heapq.heappush(heap, (rating, searcher, len(shards)))
            continue
        left.difference_update(shards)
        picks.append((searcher, tuple(shards)))
    return picks


def _rated_searchers(
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
