"""Shared helpers of the edge tests."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from snipejunction.commands import LogEvent
from snipejunction.components.owner.messages import SubCancel
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.peers import Address, PeerTable
from snipejunction.messages import Message

KEY = b'k' * 32
OTHER_KEY = b'o' * 32
TEST_SECONDS = 20


def in_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Any:
    """Run a coroutine test on its own event loop with a timeout."""
    return lambda case: _run(test(case))


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, TEST_SECONDS))


async def async_until(condition: Callable[[], Any]) -> None:
    """Poll until a condition holds; only the test timeout ends it."""
    while not condition():
        await asyncio.sleep(0.005)


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection, not blocking."""
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    return ends


class FakePeerHost:
    """Peer table of one host without its systems."""

    def __init__(self, name: str, key: bytes = KEY) -> None:
        self.name = name
        self.keys = PeerKeys([key])
        self.received: list[Message] = []
        self.events: list[int] = []
        self.addresses: dict[str, Address] = {}
        self.port = 0
        self.table = self._make_table('inc')
        self._server: asyncio.Server | None = None

    async def async_listen(self) -> FakePeerHost:
        """Accept streams on any free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.table.accept,
            '127.0.0.1',
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.table.start(None)
        return self

    async def async_close(self) -> None:
        """Close the streams and the listener."""
        if self._server is not None:
            self._server.close()
        await self.table.async_close()

    def add_address(self, other: FakePeerHost, port: int = 0) -> None:
        """Store the address of another host, or of a proxy to it."""
        self.addresses[other.name] = ('127.0.0.1', port or other.port)

    def locate(self, host: str) -> Address | None:
        """Return a stored address."""
        return self.addresses.get(host)

    def submit(self, message: Message) -> None:
        """Record a message."""
        self.received.append(message)

    def log(self, event: LogEvent) -> None:
        """Record the number of an event."""
        self.events.append(event.event.number)

    def write_raw(self, content: bytes) -> None:
        """Write bytes to the only stream of this host."""
        for stream in self.table._streams:  # noqa: SLF001
            stream.send(content)

    def cancelled_ids(self) -> list[int]:
        """Return the sub ids of the cancellations received."""
        return [
            number
            for message in self.received
            if isinstance(message, SubCancel)
            for number in message.sub_ids
        ]

    def _make_table(self, incarnation: str) -> PeerTable:
        loop = asyncio.get_running_loop()
        return PeerTable(self.name, incarnation, self.keys, self, loop)
