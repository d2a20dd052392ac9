"""Searchers that register themselves, each behind a faulty proxy."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import struct
from random import Random
from socket import SO_LINGER, SOL_SOCKET

from snipejunction.standin.stated_rate import StatedRate
from snipejunction.timers import NEVER
from tests.processes.platform_harness import POLL_SECONDS
from tests.soak.ledger import (
    LIMIT_FACTOR,
    LIMIT_LEARN_SECONDS,
    LIMIT_MARGIN,
    RECORD_BYTES,
    Arrival,
    InvariantChecker,
)

OPERATORS = 2
HEARTBEAT_SECONDS = 0.3
# Sequence of a heartbeat that arrives late, above those of a whole run.
LATE_SEQUENCE = 99998
# How long a searcher serves after its departure was acknowledged.
SERVE_SECONDS = 13
READ_BYTES = 65536
# Pauses of a searcher in seconds; one request in 50 is paused.
PAUSES = (0.2, *(0 for _ in range(49)))
PREFIX = 'x-snipejunction-'
VERSION = 'v1'
GOOD = 'good'
BEHAVIOURS = (GOOD, 'failing', 'slow', 'failing on one route')
SLOW_SECONDS = 0.15
FAILING_ROUTE = '/u/'


class Proxy:
    """TCP proxy between callers and a searcher that injects faults.

    ``mode`` is pass, delay, reset, silent (drops both directions) or one-way
    (passes requests and drops answers).
    """

    def __init__(self) -> None:
        self.mode = 'pass'
        self.target = 0
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def async_open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            connection = writer.get_extra_info('socket')
            if connection is not None:
                linger = struct.pack('ii', 1, 0)
                with contextlib.suppress(OSError):
                    connection.setsockopt(SOL_SOCKET, SO_LINGER, linger)
            writer.transport.abort()

    async def _async_serve(self, reader, writer) -> None:
        self._writers.add(writer)
        other = None
        try:
            if self.mode == 'reset':
                return
            answers, other = await asyncio.open_connection(
                '127.0.0.1',
                self.target,
            )
            await asyncio.gather(
                self._async_copy(reader, other, {'silent'}),
                self._async_copy(answers, writer, {'silent', 'one-way'}),
            )
        except OSError:
            return
        finally:
            self._abort_connections(writer, other)

    def _abort_connections(self, *writers: asyncio.StreamWriter | None) -> None:
        for writer in filter(None, writers):
            self._writers.discard(writer)
            writer.transport.abort()

    async def _async_copy(
        self, reader, writer, blocked_modes: set[str]
    ) -> None:
        while content := await reader.read(READ_BYTES):
            if self.mode == 'delay':
                await asyncio.sleep(0.15)
            if self.mode not in blocked_modes:
                writer.write(content)
                await writer.drain()
        raise ConnectionResetError


class Searcher:
    """Searcher at a fixed address; each restart gets a new searcher id."""

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        environment,
        *,
        version: str = VERSION,
        behaviour: str = GOOD,
    ) -> None:
        self.number = number
        self.version = version
        self._behaviour = behaviour
        self._is_retired = False
        self.service = service
        self.zone = zone
        self.proxy = Proxy()
        self.searcher_id = ''
        self.state = 'ready'
        self.stated_rate = self._new_rate()
        self._environment = environment
        self._checker: InvariantChecker = environment.checker
        self._random = Random(number)
        self._generation = 0
        self._served = 0
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task] = set()

    async def async_start(self) -> None:
        """Start with a new id at the same address, unless it is retired."""
        if self._is_retired:
            return
        self._generation += 1
        self.searcher_id = f'i{self.number}-{self._generation}'
        self.state = 'ready'
        self.stated_rate = self._new_rate()
        if not self.proxy.port:
            await self.proxy.async_open()
        self._server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            0,
        )
        self.proxy.target = self._server.sockets[0].getsockname()[1]
        self._heartbeat_task = asyncio.ensure_future(self._async_announce())

    async def async_crash(self) -> None:
        """Stop without deregistering."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_retire(self) -> None:
        """Stop for good, without draining."""
        self._is_retired = True
        await self.async_crash()

    async def async_close(self) -> None:
        """Stop the searcher and its proxy and wait for open connections."""
        await self.async_crash()
        self.proxy.close()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def async_leave(
        self, *, is_reported: bool, late_seconds: float
    ) -> None:
        """Leave, keep serving, then stop.

        It reports draining or, unless ``is_reported``, its end at once. A
        heartbeat of before arrives ``late_seconds`` after the acknowledgement.
        """
        name = self.searcher_id
        late_heartbeat = self._make_heartbeat(LATE_SEQUENCE)
        self.state = 'draining'
        if is_reported:
            while not await self._async_send_heartbeat(LATE_SEQUENCE + 1):
                await asyncio.sleep(POLL_SECONDS)
        else:
            await self._async_deregister(name)
        self._checker.left[name] = self._environment.now
        await asyncio.sleep(late_seconds)
        await self._async_post_heartbeat(name, late_heartbeat)
        await asyncio.sleep(SERVE_SECONDS - late_seconds)
        if self.searcher_id == name:
            await self._async_deregister(name)
            await self.async_crash()

    def _new_rate(self) -> StatedRate:
        return StatedRate(LIMIT_FACTOR, LIMIT_MARGIN, LIMIT_LEARN_SECONDS)

    def _check_rate(self) -> None:
        now = self._environment.now
        if not self.stated_rate.count_arrival(now):
            self._checker.record_excess(self.searcher_id, now)

    async def _async_announce(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            if self.state == 'ready':
                await self._async_send_heartbeat(sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _async_deregister(self, name: str) -> None:
        path = f'/Instances.Deregister/{name}'
        await self._environment.async_send_command(path, b'')

    async def _async_send_heartbeat(self, sequence: int) -> bool:
        content = self._make_heartbeat(sequence)
        return await self._async_post_heartbeat(self.searcher_id, content)

    def _make_heartbeat(self, sequence: int) -> bytes:
        return json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.proxy.port}',
                'zone': self.zone,
                'slots': 4,
                'state': self.state,
                'coldLeftMs': 0,
                'sequence': sequence,
                # A later version starts later.
                'born': self.number // 1000 * 1000 + self._generation,
                'version': self.version,
            },
        ).encode()

    async def _async_post_heartbeat(self, name: str, content: bytes) -> bool:
        path = f'/Instances.Heartbeat/{name}'
        machine = self._random.choice(self._environment.site.machines)
        status, _, _ = await self._environment.site.async_call(
            'POST',
            machine.url(OPERATORS, path),
            content,
        )
        return status == 200

    async def _async_serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _parse_header_fields(head)
                length = int(fields.get('content-length', 0))
                await reader.readexactly(length)
                path = head.split(b' ', 2)[1].decode()
                writer.write(await self._async_answer(fields, path))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _async_answer(self, fields: dict[str, str], path: str) -> bytes:
        request_id = fields[f'{PREFIX}request-id']
        expected = fields.get(f'{PREFIX}expect-instance', self.searcher_id)
        echo = f'X-Snipejunction-Request-Id: {request_id}'
        if expected != self.searcher_id:
            not_run = 'X-Snipejunction-Not-Executed: 1'
            return _format_response('421 Misdirected', b'', echo, not_run)
        self._checker.record_arrival(
            Arrival(
                self._environment.now,
                self.service,
                self.zone,
                self.searcher_id,
                request_id,
                self.version,
            ),
        )
        self._environment.customers.check_arrival(
            request_id, fields, PREFIX, self._environment.now
        )
        self._check_rate()
        await asyncio.sleep(self._random.uniform(0.002, 0.02))
        # Simulate an occasional pause.
        await asyncio.sleep(self._random.choice(PAUSES))
        self._served += 1
        if self._behaviour == 'slow':
            await asyncio.sleep(SLOW_SECONDS)
        if self._is_failing(path):
            return _format_response('500 Failed', b'', echo)
        signature = f'{self.searcher_id}.{self._served}'
        records = [os.urandom(RECORD_BYTES) for _ in range(3)]
        self._checker.records[signature] = (self.service, request_id, records)
        stamp = f'X-Snipejunction-Server-Stamp: {signature}'
        return _format_response(
            '200 OK', b''.join(records), echo, stamp, *self._limit_fields()
        )

    def _is_failing(self, path: str) -> bool:
        """Return whether this answer fails: half of those of bad versions."""
        if self._behaviour == 'failing on one route':
            is_concerned = path.startswith(FAILING_ROUTE)
        else:
            is_concerned = self._behaviour == 'failing'
        return is_concerned and self._served % 2 == 0

    def _limit_fields(self) -> list[str]:
        """Return the header of an answer that states the rate, if any."""
        if self.stated_rate.rate == NEVER:
            return []
        self.stated_rate.count_answer(self._environment.now)
        return [f'Server-Limit: {self.stated_rate.rate}']


def _parse_header_fields(head: bytes) -> dict[str, str]:
    lines = head.decode().split('\r\n')[1:]
    pairs = (line.partition(': ') for line in lines if line)
    return {name.lower(): text for name, _, text in pairs}


def _format_response(status: str, body: bytes, *fields: str) -> bytes:
    lines = [f'HTTP/1.1 {status}', *fields, f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode() + body
