"""Callers, operators and searchers of the soak test."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import AsyncExitStack
from itertools import cycle
from pathlib import Path
from random import Random

from tests.processes.platform_harness import (
    POLL_SECONDS,
    ZONES,
    Machine,
    MachineGroup,
)
from tests.soak.customers import (
    KEYS,
    PLAIN_KEY,
    WRONG_KEYS,
    CustomerChecker,
    make_customers,
)
from tests.soak.ledger import InvariantChecker
from tests.soak.searchers import OPERATORS, Searcher

CALLERS = 3
READY = 4
ADDRESSES = 5
TOP = 4
MIN_SHARE = 0.5
DEADLINE_SECONDS = 1.5
RECOVERY_SECONDS = 15
# Time within which an acknowledged configuration is in force.
IN_FORCE_SECONDS = 3
UNSAFE_SERVICE = 'one'
# Each document configures one of these shard sets; the second is the service
# after repartitioning.
SHARD_SETS = (('s0', 's1', 's2', 's3'), ('t0', 't1', 't2'))


def make_document(version: int, shards: tuple[str, ...]) -> bytes:
    """Return a configuration with a gathered route and an unsafe route.

    A third route exists in this version only.
    """
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
            'name': f'v{version}',
            'pathPrefix': f'/v{version}/',
            'kind': 'safe',
            'service': UNSAFE_SERVICE,
            'attempts': 2,
            **common,
        },
        {
            'name': 'k',
            'pathPrefix': '/k/',
            'kind': 'safe',
            'service': UNSAFE_SERVICE,
            'attempts': 2,
            **common,
        },
        {
            'name': 'u',
            'pathPrefix': '/u/',
            'kind': 'unsafe',
            'service': UNSAFE_SERVICE,
            'attempts': 2,
            **common,
        },
    ]
    names = {UNSAFE_SERVICE}.union(*SHARD_SETS)
    services = [{'name': name, 'maxConns': 40} for name in sorted(names)]
    table = {
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': make_customers(version),
    }
    return json.dumps(table).encode()


class SoakEnvironment:
    """Runs callers, operators and searchers against three machines."""

    def __init__(
        self, folder: Path, block: int, seed: int, bounds: tuple[str, ...] = ()
    ) -> None:
        self.random = Random(seed)
        self.checker = InvariantChecker()
        self.customers = CustomerChecker(self.checker)
        self.site = MachineGroup(folder, block)
        for machine in self.site.machines:
            machine.bounds.extend(bounds)
        self.sent: dict[int, bytes] = {}
        self.version = 0
        self.searchers: list[Searcher] = []
        # Searchers of targets of roll-outs and of replaced versions.
        self.targets: list[Searcher] = []
        # Start time of each planned stop in progress, by zone.
        self.stopping: dict[str, float] = {}
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._request_count = 0

    @property
    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    async def __aenter__(self) -> SoakEnvironment:
        await self._stack.enter_async_context(self.site)
        number = 0
        for shards in (*SHARD_SETS, (UNSAFE_SERVICE,)):
            for shard_index, service in enumerate(shards):
                for offset in range(2):
                    zone = ZONES[(shard_index + offset) % len(ZONES)]
                    searcher = Searcher(number, service, zone, self)
                    await searcher.async_start()
                    self.searchers.append(searcher)
                    number += 1
        await self.async_change()
        for machine in self.site.machines:
            ready = machine.url(READY, '/ready')
            await self.site.async_call_until(200, 'GET', ready)
        for number in range(4):
            self._start_task(self._async_send_queries(number))
        self._start_task(self._async_send_unsafe_requests())
        self._start_task(self._async_read_config())
        self._start_task(self._async_send_with_keys())
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        searchers = self.searchers + self.targets
        for searcher in searchers:
            await searcher.async_close()
        await self._stack.aclose()

    async def async_change(self) -> None:
        """Submit a higher version to random machines until it is accepted."""
        self.version += self.random.randrange(1, 4)
        version = self.version
        shards = SHARD_SETS[version % len(SHARD_SETS)]
        self.sent[version] = make_document(version, shards)
        self.customers.record_sent(version, self.now)
        while True:
            machine = self.random.choice(self.site.machines)
            status, _, _ = await self.site.async_call(
                'POST',
                machine.url(OPERATORS, '/Config.Put'),
                self.sent[version],
            )
            if status == 200:
                self.customers.record_acknowledged(version, self.now)
                break
            if 400 <= status < 500:
                self.checker.add_violation(
                    f'version {version} refused: {status}'
                )
                break
            await asyncio.sleep(0.1)
        self.checker.accepted = max(self.checker.accepted, version)

    async def async_send_plain(self, *, is_even: bool) -> None:
        """Send requests to one service until cancelled.

        They are on both of its routes if ``is_even``, else on the safe one.
        """
        for machine in cycle(self.site.machines):
            await self._async_send_plain(machine, 2 if is_even else 1)
            await asyncio.sleep(POLL_SECONDS)

    async def async_check_in_force(self) -> None:
        """Check that all machines serve the route of the last change."""
        start = self.now
        path = f'/v{self.version}/x'
        for machine in self.site.machines:
            status = 0
            while status != 200 and self.now < start + IN_FORCE_SECONDS:
                status, _, _ = await self._async_send(
                    machine, 'GET', path, self._new_id('force')
                )
                await asyncio.sleep(POLL_SECONDS)
            if status != 200 and self.checker.is_undisturbed(start, self.now):
                self.checker.add_violation(
                    f'{machine.zone} does not serve {path}'
                )

    async def async_send_command(self, path: str, content: bytes = b'') -> None:
        """Send a command to random machines until it is acknowledged."""
        while True:
            machine = self.random.choice(self.site.machines)
            url = machine.url(OPERATORS, path)
            status, _, _ = await self.site.async_call('POST', url, content)
            if status == 200:
                return
            await asyncio.sleep(0.1)

    async def async_check_end(self) -> None:
        """Check that all machines recover and store the accepted document."""
        end = self.now + RECOVERY_SECONDS
        shards = SHARD_SETS[self.checker.accepted % len(SHARD_SETS)]
        for machine in self.site.machines:
            while not await self._is_complete(machine, shards):
                if self.now > end:
                    self.checker.add_violation(
                        f'{machine.zone} does not recover'
                    )
                    break
                await asyncio.sleep(POLL_SECONDS)
            url = machine.url(OPERATORS, '/Config.Get')
            stored, _ = await self.site.async_call_until(200, 'GET', url)
            version = json.loads(stored)['version']
            if version < self.checker.accepted:
                self.checker.add_violation(
                    f'{machine.zone} holds {version} only'
                )
            elif stored != self.sent[version]:
                self.checker.add_violation(
                    f'{machine.zone} holds another {version}'
                )

    def _start_task(self, work) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _is_complete(self, machine: Machine, shards) -> bool:
        status, fields = await self._async_send_query(machine, 'end')
        if status != 200:
            return False
        return fields.get('X-Snipejunction-Missing-Parts') == '0'

    async def _async_fetch_addresses(self, zone: str) -> list[Machine]:
        machine = self.random.choice(self.site.machines)
        path = f'/resolve?name=a.example&zone={zone}&region={zone}'
        status, body, _ = await self.site.async_call(
            'GET',
            machine.url(ADDRESSES, path),
        )
        if status != 200:
            return []
        addresses = json.loads(body)['addrs']
        return [
            candidate
            for candidate in self.site.machines
            if f'{candidate.ip}:{candidate.port + CALLERS}' in addresses
        ]

    async def _async_send_queries(self, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        machines = self.site.machines
        refreshed_at = 0.0
        while True:
            if self.now > refreshed_at + 2:
                machines = await self._async_fetch_addresses(zone) or machines
                refreshed_at = self.now
            machine = self.random.choice(machines)
            await self._async_send_query(machine, 'many')
            await asyncio.sleep(self.random.uniform(0, 0.1))

    def _new_id(self, kind: str) -> str:
        self._request_count += 1
        return f'{kind}-{self._request_count}'

    async def _async_send_query(self, machine: Machine, kind: str):
        request_id = self._new_id(kind)
        sets = self._current_shard_sets()
        self.checker.requests.append((self.now, sum(SHARD_SETS, ())))
        status, body, fields = await self._async_send(
            machine,
            'GET',
            '/q/x',
            request_id,
        )
        if status == 200:
            self.checker.check_gathered_answer(
                request_id,
                {*sets, *self._current_shard_sets()},
                fields,
                body,
                TOP,
                MIN_SHARE,
            )
        elif status == 0:
            self._check_interrupted(machine, request_id)
        elif status == 503:
            self.checker.refused_ids.append(request_id)
        return status, fields

    async def _async_send_plain(self, machine: Machine, routes: int) -> None:
        path = f'/v{self.version}/x'
        calls = (('GET', path, 'plain'), ('POST', '/u/x', 'once'))
        for method, sent_path, kind in calls[:routes]:
            self.checker.requests.append((self.now, (UNSAFE_SERVICE,)))
            request_id = self._new_id(kind)
            await self._async_send(machine, method, sent_path, request_id)

    async def _async_send_unsafe_requests(self) -> None:
        while True:
            machine = self.random.choice(self.site.machines)
            request_id = self._new_id('once')
            self.checker.requests.append((self.now, (UNSAFE_SERVICE,)))
            status, body, fields = await self._async_send(
                machine,
                'POST',
                '/u/x',
                request_id,
                b'gift',
            )
            if status == 200:
                signature = fields.get('X-Snipejunction-Server-Stamp', '')
                found = self.checker.records.get(signature, ('', '', []))
                if found[1] != request_id or body != b''.join(found[2]):
                    self.checker.add_violation(
                        f'{request_id}: not its own answer'
                    )
            elif status == 503:
                self.checker.refused_ids.append(request_id)
            elif status == 0:
                self._check_interrupted(machine, request_id)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def _async_send_with_keys(self) -> None:
        """Send requests of all customers, and with keys of none.

        Together they are more than the quota that one of them has.
        """
        keys = (*KEYS, *WRONG_KEYS)
        while True:
            tasks = []
            for key in keys:
                machine = self.random.choice(self.site.machines)
                request_id = self._new_id('key')
                self.checker.requests.append((self.now, (UNSAFE_SERVICE,)))
                send = self._async_send(
                    machine, 'GET', '/k/x', request_id, key=key
                )
                tasks.append(send)
            await asyncio.gather(*tasks)
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def _async_send(
        self, machine, method, path, request_id, body=b'', key=PLAIN_KEY
    ):
        self.customers.record_request(request_id, key, self.now)
        status, content, fields = await self.site.async_call(
            method,
            machine.url(CALLERS, path),
            body,
            Host='a.example',
            X_Snipejunction_Key=key,
            X_Snipejunction_Request_Id=request_id,
            X_Snipejunction_Request_Deadline=str(int(DEADLINE_SECONDS * 1000)),
        )
        self.customers.record_status(request_id, status, self.now)
        self.checker.statuses[status] += 1
        return status, content, fields

    async def _async_read_config(self) -> None:
        while True:
            machine = self.random.choice(self.site.machines)
            accepted = self.checker.accepted
            url = machine.url(OPERATORS, '/Config.Get')
            status, body, _ = await self.site.async_call('GET', url)
            if status == 200 and json.loads(body)['version'] < accepted:
                self.checker.add_violation(
                    f'{machine.zone} read below {accepted}'
                )
            await asyncio.sleep(self.random.uniform(0, 0.4))

    def _current_shard_sets(self) -> set[tuple[str, ...]]:
        """Return the shard sets that may be configured now."""
        min_version = self.checker.accepted
        if not self.checker.is_undisturbed(self.now - 8, self.now):
            min_version = 0
        recent = [sent for sent in self.sent if sent >= min_version - 3]
        return {SHARD_SETS[version % len(SHARD_SETS)] for version in recent}

    def _check_interrupted(self, machine: Machine, request_id: str) -> None:
        """Check that a planned stop did not interrupt a forwarded request.

        Only checked without other disruptions. A request sent while the
        connection closed reached no searcher.
        """
        stop = self.stopping.get(machine.zone)
        if stop is None or not self.checker.runs[request_id]:
            return
        if self.checker.is_undisturbed(stop - 1, self.now):
            self.checker.add_violation(
                f'{request_id}: cut off by a planned stop'
            )
