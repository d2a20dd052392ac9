"""Searchers that announce themselves, each behind a proxy that harms it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import struct
from random import Random
from socket import SO_LINGER, SOL_SOCKET

from tests.processes.platform_harness import POLL_SECONDS
from tests.soak.ledger import RECORD_BYTES, Arrival, Ledger

OPERATORS = 2
BEAT_SECONDS = 0.3
BYTES = 65536
# Pauses of a searcher in seconds: one request in 50 meets one.
PAUSES = (0.2, *(0 for _ in range(49)))
PREFIX = 'x-snipejunction-'


class Proxy:
    """Passes bytes between callers and a searcher, or does not.

    ``mode`` is pass, delay, reset, silent (neither way) or one-way (requests
    pass, answers do not).
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
            found = writer.get_extra_info('socket')
            if found is not None:
                linger = struct.pack('ii', 1, 0)
                with contextlib.suppress(OSError):
                    found.setsockopt(SOL_SOCKET, SO_LINGER, linger)
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
            self._end(writer, other)

    def _end(self, *writers: asyncio.StreamWriter | None) -> None:
        for writer in filter(None, writers):
            self._writers.discard(writer)
            writer.transport.abort()

    async def _async_copy(self, reader, writer, held: set[str]) -> None:
        while content := await reader.read(BYTES):
            if self.mode == 'delay':
                await asyncio.sleep(0.15)
            if self.mode not in held:
                writer.write(content)
                await writer.drain()
        raise ConnectionResetError


class Searcher:
    """One address; a restart there is another searcher with another id."""

    def __init__(self, number: int, service: str, zone: str, world) -> None:
        self.number = number
        self.service = service
        self.zone = zone
        self.proxy = Proxy()
        self.searcher_id = ''
        self.state = 'ready'
        self._world = world
        self._ledger: Ledger = world.ledger
        self._random = Random(number)
        self._generation = 0
        self._served = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task] = set()

    async def async_start(self) -> None:
        """Start as a new searcher at the address of the last one."""
        self._generation += 1
        self.searcher_id = f'i{self.number}-{self._generation}'
        self.state = 'ready'
        if not self.proxy.port:
            await self.proxy.async_open()
        self._server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            0,
        )
        self.proxy.target = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.ensure_future(self._async_announce())

    async def async_crash(self) -> None:
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_close(self) -> None:
        """End for good; connections end after the present request."""
        await self.async_crash()
        self.proxy.close()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def async_leave(self) -> None:
        """Say that it leaves, serve on for a while, and end."""
        self.state = 'draining'
        name = self.searcher_id
        while not await self._async_beat(99999):
            await asyncio.sleep(POLL_SECONDS)
        self._ledger.left[name] = self._world.now
        await asyncio.sleep(6)
        if self.searcher_id == name:
            path = f'/Instances.Deregister/{name}'
            await self._world.async_order(path, b'')
            await self.async_crash()

    async def _async_announce(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            if self.state == 'ready':
                await self._async_beat(sequence)
            await asyncio.sleep(BEAT_SECONDS)

    async def _async_beat(self, sequence: int) -> bool:
        content = json.dumps(
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.proxy.port}',
                'zone': self.zone,
                'slots': 4,
                'state': self.state,
                'coldLeftMs': 0,
                'sequence': sequence,
                'born': self._generation,
            },
        ).encode()
        path = f'/Instances.Heartbeat/{self.searcher_id}'
        machine = self._random.choice(self._world.site.machines)
        status, _, _ = await self._world.site.async_call(
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
                fields = _fields(head)
                length = int(fields.get('content-length', 0))
                await reader.readexactly(length)
                writer.write(await self._async_answer(fields))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _async_answer(self, fields: dict[str, str]) -> bytes:
        request_id = fields[f'{PREFIX}request-id']
        expected = fields.get(f'{PREFIX}expect-instance', self.searcher_id)
        echo = f'X-Snipejunction-Request-Id: {request_id}'
        if expected != self.searcher_id:
            not_run = 'X-Snipejunction-Not-Executed: 1'
            return _message('421 Misdirected', b'', echo, not_run)
        self._ledger.note_arrival(
            Arrival(
                self._world.now,
                self.service,
                self.zone,
                self.searcher_id,
                request_id,
            ),
        )
        await asyncio.sleep(self._random.uniform(0.002, 0.02))
        # Searchers pause now and then.
        await asyncio.sleep(self._random.choice(PAUSES))
        self._served += 1
        signature = f'{self.searcher_id}.{self._served}'
        records = [os.urandom(RECORD_BYTES) for _ in range(3)]
        self._ledger.records[signature] = (self.service, request_id, records)
        stamp = f'X-Snipejunction-Server-Stamp: {signature}'
        return _message('200 OK', b''.join(records), echo, stamp)


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode().split('\r\n')[1:]
    pairs = (line.partition(': ') for line in lines if line)
    return {name.lower(): text for name, _, text in pairs}


def _message(status: str, body: bytes, *fields: str) -> bytes:
    lines = [f'HTTP/1.1 {status}', *fields, f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode() + body
