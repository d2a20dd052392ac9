"""The platform's processes, started as the deploy file starts them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import tomllib
from contextlib import AsyncExitStack
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals, Is, LessThan

from snipejunction.platform import names
from tests.edge.gateway.scripted import ReceivedRequest, ScriptedSearcher
from tests.processes.harness import in_loop
from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    ROOT,
    ZONES,
    Machine,
    Site,
)

SHARDS = ('s0', 's1')
OPERATORS = 2
CALLERS = 3
READY = 4
ADDRESSES = 5
METRICS = 7
# Requests of the test of a paused reader, at the same time and in a row.
BATCH = 20
BATCHES = 60
# What the log may cost a serving process, from the issue.
MAX_GROWTH_MEGABYTES = 2
PUT = '/Config.Put'
GET = '/Config.Get'


async def async_serve(received: ReceivedRequest) -> None:
    """Answer with one record that names the expected searcher."""
    searcher = received.header('x-snipejunction-expect-instance')
    body = searcher.encode().ljust(16, b'-')
    request_id = received.header('x-snipejunction-request-id')
    head = (
        f'HTTP/1.1 200 OK\r\nX-Snipejunction-Request-Id: {request_id}\r\n'
        f'X-Snipejunction-Server-Stamp: {searcher}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    received.writer.write(head.encode())
    received.writer.write(body)


def document(version: int) -> bytes:
    """Return a configuration with a route over all shards."""
    route = {
        'name': 'r',
        'host': 'a.example',
        'pathPrefix': '/q/',
        'kind': 'safe',
        'timeoutMs': 2000,
        'sloMs': 500,
        'gather': SHARDS,
        'attempts': 2,
        'topK': 5,
        'minShare': 1,
    }
    services = [{'name': name, 'maxConns': 30} for name in SHARDS]
    table = {'version': version, 'routes': [route], 'services': services}
    return json.dumps(table).encode()


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


class PlatformProcessesTest(TestCase):
    """Three machines with both roles, and two searchers."""

    async def async_open(self, stack: AsyncExitStack) -> Site:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = await stack.enter_async_context(Site(Path(folder), 77))
        self.searchers = {}
        for name in SHARDS:
            searcher = ScriptedSearcher(async_serve)
            await stack.enter_async_context(searcher)
            self.searchers[name] = searcher
        self.beats = asyncio.ensure_future(self.async_announce())
        stack.callback(self.beats.cancel)
        return self.site

    async def async_announce(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for number, name in enumerate(SHARDS):
                machine = self.site.machines[(sequence + number) % len(ZONES)]
                content = json.dumps(
                    {
                        'service': name,
                        'address': self.searchers[name].address,
                        'zone': ZONES[number],
                        'slots': 4,
                        'state': 'ready',
                        'coldLeftMs': 0,
                        'sequence': sequence,
                        'born': 1,
                    },
                ).encode()
                url = machine.url(OPERATORS, f'/Instances.Heartbeat/i-{name}')
                await self.site.async_call('POST', url, content)
            await asyncio.sleep(0.1)

    async def async_ask(self, machine: Machine):
        return await self.site.async_until(
            200,
            'GET',
            machine.url(CALLERS, '/q/x'),
            Host='a.example',
            X_Snipejunction_Request_Id='r1',
            X_Snipejunction_Request_Deadline='1500',
        )

    @in_loop
    async def test_calm(self) -> None:
        """A document is taken, and every machine serves and is named."""
        async with AsyncExitStack() as stack:
            site = await self.async_open(stack)
            first, second, third = site.machines
            url = first.url(OPERATORS, PUT)
            await site.async_until(200, 'POST', url, document(3))
            bad = document(9)[:-9]
            status, _, _ = await site.async_call('POST', url, bad)
            self.assertThat(status, Equals(400))
            for machine in site.machines:
                body, fields = await self.async_ask(machine)
                self.assertThat(
                    body, Equals(b'i-s1------------i-s0------------')
                )
                self.assertThat(
                    fields['X-Snipejunction-Part-Stamps'],
                    Equals('i-s0, i-s1'),
                )
                ready = machine.url(READY, '/ready')
                await site.async_until(200, 'GET', ready)
            held, _ = await site.async_until(
                200,
                'GET',
                second.url(OPERATORS, GET),
            )
            self.assertThat(held, Equals(document(3)))
            where = third.url(ADDRESSES, '/resolve?zone=two&region=two')
            expected = [f'{second.ip}:{second.port + CALLERS}']
            # Control hosts tell each other of entry hosts within moments of
            # their readiness; the time of the test bounds the wait.
            addresses: list[str] = []
            while addresses != expected:
                told, _ = await site.async_until(200, 'GET', where)
                addresses = json.loads(told)['addrs']
            shown, _ = await site.async_until(
                200,
                'GET',
                first.url(METRICS, '/metrics'),
            )
            self.assertThat(
                shown, Contains(b'snipejunction_document_version 3')
            )

    @in_loop
    async def test_all_control_processes_killed(self) -> None:
        """Callers are served on, and what was accepted is read back."""
        async with AsyncExitStack() as stack:
            site = await self.async_open(stack)
            url = site.machines[0].url(OPERATORS, PUT)
            await site.async_until(200, 'POST', url, document(5))
            for machine in site.machines:
                await self.async_ask(machine)
            for machine in site.machines:
                machine.processes[CONTROL].kill()
            for machine in site.machines:
                await machine.processes[CONTROL].wait()
                await self.async_ask(machine)
            for machine in site.machines:
                machine.is_first_start = False
                await machine.async_start(CONTROL)
            last = site.machines[2].url(OPERATORS, GET)
            held, _ = await site.async_until(200, 'GET', last)
            self.assertThat(held, Equals(document(5)))

    @in_loop
    async def test_planned_stop(self) -> None:
        """A machine that stops is not ready, ends well and is not named."""
        async with AsyncExitStack() as stack:
            site = await self.async_open(stack)
            first, second, _ = site.machines
            url = first.url(OPERATORS, PUT)
            await site.async_until(200, 'POST', url, document(1))
            await self.async_ask(second)
            entry = second.processes[ENTRY]
            entry.send_signal(signal.SIGTERM)
            ready = second.url(READY, '/ready')
            await site.async_until(503, 'GET', ready)
            await self.async_ask(second)
            self.assertThat(await entry.wait(), Equals(0))
            where = first.url(ADDRESSES, '/resolve?zone=two&region=two')
            told, _ = await site.async_until(200, 'GET', where)
            gone = f'{second.ip}:{second.port + CALLERS}'
            self.assertThat(gone in json.loads(told)['addrs'], Is(False))
            control = second.processes[CONTROL]
            control.send_signal(signal.SIGTERM)
            self.assertThat(await control.wait(), Equals(0))

    @in_loop
    async def test_paused_reader_of_the_log(self) -> None:
        """Lines that nobody reads cost no answer and no memory."""
        async with AsyncExitStack() as stack:
            site = await self.async_open(stack)
            first = site.machines[0]
            url = first.url(OPERATORS, PUT)
            await site.async_until(200, 'POST', url, document(1))
            reading, writing = os.pipe()
            stack.callback(os.close, reading)
            first.processes[ENTRY].kill()
            await first.processes[ENTRY].wait()
            first.is_first_start = False
            await first.async_start(ENTRY, writing)
            os.close(writing)
            await self.async_ask(first)
            before = resident_megabytes(first.processes[ENTRY].pid)
            # Up to 40 lines a second of each kind, of 300 bytes, for some
            # seconds: more than a pipe holds.
            for _ in range(BATCHES):
                await asyncio.gather(
                    *(self.async_ask(first) for _ in range(BATCH)),
                )
            grown = resident_megabytes(first.processes[ENTRY].pid) - before
            self.assertThat(grown, LessThan(MAX_GROWTH_MEGABYTES))

    @in_loop
    async def test_garbage_on_each_port(self) -> None:
        """Bytes that mean nothing end no process."""
        async with AsyncExitStack() as stack:
            site = await self.async_open(stack)
            first = site.machines[0]
            url = first.url(OPERATORS, PUT)
            await site.async_until(200, 'POST', url, document(1))
            await self.async_ask(first)
            for offset in range(8):
                reader, writer = await asyncio.open_connection(
                    first.ip,
                    first.port + offset,
                )
                writer.write(b'\xff\x00garbage\r\n\r\n' * 99)
                writer.close()
                await asyncio.wait([asyncio.ensure_future(reader.read())])
            await self.async_ask(first)
            for process in first.processes.values():
                self.assertThat(process.returncode, Is(None))


class DeployFileTest(TestCase):
    """deploy/system.toml."""

    def test_roles(self) -> None:
        """Each role runs a module of the adapter and shows its metrics."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        for role, table in deploy['roles'].items():
            module = f'snipejunction.platform.{role}'
            self.assertThat(table['run'], Contains(module))
            port = table['metrics'].partition('/')[0]
            self.assertThat(table['run'], Contains(f'--metrics-port {port}'))

    def test_requirements_are_locked(self) -> None:
        """The processes get the versions that the tests ran with."""
        locked = (ROOT / 'requirements-dev.txt').read_text().split()
        wanted = (ROOT / 'deploy/requirements.txt').read_text().split()
        self.assertThat(set(wanted) - set(locked), Equals(set()))

    def test_settings_variable(self) -> None:
        """The variable of the settings file is the platform's."""
        self.assertThat(names.SETTINGS_VARIABLE, Equals('SNIPEJUNCTION_BOOT'))
