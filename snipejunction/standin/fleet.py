"""Many stand-in searchers of one service in one process."""

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
from snipejunction.standin.searcher import HeldShards, Searcher


# Connections shared by the announcements of all searchers.
_ANNOUNCE_CONNECTIONS: Final = 64


class FleetPlan(Record):
    """Number, placement and limits of the searchers of a service."""

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
    """Runs the searchers of a plan and announces them to the given hosts.

    Replicas of a shard are spread over the data centres.
    """

    def __init__(
        self,
        plan: FleetPlan,
        hosts: list[str],
        token: str,
        snapshots: Sequence[SnapshotId],
    ) -> None:
        """Create a fleet; entering its context starts and announces it.

        ``hosts`` are base URLs of entry hosts.
        """
        self._plan = plan
        self._hosts = hosts
        self._token = token
        self._stack = AsyncExitStack()
        self._announcers: list[Announcer] = []
        self._renewals: list[asyncio.Task[None]] = []
        self.searchers = [
            self._create_searcher(number, snapshots)
            for number in range(plan.searchers)
        ]

    @property
    def breaches(self) -> Counter[str]:
        """Return the number of breaches of limits by kind."""
        total: Counter[str] = Counter()
        for searcher in self.searchers:
            total.update(searcher.limits.breaches)
        return total

    @property
    def runs(self) -> Counter[str]:
        """Return how often each non-idempotent request ran, by request id."""
        total: Counter[str] = Counter()
        for searcher in self.searchers:
            total.update(searcher.limits.runs)
        return total

    @property
    def served(self) -> int:
        """Return the number of served requests."""
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
                Announcer(
                    searcher, self._hosts, self._token, session, first_host
                )
                for first_host, searcher in enumerate(self.searchers)
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
        """Stop all searchers without announcing that they leave."""
        await self._stack.aclose()

    async def async_announce(self) -> None:
        """Announce all searchers and wait until each is accepted."""
        await asyncio.gather(
            *(announcer.async_announce() for announcer in self._announcers),
        )

    async def async_leave(self, number: int) -> None:
        """Announce that one searcher leaves.

        Return once no new work can reach it.
        """
        await self._announcers[number].async_leave()

    async def async_replace_snapshots(
        self, snapshots: Sequence[SnapshotId]
    ) -> None:
        """Replace the snapshots of all searchers and announce the change."""
        for number, searcher in enumerate(self.searchers):
            searcher.held = self._assigned_shards(number, snapshots)
        await self.async_announce()

    def _create_searcher(
        self,
        number: int,
        snapshots: Sequence[SnapshotId],
    ) -> Searcher:
        plan = self._plan
        replica = number // plan.shards
        data_centre_index = (number + replica) % len(plan.data_centres)
        base = plan.service.replace('/', '-')
        return Searcher(
            f'{base}-{number:03}',
            plan.service,
            plan.data_centres[data_centre_index],
            self._assigned_shards(number, snapshots),
            Limits(plan.slots, plan.connections, plan.cold_capacity),
            Behaviour(plan.delay, plan.delay, seed=number),
        )

    def _assigned_shards(
        self, number: int, snapshots: Sequence[SnapshotId]
    ) -> HeldShards:
        held: HeldShards = {}
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
