"""A searcher that runs a test's script, and a minimal HTTP caller."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

from snipejunction.edge.gateway.header_names import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b'x-id',
    deadline=b'x-deadline',
    signature=b'x-signature',
    expected_searcher=b'x-expected',
    not_run=b'x-not-run',
    signatures=b'x-signatures',
    missing=b'x-missing',
    stated_limit=b'x-limit',
    key=b'x-key',
    customer=b'x-customer',
)
TEST_SECONDS = 20
Script: TypeAlias = Callable[['ReceivedRequest'], Coroutine[Any, Any, None]]


def in_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Any:
    """Run a coroutine test on a new event loop, with a timeout."""
    return lambda case: asyncio.run(
        asyncio.wait_for(test(case), TEST_SECONDS),
    )


def answer(
    request_id: str,
    body: bytes = b'body',
    status: str = '200 OK',
    extra: tuple[str, ...] = (),
) -> bytes:
    """Return a complete HTTP response of a searcher."""
    lines = [
        f'HTTP/1.1 {status}',
        f'X-Id: {request_id}',
        'X-Signature: sig',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    head = '\r\n'.join([*lines, '', '']).encode()
    return b''.join((head, body))


class ReceivedRequest:
    """A request that a scripted searcher received."""

    def __init__(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.head = head
        self.reader = reader
        self.writer = writer
        self.body = b''

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.header('x-id')

    def header(self, name: str) -> str:
        """Return the value of a header, empty if absent."""
        for line in self.head.decode().split('\r\n')[1:]:
            found, _, text = line.partition(': ')
            if found.lower() == name:
                return text
        return ''

    def reset(self) -> None:
        """Reset the TCP connection instead of closing it."""
        linger = struct.pack('ii', 1, 0)
        found = self.writer.get_extra_info('socket')
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


class ScriptedSearcher:
    """Listens on a free port and runs the script for each request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the listening address as ``IP:PORT``."""
        ip, port = self._server.sockets[0].getsockname()
        return f'{ip}:{port}'

    async def __aenter__(self) -> ScriptedSearcher:
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        return self

    async def __aexit__(self, *details: object) -> None:
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                received = ReceivedRequest(head, reader, writer)
                self.received_requests.append(received)
                await self.script(received)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            # A writer that outlives its event loop raises when it is deleted.
            writer.close()


async def async_call(address: tuple[str, int], content: bytes) -> bytes:
    """Send bytes on a new connection and read until it closes."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(content)
    try:
        return await reader.read()
    except ConnectionError:
        return b''
    finally:
        writer.close()


def request(
    path: str = '/p/x',
    request_id: str = 'r1',
    extra: tuple[str, ...] = (),
    *,
    method: str = 'GET',
    body: bytes = b'',
) -> bytes:
    """Return a request with ``Connection: close``."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: a.example',
        f'X-Id: {request_id}',
        'X-Deadline: 2000',
        'Connection: close',
        *extra,
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join([*lines, '', '']).encode()
    return b''.join((head, body))
