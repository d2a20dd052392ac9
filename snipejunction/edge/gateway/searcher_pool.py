"""Connections to searchers, few for each and used again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.edge.gateway.const import CONNECT_SECONDS
from snipejunction.edge.gateway.dialect import Dialect
from snipejunction.edge.gateway.host_profile import parse_address
from snipejunction.edge.gateway.searcher_connection import (
    OnOutcome,
    SearcherConnection,
)


class Sending:
    """A request on its way to one searcher; ``cancel`` gives it up."""

    __slots__ = ('_on_outcome', 'connection', 'content', 'request_id')

    def __init__(
        self,
        content: bytes,
        request_id: bytes,
        on_outcome: OnOutcome,
    ) -> None:
        """Create a request that has no connection yet."""
        self.content = content
        self.request_id = request_id
        self._on_outcome: OnOutcome | None = on_outcome
        self.connection: SearcherConnection | None = None

    @property
    def is_done(self) -> bool:
        """Return whether the outcome is known."""
        return self._on_outcome is None

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; only the first one counts."""
        on_outcome = self._on_outcome
        self._on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def cancel(self, detail: str) -> None:
        """Give the request up; its connection is of no use any more."""
        if self.connection is None:
            self.finish(Outcome(OutcomeKind.UNSENT, detail=detail))
        elif not self.is_done:
            self.connection.close(detail)


class SearcherPool:
    """All connections of this host to searchers."""

    def __init__(
        self,
        dialect: Dialect,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a pool without connections."""
        self._dialect = dialect
        self._loop = loop
        self._by_searcher: dict[tuple[str, int], set[SearcherConnection]] = {}
        self._opening: set[asyncio.Task[None]] = set()
        self.opened = 0

    @property
    def open_connections(self) -> int:
        """Return the number of connections."""
        return sum(len(found) for found in self._by_searcher.values())

    def send(self, upstream: Upstream, sending: Sending) -> None:
        """Send a request on an idle connection or on a new one."""
        key = (upstream.searcher_id, upstream.record.born_ms)
        connections = self._by_searcher.setdefault(key, set())
        now = self._loop.time()
        for connection in list(connections):
            if connection.is_reusable(now):
                self._send_on(connection, sending)
                return
            if not connection.is_busy:
                connection.close('idle for too long')
        task = self._loop.create_task(
            self._async_open(upstream.record.address, key, sending),
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def drop(self, searcher_id: str) -> None:
        """Close the idle connections to a searcher that is gone."""
        idle = [
            connection
            for key, connections in self._by_searcher.items()
            for connection in connections
            if key[0] == searcher_id and not connection.is_busy
        ]
        for connection in idle:
            connection.close('the searcher is gone')

    async def async_close(self) -> None:
        """Close all connections."""
        for task in list(self._opening):
            task.cancel()
        await asyncio.gather(*self._opening, return_exceptions=True)
        for connections in list(self._by_searcher.values()):
            for connection in list(connections):
                connection.close('this host stops')

    def _send_on(
        self,
        connection: SearcherConnection,
        sending: Sending,
    ) -> None:
        sending.connection = connection
        connection.send(sending.content, sending.request_id, sending.finish)

    async def _async_open(
        self,
        address: str,
        key: tuple[str, int],
        sending: Sending,
    ) -> None:
        self.opened += 1
        connect = self._loop.create_connection(
            partial(self._make, key),
            *parse_address(address),
        )
        try:
            _, connection = await asyncio.wait_for(connect, CONNECT_SECONDS)
        except TimeoutError:
            sending.finish(
                Outcome(OutcomeKind.REFUSED, detail='connect timeout')
            )
        except OSError as error:
            detail = f'connect: {error.strerror}'
            sending.finish(Outcome(OutcomeKind.REFUSED, detail=detail))
        else:
            self._take_opened(connection, key, sending)

    def _take_opened(
        self,
        connection: SearcherConnection,
        key: tuple[str, int],
        sending: Sending,
    ) -> None:
        if not connection.is_open:
            # A searcher with too many connections resets further ones.
            sending.finish(
                Outcome(OutcomeKind.REFUSED, detail='closed at once')
            )
            return
        self._by_searcher.setdefault(key, set()).add(connection)
        if not sending.is_done:
            self._send_on(connection, sending)

    def _make(self, key: tuple[str, int]) -> SearcherConnection:
        forget: Callable[[SearcherConnection], None] = partial(
            self._forget,
            key,
        )
        return SearcherConnection(self._dialect, self._loop, forget)

    def _forget(
        self,
        key: tuple[str, int],
        connection: SearcherConnection,
    ) -> None:
        connections = self._by_searcher.get(key)
        if connections is not None:
            connections.discard(connection)
            if not connections:
                self._by_searcher.pop(key, None)
