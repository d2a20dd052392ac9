"""Callers, operators and searchers around three machines."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

from tests.processes.platform_harness import (
    POLL_SECONDS,
    ZONES,
    Machine,
    MachineGroup,
)
from tests.soak.ledger import Ledger
from tests.soak.searchers import OPERATORS, Searcher

CALLERS = 3
READY = 4
ADDRESSES = 5
TOP = 4
MIN_SHARE = 0.5
DEADLINE_SECONDS = 1.5
RECOVER_SECONDS = 15
SINGLE = 'one'
# A document names one of these sets of shards; the second is a repartition.
SETS = (('s0', 's1', 's2', 's3'), ('t0', 't1', 't2'))


def make_document(version: int, shards: tuple[str, ...]) -> bytes:
    """Return a configuration with a query and an unsafe route."""
    common = {'host': 'a.example', 'timeoutMs': 1500, 'sloMs': 300}
    routes = [
        {
            'name': 'q',
            'pathPrefix': '/q/',
            'kind': 'safe',
            'gather': shards,
            'attempts': 2,
            'topK': TOP,
            'minShare': MIN_SHARE,
            **common,
        },
        {
            'name': 'u',
            'pathPrefix': '/u/',
            'kind': 'unsafe',
            'service': SINGLE,
            'attempts': 2,
            **common,
        },
    ]
    names = {SINGLE}.union(*SETS)
    services = [{'name': name, 'maxConns': 40} for name in sorted(names)]
    table = {'version': version, 'routes': routes, 'services': services}
    return json.dumps(table).encode()


class World:
    """Everything around the processes; the present time is ``now``."""

    def __init__(self, folder: Path, block: int, seed: int) -> None:
        self.random = Random(seed)
        self.ledger = Ledger()
        self.site = MachineGroup(folder, block)
        self.sent: dict[int, bytes] = {}
        self.version = 0
        self.searchers: list[Searcher] = []
        # Machines at which a planned stop runs, by its time.
        self.stopping: dict[str, float] = {}
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._asked = 0

    @property
    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    async def __aenter__(self) -> World:
        await self._stack.enter_async_context(self.site)
        number = 0
        for shards in (*SETS, (SINGLE,)):
            for place, service in enumerate(shards):
                for offset in range(2):
                    zone = ZONES[(place + offset) % len(ZONES)]
                    searcher = Searcher(number, service, zone, self)
                    await searcher.async_start()
                    self.searchers.append(searcher)
                    number += 1
        await self.async_change()
        for machine in self.site.machines:
            ready = machine.url(READY, '/ready')
            await self.site.async_call_until(200, 'GET', ready)
        for number in range(4):
            self._begin(self._async_query(number))
        self._begin(self._async_unsafe())
        self._begin(self._async_read())
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for searcher in self.searchers:
            await searcher.async_close()
        await self._stack.aclose()

    async def async_change(self) -> None:
        """Put a higher version, at any machine, until it is accepted."""
        self.version += self.random.randrange(1, 4)
        version = self.version
        shards = SETS[version % len(SETS)]
        self.sent[version] = make_document(version, shards)
        while True:
            machine = self.random.choice(self.site.machines)
            status, _, _ = await self.site.async_call(
                'POST',
                machine.url(OPERATORS, '/Config.Put'),
                self.sent[version],
            )
            if status == 200:
                break
            if 400 <= status < 500:
                self.ledger.breach(f'version {version} refused: {status}')
                break
            await asyncio.sleep(0.1)
        self.ledger.accepted = max(self.ledger.accepted, version)

    async def async_order(self, path: str, content: bytes = b'') -> None:
        """Send an order to any machine until it is acknowledged."""
        while True:
            machine = self.random.choice(self.site.machines)
            url = machine.url(OPERATORS, path)
            status, _, _ = await self.site.async_call('POST', url, content)
            if status == 200:
                return
            await asyncio.sleep(0.1)

    async def async_check_end(self) -> None:
        """Check that all machines serve whole answers, and what they hold."""
        end = self.now + RECOVER_SECONDS
        shards = SETS[self.ledger.accepted % len(SETS)]
        for machine in self.site.machines:
            while not await self._is_whole(machine, shards):
                if self.now > end:
                    self.ledger.breach(f'{machine.zone} does not recover')
                    break
                await asyncio.sleep(POLL_SECONDS)
            url = machine.url(OPERATORS, '/Config.Get')
            held, _ = await self.site.async_call_until(200, 'GET', url)
            version = json.loads(held)['version']
            if version < self.ledger.accepted:
                self.ledger.breach(f'{machine.zone} holds {version} only')
            elif held != self.sent[version]:
                self.ledger.breach(f'{machine.zone} holds another {version}')

    def _begin(self, work) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _is_whole(self, machine: Machine, shards) -> bool:
        status, fields = await self._async_ask(machine, 'end')
        if status != 200:
            return False
        return fields.get('X-Snipejunction-Missing-Parts') == '0'

    async def _async_addresses(self, zone: str) -> list[Machine]:
        machine = self.random.choice(self.site.machines)
        path = f'/resolve?name=a.example&zone={zone}&region={zone}'
        status, body, _ = await self.site.async_call(
            'GET',
            machine.url(ADDRESSES, path),
        )
        if status != 200:
            return []
        told = json.loads(body)['addrs']
        return [
            one
            for one in self.site.machines
            if f'{one.ip}:{one.port + CALLERS}' in told
        ]

    async def _async_query(self, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        machines = self.site.machines
        looked = 0.0
        while True:
            if self.now > looked + 2:
                machines = await self._async_addresses(zone) or machines
                looked = self.now
            machine = self.random.choice(machines)
            await self._async_ask(machine, 'many')
            await asyncio.sleep(self.random.uniform(0, 0.1))

    def _new_id(self, kind: str) -> str:
        self._asked += 1
        return f'{kind}-{self._asked}'

    async def _async_ask(self, machine: Machine, kind: str):
        request_id = self._new_id(kind)
        sets = self._sets()
        self.ledger.requests.append((self.now, sum(SETS, ())))
        status, body, fields = await self._async_send(
            machine,
            'GET',
            '/q/x',
            request_id,
        )
        if status == 200:
            self.ledger.check_merged(
                request_id,
                {*sets, *self._sets()},
                fields,
                body,
                TOP,
                MIN_SHARE,
            )
        elif status == 0:
            self._check_cut(machine, request_id)
        elif status == 503:
            self.ledger.promised.append(request_id)
        return status, fields

    async def _async_unsafe(self) -> None:
        while True:
            machine = self.random.choice(self.site.machines)
            request_id = self._new_id('once')
            self.ledger.requests.append((self.now, (SINGLE,)))
            status, body, fields = await self._async_send(
                machine,
                'POST',
                '/u/x',
                request_id,
                b'gift',
            )
            if status == 200:
                signature = fields.get('X-Snipejunction-Server-Stamp', '')
                found = self.ledger.records.get(signature, ('', '', []))
                if found[1] != request_id or body != b''.join(found[2]):
                    self.ledger.breach(f'{request_id}: not its own answer')
            elif status == 503:
                self.ledger.promised.append(request_id)
            elif status == 0:
                self._check_cut(machine, request_id)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def _async_send(self, machine, method, path, request_id, body=b''):
        status, content, fields = await self.site.async_call(
            method,
            machine.url(CALLERS, path),
            body,
            Host='a.example',
            X_Snipejunction_Request_Id=request_id,
            X_Snipejunction_Request_Deadline=str(int(DEADLINE_SECONDS * 1000)),
        )
        self.ledger.statuses[status] += 1
        return status, content, fields

    async def _async_read(self) -> None:
        while True:
            machine = self.random.choice(self.site.machines)
            accepted = self.ledger.accepted
            url = machine.url(OPERATORS, '/Config.Get')
            status, body, _ = await self.site.async_call('GET', url)
            if status == 200 and json.loads(body)['version'] < accepted:
                self.ledger.breach(f'{machine.zone} read below {accepted}')
            await asyncio.sleep(self.random.uniform(0, 0.4))

    def _sets(self) -> set[tuple[str, ...]]:
        """Return the sets of shards that may be in force now."""
        lowest = self.ledger.accepted
        if not self.ledger.is_calm(self.now - 8, self.now):
            lowest = 0
        recent = [one for one in self.sent if one >= lowest - 3]
        return {SETS[version % len(SETS)] for version in recent}

    def _check_cut(self, machine: Machine, request_id: str) -> None:
        """A planned stop answers what it passed on, if all else was calm.

        What crossed the close of a connection reached no searcher.
        """
        stop = self.stopping.get(machine.zone)
        if stop is None or not self.ledger.runs[request_id]:
            return
        if self.ledger.is_calm(stop - 1, self.now):
            self.ledger.breach(f'{request_id}: cut off by a planned stop')
