"""TCP proxy that can stop forwarding on open connections."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack


class TcpProxy:
    """Forwards bytes until ``silence`` is called."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def __aenter__(self) -> TcpProxy:
        """Listen on any free port."""
        server = await asyncio.start_server(
            self._async_accept,
            '127.0.0.1',
            0,
        )
        self.port = server.sockets[0].getsockname()[1]
        self._stack.callback(server.close)
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Close all connections."""
        await self._stack.aclose()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Discard all further bytes on the connections open now."""
        self._silenced |= self._writers

    async def _async_accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        other_reader, other_writer = await asyncio.open_connection(
            '127.0.0.1',
            self._target_port,
        )
        self._writers |= {writer, other_writer}
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(self._async_pump(source, sink))
            self._tasks.add(task)

    async def _async_pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        content = await source.read(65536)
        while content:
            if sink not in self._silenced:
                sink.write(content)
            content = await source.read(65536)
        if sink not in self._silenced:
            sink.close()
