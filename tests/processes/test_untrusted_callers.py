"""Crowds of clients outside of the limits against the platform's processes.

Guards against clients that make a process grow beyond the memory or the
descriptors of its machine, or that keep it from serving others.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from contextlib import AsyncExitStack, suppress
from itertools import chain
from pathlib import Path
from types import MappingProxyType

from testtools.content import text_content
from testtools.matchers import Is, LessThan

from tests.edge.gateway.scripted import ReceivedRequest
from tests.processes.harness import in_loop
from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    METRICS_OFFSETS,
    POLL_SECONDS,
    Machine,
)
from tests.processes.test_platform import (
    ADDRESS_PORT,
    CALLER_PORT,
    OPERATOR_PORT,
    PUT,
    READY_PORT,
    SHARDS,
    PlatformCase,
    async_serve,
    make_document,
)

MEMORY_MEGABYTES = 64
MAX_DESCRIPTORS = 320
CROWD = 200
# More clients than a process has descriptors.
LARGE_CROWD = 400
CLIENTS_WITH_LARGE_ANSWERS = 40
# Connections to searchers and peers that a process may have opened meanwhile.
SPARE_DESCRIPTORS = 35
ANSWERS_TO_CROWD = 'snipejunction_answers_total{route="l"'
PEER_PORTS = (0, 1)
ROLES = (CONTROL, ENTRY)
KIBIBYTE = 1024
MEBIBYTE = KIBIBYTE * KIBIBYTE
ENDLESS_BYTES = MEBIBYTE
PART_BYTES = 65536
ANNOUNCED_BYTES = 1000000
HEAD = b'GET /q/x HTTP/1.1\r\nHost: a.example\r\n'
SLOW_LINES = 30
SLOW_PAUSE_SECONDS = 0.1
LARGE_ANSWER = b'a' * MEBIBYTE
SMALL_WINDOW_BYTES = 4096


def endless(unit: bytes) -> list[bytes]:
    """Return the parts of a unit that repeats without end."""
    part = unit * (PART_BYTES // len(unit))
    return [part for _ in range(ENDLESS_BYTES // len(part))]


SHORT_LINES = (HEAD, *endless(b'a:\r\n'))
ONE_LINE = (b'GET /q/x HTTP/1.1\r\nX-Long: ', *endless(b'x'))
EMPTY_LINES = tuple(endless(b'\r\n'))
HEAD_OVER_LIMIT = (HEAD, *endless(b'X-Some-Header: value\r\n')[:4], b'\r\n')
ENDLESS_TARGET = (b'GET /q/', *endless(b'x'))
SLOW_PARTS = tuple((b'a:\r\n' * KIBIBYTE, b'') for _ in range(SLOW_LINES))
SLOW_HEAD = (HEAD, *chain.from_iterable(SLOW_PARTS))
MISSING_BODY = (
    b'POST /q/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n'
    % ANNOUNCED_BYTES,
    b'b' * (ANNOUNCED_BYTES // 2),
)
ENDLESS_FRAMES = tuple(endless(bytes(4)))
UNREAD = (
    b''.join(
        b'GET /large/x HTTP/1.1\r\nHost: a.example\r\n'
        b'X-Snipejunction-Request-Id: p%d\r\n'
        b'X-Snipejunction-Request-Deadline: 1500\r\n\r\n' % number
        for number in range(16)
    ),
)


def sum_samples(text: bytes, start: str) -> float:
    """Return the sum of the metrics whose lines begin with ``start``."""
    return sum(
        float(line.rpartition(' ')[2])
        for line in text.decode().splitlines()
        if line.startswith(start)
    )


class ProcessUsage:
    """Memory and descriptors of a process, read from the system."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f'/proc/{pid}')

    @property
    def peak_megabytes(self) -> float:
        """Return the largest resident memory that the process had."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / KIBIBYTE
        raise AssertionError('no VmHWM')

    @property
    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(self._folder / 'fd'))


class Crowd:
    """Clients that each send parts on a connection of their own.

    The connections stay open until the crowd is closed.
    """

    def __init__(self, address: tuple[str, int], parts: tuple[bytes, ...]):
        self._address = address
        self._parts = parts
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Crowd:
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    async def async_send(self, count: int) -> None:
        """Send all parts on all connections at once; ends may close early."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._async_send())

    async def _async_send(self) -> None:
        client = socket.socket()
        self._stack.callback(client.close)
        client.setblocking(False)
        # What is not read stays with the sender.
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
        )
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            await loop.sock_connect(client, self._address)
            for part in self._parts:
                if part:
                    await loop.sock_sendall(client, part)
                else:
                    await asyncio.sleep(SLOW_PAUSE_SECONDS)


