"""Tests of the platform's processes, started as in the deploy file."""

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
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan

from snipejunction.platform import names
from tests.edge.gateway.scripted import ReceivedRequest, ScriptedSearcher
from tests.processes.harness import in_loop
from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    NO_LIMITS,
    ROOT,
    ZONES,
    Machine,
    MachineGroup,
)

SHARDS = ('s0', 's1')
OPERATOR_PORT = 2
CALLER_PORT = 3
READY_PORT = 4
ADDRESS_PORT = 5
METRICS_PORT = 7
# Concurrent requests and batches in the test of a paused log reader.
CONCURRENT_REQUESTS = 20
BATCHES = 60
# Memory that a blocked log may cost a serving process.
MAX_GROWTH_MEGABYTES = 2
# Requests that would reach each usable searcher.
REQUESTS_PER_MACHINE = 30
PUT = '/Config.Put'
GET = '/Config.Get'


async def async_serve(received: ReceivedRequest) -> None:
    """Answer with one record that contains the expected searcher."""
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


def make_document(version: int) -> bytes:
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
    role_table = {'version': version, 'routes': [route], 'services': services}
    return json.dumps(role_table).encode()


def make_heartbeat(
    service: str, address: str, zone: str, sequence: int
) -> bytes:
    """Return a heartbeat of a searcher that is ready."""
    fields = {
        'service': service,
        'address': address,
        'zone': zone,
        'slots': 4,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': sequence,
        'born': 1,
    }
    return json.dumps(fields).encode()


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


class PlatformCase(TestCase):
    """Three machines of both roles and two searchers."""

    limits = NO_LIMITS

    async def async_serve_request(self, received: ReceivedRequest) -> None:
        await async_serve(received)

    async def async_start_site(self, stack: AsyncExitStack) -> MachineGroup:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = await stack.enter_async_context(
            MachineGroup(Path(folder), 77, self.limits)
        )
        self.searchers = {}
        for name in SHARDS:
            searcher = ScriptedSearcher(self.async_serve_request)
            await stack.enter_async_context(searcher)
            self.searchers[name] = searcher
        self.heartbeat_task = asyncio.ensure_future(
            self.async_send_heartbeats()
        )
        stack.callback(self.heartbeat_task.cancel)
        return self.site

    async def async_send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for number, name in enumerate(SHARDS):
                machine = self.site.machines[(sequence + number) % len(ZONES)]
                content = make_heartbeat(
                    name,
                    self.searchers[name].address,
                    ZONES[number],
                    sequence,
                )
                url = machine.url(
                    OPERATOR_PORT, f'/Instances.Heartbeat/i-{name}'
                )
                await self.site.async_call('POST', url, content)
            await asyncio.sleep(0.1)

    async def async_ask(self, machine: Machine):
        return await self.site.async_call_until(
            200,
            'GET',
            machine.url(CALLER_PORT, '/q/x'),
            Host='a.example',
            X_Snipejunction_Request_Id='r1',
            X_Snipejunction_Request_Deadline='1500',
        )


