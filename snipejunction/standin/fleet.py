"""Many stand-ins of one service in one process."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Final

from aiohttp import ClientSession, TCPConnector

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.helpers.records import Record
from snipejunction.standin.announcer import Announcer
from snipejunction.standin.behaviour import Behaviour
from snipejunction.standin.limits import Limits
from snipejunction.standin.searcher import Held, Searcher


# Connections over which all searchers announce themselves.
_ANNOUNCE_CONNECTIONS: Final = 64


class FleetPlan(Record):
    """Sizes of the searchers of a service."""

    __slots__ = (
        'cold_capacity',
        'connections',
        'data_centres',
        'delay',
        'searchers',
        'service',
        'shards',
        'slots',
    )

    def __init__(
        self,
        service: str,
        data_centres: Sequence[str],
        searchers: int,
        shards: int,
        slots: int = 3,
        connections: int = 30,
        cold_capacity: int = 1,
        delay: float = 0.002,
    ) -> None:
        """Create a plan; each shard gets ``searchers / shards`` replicas."""
        self.service = service
        self.data_centres = data_centres
        self.searchers = searchers
        self.shards = shards
        self.slots = slots
        self.connections = connections
        self.cold_capacity = cold_capacity
        self.delay = delay


class Fleet:
    """The searchers of a plan, announced to the given hosts.

    Replicas of a shard lie in different data centres as far as they go.
    """

    def __init__(
        self,
        plan: FleetPlan,
        hosts: list[str],
        token: str,
        snapshots: Sequence[SnapshotId],
    ) -> None:
        """Create a fleet; entering its context starts and announces it."""
        self._plan = plan
        self._hosts = hosts
        self._token = token
        self._stack = AsyncExitStack()
        self._announcers: list[Announcer] = []
        self._renewals: list[asyncio.Task[None]] = []
        self.searchers = [
            self._make(number, snapshots) for number in range(plan.searchers)
        ]

    @property
    def breaches(self) -> Counter[str]:
        """Return all breaches of limits, by kind."""
        total: Counter[str] = Counter()
        for searcher in self.searchers:
            total.update(searcher.limits.breaches)
        return total

    @property
    def runs(self) -> Counter[str]:
        """Return how often each request that is not idempotent ran."""
        total: Counter[str] = Counter()
        for searcher in self.searchers:
            total.update(searcher.limits.runs)
        return total

    @property
    def served(self) -> int:
        """Return the number of requests that were served."""
        return sum(searcher.limits.served for searcher in self.searchers)

    async def __aenter__(self) -> Fleet:
        """Start all searchers and announce them."""
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                ClientSession(
                    connector=TCPConnector(limit=_ANNOUNCE_CONNECTIONS)
                ),
            )
            await asyncio.gather(
                *map(stack.enter_async_context, self.searchers),
            )
            self._announcers = [
                Announcer(searcher, self._hosts, self._token, session, turn)
                for turn, searcher in enumerate(self.searchers)
            ]
            stack.push_async_callback(self._async_stop_renewals)
            await self.async_announce()
            self._renewals = [
                asyncio.create_task(announcer.async_run())
                for announcer in self._announcers
            ]
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Stop all searchers at once."""
        await self._stack.aclose()

    async def async_announce(self) -> None:
        """Announce all searchers now."""
        await asyncio.gather(
            *(announcer.async_announce() for announcer in self._announcers),
        )

    async def async_leave(self, number: int) -> None:
        """Let one searcher leave; return once no new work can reach it."""
        await self._announcers[number].async_leave()

    async def async_hold(self, snapshots: Sequence[SnapshotId]) -> None:
        """Let all searchers hold these snapshots, and announce it."""
        for number, searcher in enumerate(self.searchers):
            searcher.held = self._held(number, snapshots)
        await self.async_announce()

    def _make(
        self,
        number: int,
        snapshots: Sequence[SnapshotId],
    ) -> Searcher:
        plan = self._plan
        replica = number // plan.shards
        place = (number + replica) % len(plan.data_centres)
        base = plan.service.replace('/', '-')
        return Searcher(
            f'{base}-{number:03}',
            plan.service,
            plan.data_centres[place],
            self._held(number, snapshots),
            Limits(plan.slots, plan.connections, plan.cold_capacity),
            Behaviour(plan.delay, plan.delay, seed=number),
        )

    def _held(self, number: int, snapshots: Sequence[SnapshotId]) -> Held:
        held: Held = {}
        for snapshot in snapshots:
            count = int(snapshot.layout)
            held[snapshot] = tuple(
                shard
                for shard in range(count)
                if shard % self._plan.shards == number % self._plan.shards
            )
        return held

    async def _async_stop_renewals(self) -> None:
        for renewal in self._renewals:
            renewal.cancel()
        await asyncio.gather(*self._renewals, return_exceptions=True)