class UntrustedCase(PlatformCase):
    """A site with small machines that crowds connect to."""

    limits = MappingProxyType(
        {'memoryMb': MEMORY_MEGABYTES, 'maxFds': MAX_DESCRIPTORS}
    )

    async def async_serve_request(self, received: ReceivedRequest) -> None:
        if received.head.startswith(b'GET /large/'):
            received.writer.write(
                b'HTTP/1.1 200 OK\r\nX-Snipejunction-Server-Stamp: s\r\n'
                b'Content-Length: %d\r\n\r\n' % len(LARGE_ANSWER)
            )
            received.writer.write(LARGE_ANSWER)
        else:
            await async_serve(received)

    async def async_start(self, stack: AsyncExitStack) -> Machine:
        """Start a site that serves; return a machine of it."""
        site = await self.async_start_site(stack)
        document = json.loads(make_document(1))
        plain = dict(document['routes'][0], name='l', pathPrefix='/large/')
        for name in ('gather', 'topK', 'minShare'):
            plain.pop(name)
        plain['service'] = SHARDS[0]
        document['routes'].append(plain)
        machine = site.machines[0]
        await site.async_call_until(
            200,
            'POST',
            machine.url(OPERATOR_PORT, PUT),
            json.dumps(document).encode(),
        )
        await self.async_ask(machine)
        return machine

    async def async_check_crowd(
        self,
        machine: Machine,
        port: int,
        parts: tuple[bytes, ...],
        count: int = CROWD,
    ) -> None:
        """Play a crowd; the machine stays within bounds and still serves."""
        address = (machine.ip, machine.port + port)
        used = {role: self.find_usage(machine, role) for role in ROLES}
        calm = {role: usage.descriptors for role, usage in used.items()}
        async with Crowd(address, parts) as crowd:
            await crowd.async_send(count)
            descriptors = [usage.descriptors for usage in used.values()]
            await self.async_ask(machine)
            await self.async_settle(machine, count)
        # An end that is seen is read behind all that the client sent.
        for role, usage in used.items():
            while usage.descriptors > calm[role] + SPARE_DESCRIPTORS:
                await asyncio.sleep(POLL_SECONDS)
        await self.async_ask(machine)
        peaks = {role: usage.peak_megabytes for role, usage in used.items()}
        for process in machine.processes.values():
            self.assertThat(process.returncode, Is(None))
        note = f'port {port}: {peaks} MB, {descriptors} descriptors'
        self.addDetail('usage', text_content(note))
        for peak in peaks.values():
            self.assertThat(peak, LessThan(MEMORY_MEGABYTES))
        for opened in descriptors:
            self.assertThat(opened, LessThan(MAX_DESCRIPTORS))

    async def async_settle(self, machine: Machine, count: int) -> None:
        """Wait until the machine has handled what a crowd of ``count`` sent.

        The connections are still open.
        """

    def find_usage(self, machine: Machine, role: str) -> ProcessUsage:
        return ProcessUsage(machine.processes[role].pid)

    async def async_check_callers(
        self, parts: tuple[bytes, ...], count: int = CROWD
    ) -> None:
        """Play a crowd against the port of callers."""
        async with AsyncExitStack() as stack:
            machine = await self.async_start(stack)
            await self.async_check_crowd(machine, CALLER_PORT, parts, count)


class CallersPortTest(UntrustedCase):
    """Crowds against the port of callers."""

    @in_loop
    async def test_short_lines(self) -> None:
        """Heads of short lines without end."""
        await self.async_check_callers(SHORT_LINES)

    @in_loop
    async def test_one_line(self) -> None:
        """A header line without end."""
        await self.async_check_callers(ONE_LINE)

    @in_loop
    async def test_empty_lines(self) -> None:
        """Empty lines without end before a request."""
        await self.async_check_callers(EMPTY_LINES)

    @in_loop
    async def test_heads_over_limit(self) -> None:
        """Heads over the limit that end."""
        await self.async_check_callers(HEAD_OVER_LIMIT)

    @in_loop
    async def test_slow_heads(self) -> None:
        """Heads that come slowly and never end."""
        await self.async_check_callers(SLOW_HEAD)

    @in_loop
    async def test_targets(self) -> None:
        """Targets without end."""
        await self.async_check_callers(ENDLESS_TARGET)

    @in_loop
    async def test_missing_bodies(self) -> None:
        """Bodies that are announced and do not come whole."""
        await self.async_check_callers(MISSING_BODY)

    @in_loop
    async def test_silent(self) -> None:
        """More connections than descriptors that say nothing."""
        await self.async_check_callers((), LARGE_CROWD)


class UnreadAnswersTest(UntrustedCase):
    """Pipelined requests whose answers are not read."""

    @in_loop
    async def test_unread_answers(self) -> None:
        """The answers are large."""
        await self.async_check_callers(UNREAD, CLIENTS_WITH_LARGE_ANSWERS)

    async def async_settle(self, machine: Machine, count: int) -> None:
        """Wait until each client got an answer and no request is open."""
        url = machine.url(METRICS_OFFSETS[ENTRY], '/metrics')
        answered, opened = 0.0, 1.0
        while answered < count or opened:
            text, _ = await self.site.async_call_until(200, 'GET', url)
            answered = sum_samples(text, ANSWERS_TO_CROWD)
            opened = sum_samples(text, 'snipejunction_requests_open ')
            await asyncio.sleep(POLL_SECONDS)


class OtherPortsTest(UntrustedCase):
    """Crowds against the other ports, one after the other."""

    async def async_check_port(self, port: int) -> None:
        async with AsyncExitStack() as stack:
            machine = await self.async_start(stack)
            for parts in (SHORT_LINES, ONE_LINE, EMPTY_LINES):
                await self.async_check_crowd(machine, port, parts)

    @in_loop
    async def test_control(self) -> None:
        """The port of operators and searchers."""
        await self.async_check_port(OPERATOR_PORT)

    @in_loop
    async def test_addresses(self) -> None:
        """The port of addresses."""
        await self.async_check_port(ADDRESS_PORT)

    @in_loop
    async def test_readiness(self) -> None:
        """The port of readiness."""
        await self.async_check_port(READY_PORT)

    @in_loop
    async def test_metrics(self) -> None:
        """The ports of metrics."""
        for offset in METRICS_OFFSETS.values():
            await self.async_check_port(offset)

    @in_loop
    async def test_peers(self) -> None:
        """Empty frames without end before the handshake."""
        async with AsyncExitStack() as stack:
            machine = await self.async_start(stack)
            for port in PEER_PORTS:
                await self.async_check_crowd(machine, port, ENDLESS_FRAMES)