class PlatformProcessesTest(PlatformCase):
    """Documents, restarts and planned stops."""

    @in_loop
    async def test_calm(self) -> None:
        """A document is accepted; all machines serve and are listed."""
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            first, second, third = site.machines
            url = first.url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(3))
            invalid = make_document(9)[:-9]
            status, _, _ = await site.async_call('POST', url, invalid)
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
                ready = machine.url(READY_PORT, '/ready')
                await site.async_call_until(200, 'GET', ready)
            stored, _ = await site.async_call_until(
                200,
                'GET',
                second.url(OPERATOR_PORT, GET),
            )
            self.assertThat(stored, Equals(make_document(3)))
            addresses_url = third.url(
                ADDRESS_PORT, '/resolve?zone=two&region=two'
            )
            expected = [f'{second.ip}:{second.port + CALLER_PORT}']
            # Control hosts exchange the ready entry hosts with a short delay;
            # the timeout of the test bounds the wait.
            addresses: list[str] = []
            while addresses != expected:
                addresses_body, _ = await site.async_call_until(
                    200, 'GET', addresses_url
                )
                addresses = json.loads(addresses_body)['addrs']
            metrics, _ = await site.async_call_until(
                200,
                'GET',
                first.url(METRICS_PORT, '/metrics'),
            )
            self.assertThat(
                metrics, Contains(b'snipejunction_document_version 3')
            )

    @in_loop
    async def test_all_control_processes_killed(self) -> None:
        """Callers are still served and the accepted document survives."""
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            url = site.machines[0].url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(5))
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
            last = site.machines[2].url(OPERATOR_PORT, GET)
            stored, _ = await site.async_call_until(200, 'GET', last)
            self.assertThat(stored, Equals(make_document(5)))

    @in_loop
    async def test_planned_stop(self) -> None:
        """A stopping machine is not ready or listed and exits with 0."""
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            first, second, _ = site.machines
            url = first.url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(1))
            await self.async_ask(second)
            entry = second.processes[ENTRY]
            entry.send_signal(signal.SIGTERM)
            ready = second.url(READY_PORT, '/ready')
            await site.async_call_until(503, 'GET', ready)
            await self.async_ask(second)
            self.assertThat(await entry.wait(), Equals(0))
            addresses_url = first.url(
                ADDRESS_PORT, '/resolve?zone=two&region=two'
            )
            addresses_body, _ = await site.async_call_until(
                200, 'GET', addresses_url
            )
            stopped_address = f'{second.ip}:{second.port + CALLER_PORT}'
            self.assertThat(
                stopped_address in json.loads(addresses_body)['addrs'],
                Is(False),
            )
            control = second.processes[CONTROL]
            control.send_signal(signal.SIGTERM)
            self.assertThat(await control.wait(), Equals(0))

    @in_loop
    async def test_paused_reader_of_the_log(self) -> None:
        """A log pipe that nobody reads neither stops answers nor uses memory.

        The lines exceed what the pipe holds; the process must not wait for
        the reader or buffer them.
        """
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            first = site.machines[0]
            url = first.url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(1))
            read_end, write_end = os.pipe()
            stack.callback(os.close, read_end)
            first.processes[ENTRY].kill()
            await first.processes[ENTRY].wait()
            first.is_first_start = False
            await first.async_start(ENTRY, write_end)
            os.close(write_end)
            await self.async_ask(first)
            before = resident_megabytes(first.processes[ENTRY].pid)
            # Up to 40 lines a second of each kind, of 300 bytes, for some
            # seconds: more than a pipe holds.
            for _ in range(BATCHES):
                await asyncio.gather(
                    *(
                        self.async_ask(first)
                        for _ in range(CONCURRENT_REQUESTS)
                    ),
                )
            growth = resident_megabytes(first.processes[ENTRY].pid) - before
            self.assertThat(growth, LessThan(MAX_GROWTH_MEGABYTES))

    @in_loop
    async def test_garbage_on_each_port(self) -> None:
        """Garbage on any port ends no process."""
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            first = site.machines[0]
            url = first.url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(1))
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


class DepartureTest(PlatformCase):
    """Searchers that leave before all processes are killed."""

    async def async_beat(self, sequence: int) -> None:
        machine = self.site.machines[0]
        url = machine.url(OPERATOR_PORT, '/Instances.Heartbeat/i-old')
        content = make_heartbeat(
            SHARDS[0], self.old.address, ZONES[0], sequence
        )
        await self.site.async_call_until(200, 'POST', url, content)

    async def async_restart_all(self) -> None:
        for machine in self.site.machines:
            await machine.async_kill()
        for machine in self.site.machines:
            machine.is_first_start = False
            await machine.async_start(CONTROL)
            await machine.async_start(ENTRY)

    @in_loop
    async def test_late_heartbeat_after_a_kill(self) -> None:
        """A late heartbeat does not bring back a searcher that deregistered.

        Guards against ends that are forgotten with the control processes.
        """
        async with AsyncExitStack() as stack:
            site = await self.async_start_site(stack)
            self.old = await stack.enter_async_context(
                ScriptedSearcher(async_serve)
            )
            first = site.machines[0]
            url = first.url(OPERATOR_PORT, PUT)
            await site.async_call_until(200, 'POST', url, make_document(1))
            sequence = 0
            while not self.old.received_requests:
                sequence += 1
                await self.async_beat(sequence)
                await self.async_ask(first)
            url = first.url(OPERATOR_PORT, '/Instances.Deregister/i-old')
            await site.async_call_until(200, 'POST', url)
            await self.async_restart_all()
            for machine in site.machines:
                await self.async_ask(machine)
            received = len(self.old.received_requests)
            await self.async_beat(sequence + 1)
            for machine in site.machines * REQUESTS_PER_MACHINE:
                await self.async_ask(machine)
            self.assertThat(self.old.received_requests, HasLength(received))


class DeployFileTest(TestCase):
    """Tests of the deploy file and its requirements."""

    def test_roles(self) -> None:
        """Each role runs its module with the declared metrics port."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        for role, role_table in deploy['roles'].items():
            module = f'snipejunction.platform.{role}'
            self.assertThat(role_table['run'], Contains(module))
            port = role_table['metrics'].partition('/')[0]
            self.assertThat(
                role_table['run'], Contains(f'--metrics-port {port}')
            )

    def test_requirements_are_locked(self) -> None:
        """The deployed versions are those that the tests ran with."""
        locked = (ROOT / 'requirements-dev.txt').read_text().split()
        wanted = (ROOT / 'deploy/requirements.txt').read_text().split()
        self.assertThat(set(wanted) - set(locked), Equals(set()))

    def test_settings_variable(self) -> None:
        """The settings variable is the one set by the platform."""
        self.assertThat(names.SETTINGS_VARIABLE, Equals('SNIPEJUNCTION_BOOT'))
