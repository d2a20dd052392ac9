"""The steps of the demonstration, each with the promises that it shows."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from snipejunction.cli.client import ClientSettings, ApiClient
from snipejunction.cli.output import print_line
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.caller import NOT_RUN, Caller, Reply
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    LocalCluster,
)
from snipejunction.demo.load import Load, LoadReport
from snipejunction.standin.fleet import Fleet

OLD: Final = SnapshotId(1, '12')
NEW: Final = SnapshotId(2, '12')

_CALLERS: Final = 6
_ANSWERS: Final = 150
_SETTLE_SECONDS: Final = 1.0
# How long after the answer to a drain new work may still come.
_DRAIN_BOUND_SECONDS: Final = 0.0
_WARM_UP_SECONDS: Final = 15


class Show:
    """Runs the steps and keeps the promises that were broken."""

    def __init__(self, cluster: LocalCluster, fleet: Fleet) -> None:
        """Create a demonstration on a running cluster."""
        self._cluster = cluster
        self._fleet = fleet
        self._seed = 0
        self.broken: list[str] = []

    async def async_run(self, *, is_staying: bool) -> None:
        """Run all steps; hosts that are to stay are not stopped."""
        await self._async_wait_ready()
        await self._async_search()
        await self._async_loan()
        await self._async_roll()
        await self._async_drain()
        if not is_staying:
            await self._async_stop_host()
        breaches = dict(self._fleet.breaches)
        self._promise('upstreams saw none of their limits broken', not breaches)
        print_line(f'   breaches counted by the upstreams: {breaches}')

    async def _async_wait_ready(self) -> None:
        """Wait until the first search is answered."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _WARM_UP_SECONDS
        async with Caller(self._cluster.addresses, CALLER_TOKEN) as caller:
            while loop.time() < until:
                reply = await caller.async_search(
                    SERVICE,
                    {'query': {'text': 'red'}},
                )
                if reply.is_ok:
                    return
        self._promise('a first search is answered', holds=False)

    async def _async_search(self) -> None:
        print_line('1. Broad searches, checked against a scan of all records')
        async with self._load() as load:
            await load.async_until(_ANSWERS)
        self._judge(load.report)
        self._promise('every answer is whole', load.report.worst_coverage == 1)

    async def _async_loan(self) -> None:
        print_line('2. One loan, sent three times to three hosts')
        loan = {'request_id': 'loan-1', 'key': 'family-7', 'body': {'toy': 9}}
        replies = await asyncio.gather(
            *(self._async_lend(loan, turn) for turn in range(3)),
        )
        async with Caller(self._cluster.addresses, CALLER_TOKEN) as caller:
            other = await caller.async_run(SERVICE, {**loan, 'body': {}})
        outcomes = [reply.document.get('outcome') for reply in replies]
        print_line(f'   outcomes: {outcomes}')
        print_line(f'   same id, other content: {other.document}')
        self._promise(
            'the loan ran once',
            self._fleet.runs['loan-1'] == 1,
        )
        self._promise(
            'each resend got the first outcome',
            outcomes[0] is not None and outcomes == outcomes[:1] * 3,
        )
        self._promise(
            'the same id with other content did not run',
            other.document.get('verdict') == NOT_RUN,
        )

    async def _async_lend(self, loan: dict[str, Any], turn: int) -> Reply:
        """Send a loan to one host, and again if that does not answer."""
        address = self._cluster.addresses[turn]
        async with Caller([address], CALLER_TOKEN) as caller:
            return await caller.async_run_at(address, SERVICE, loan)

    async def _async_roll(self) -> None:
        print_line('3. A new snapshot rolled out under load')
        async with self._load() as load:
            await load.async_until(_ANSWERS // 2)
            await self._fleet.async_replace_snapshots((OLD, NEW))
            await load.async_until(_ANSWERS // 2)
            await self._fleet.async_replace_snapshots((NEW,))
            await load.async_until(_ANSWERS)
        self._judge(load.report)
        print_line(f'   answers by version: {dict(load.report.snapshots)}')
        self._promise(
            'the new snapshot answers',
            load.report.snapshots[str(NEW.version)] > 0,
        )

    async def _async_drain(self) -> None:
        place = self._fleet.searchers[0].data_centre
        print_line(f'4. Data centre {place} drained and restored under load')
        async with self._load() as load:
            await load.async_until(_ANSWERS // 2)
            seconds = await self._async_set_state(place, 'out')
            accepted = asyncio.get_running_loop().time()
            await asyncio.sleep(_SETTLE_SECONDS)
            await load.async_until(_ANSWERS // 2)
            late = self._last_work(place) - accepted
            await self._async_set_state(place, 'in')
            restored = asyncio.get_running_loop().time()
            await asyncio.sleep(_SETTLE_SECONDS)
            await load.async_until(_ANSWERS)
        self._judge(load.report)
        print_line(f'   accepted and in force after {seconds:.3f} s')
        print_line(f'   last new work {late:+.3f} s from then')
        self._promise(
            'no new work after the drain was accepted',
            late <= _DRAIN_BOUND_SECONDS,
        )
        self._promise(
            'every answer is whole',
            load.report.worst_coverage == 1,
        )
        self._promise(
            'work returned after the restore',
            self._last_work(place) > restored,
        )

    async def _async_stop_host(self) -> None:
        print_line('5. One host stopped as planned, under load')
        host = self._cluster.hosts[-1]
        async with self._load() as load:
            await load.async_until(_ANSWERS // 2)
            host.request_stop()
            await host.async_wait()
            await load.async_until(_ANSWERS // 2)
        self._judge(load.report)
        self._promise('no request was cut off', not load.report.failed)

    async def _async_set_state(self, place: str, state: str) -> float:
        """Return the seconds until the change was in force everywhere."""
        loop = asyncio.get_running_loop()
        access = ClientSettings(tuple(self._cluster.addresses), OPERATOR_TOKEN)
        begun = loop.time()
        async with ApiClient(access) as client:
            current = await client.async_request('GET', '/v1/settings')
            change: dict[str, Any] = {
                'change_id': f'{place}-{state}-{current["revision"]}',
                'base': current['revision'],
                'state': state,
            }
            await client.async_request(
                'PUT', f'/v1/data-centres/{place}', change
            )
        return loop.time() - begun

    def _last_work(self, place: str) -> float:
        return max(
            searcher.last_request_at
            for searcher in self._fleet.searchers
            if searcher.data_centre == place
        )

    def _load(self) -> Load:
        self._seed += 1
        return Load(self._cluster.addresses, _CALLERS, self._seed)

    def _judge(self, report: LoadReport) -> None:
        print_line(f'   {report.summary()}')
        self._promise(
            'every answer is true to one snapshot',
            not report.false_answers,
        )
        for problem in report.false_answers[:3]:
            print_line(f'      {problem}')
        self._promise(
            'every search was answered',
            not report.failed,
        )

    def _promise(self, promise: str, holds: bool) -> None:
        print_line(f'   {"holds " if holds else "BROKEN"} {promise}')
        if not holds:
            self.broken.append(promise)
