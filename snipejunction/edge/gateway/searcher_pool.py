"""Pool of reusable connections to searchers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial

from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.edge.gateway.const import CONNECT_SECONDS
from snipejunction.edge.gateway.header_names import HeaderNames
from snipejunction.edge.gateway.host_profile import parse_address
from snipejunction.edge.gateway.searcher_connection import (
    OnOutcome,
    SearcherConnection,
)
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.errors import SettingsError


class PendingRequest:
    """A request to one searcher whose outcome is reported once."""

    __slots__ = ('_on_outcome', 'body', 'connection', 'head', 'request_id')

    def __init__(
        self,
        head: bytes,
        body: bytes,
        request_id: bytes,
        on_outcome: OnOutcome,
    ) -> None:
        """Create a request that has no connection yet."""
        self.head = head
        self.body = body
        self.request_id = request_id
        self._on_outcome: OnOutcome | None = on_outcome
        self.connection: SearcherConnection | None = None

    @property
    def is_done(self) -> bool:
        """Return whether the outcome is known."""
        return self._on_outcome is None

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; ignore any after the first."""
        on_outcome = self._on_outcome
        self._on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def cancel(self, detail: str) -> None:
        """Cancel the request and close the connection that it was sent on."""
        if self.connection is None:
            self.finish(Outcome(OutcomeKind.UNSENT, detail=detail))
        elif not self.is_done:
            self.connection.close(detail, OutcomeKind.CANCELLED)


class SearcherPool:
    """Connections of this host to searchers, by id and start time."""

    def __init__(
        self,
        header_names: HeaderNames,
        loop: asyncio.AbstractEventLoop,
        budget: ReceiveBudget,
        late_seconds: Callable[[], float] = float,
    ) -> None:
        """Create an empty pool; ``budget`` bounds what it receives.

        ``late_seconds`` returns how long this host did not run in all.
        """
        self._header_names = header_names
        self._loop = loop
        self._by_searcher: dict[tuple[str, int], set[SearcherConnection]] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._budget = budget
        self._late_seconds = late_seconds
        self.opened_connections = 0

    @property
    def connection_count(self) -> int:
        """Return the number of connections."""
        return sum(
            len(connections) for connections in self._by_searcher.values()
        )

    def send(self, upstream: Upstream, pending: PendingRequest) -> None:
        """Send a request over an idle connection or a new one."""
        key = (upstream.searcher_id, upstream.record.born_ms)
        connections = self._by_searcher.setdefault(key, set())
        now = self._loop.time()
        used: SearcherConnection | None = None
        for connection in list(connections):
            is_reusable = connection.is_reusable(now)
            if is_reusable and pending.request_id in connection.carried_ids:
                used = connection
            elif is_reusable:
                self._send_on(connection, pending)
                return
            elif not connection.is_busy:
                connection.close('not to be used again')
        if used is not None:
            # A caller may send any number of requests with the same id.
            used.close('replaced: it has carried the id of a request')
        task = self._loop.create_task(
            self._async_connect(upstream.record.address, key, pending),
        )
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def close_idle(self, searcher_id: str) -> None:
        """Close the idle connections to a removed searcher."""
        idle = [
            connection
            for key, connections in self._by_searcher.items()
            for connection in connections
            if key[0] == searcher_id and not connection.is_busy
        ]
        for connection in idle:
            connection.close('the searcher is gone')

    async def async_close(self) -> None:
        """Cancel pending connects and close all connections."""
        for task in list(self._connecting):
            task.cancel()
        await asyncio.gather(*self._connecting, return_exceptions=True)
        for connections in list(self._by_searcher.values()):
            for connection in list(connections):
                connection.close('this host stops', OutcomeKind.CANCELLED)

    def _send_on(
        self,
        connection: SearcherConnection,
        pending: PendingRequest,
    ) -> None:
        pending.connection = connection
        connection.send(
            pending.head, pending.body, pending.request_id, pending.finish
        )

    async def _async_connect(
        self,
        address: str,
        key: tuple[str, int],
        pending: PendingRequest,
    ) -> None:
        self.opened_connections += 1
        try:
            connection = await self._async_open(address, key)
        except SettingsError as error:
            pending.finish(Outcome(OutcomeKind.REFUSED, detail=str(error)))
        except TimeoutError:
            pending.finish(
                Outcome(OutcomeKind.REFUSED, detail='connect timeout')
            )
        except OSError as error:
            detail = f'connect: {error.strerror}'
            pending.finish(Outcome(OutcomeKind.REFUSED, detail=detail))
        else:
            self._add_connection(connection, key, pending)

    async def _async_open(
        self, address: str, key: tuple[str, int]
    ) -> SearcherConnection:
        """Connect to a searcher.

        Raises:
            TimeoutError: if it takes longer than ``CONNECT_SECONDS``, without
                the time in which this host did not run.
        """
        connect = self._loop.create_task(
            self._loop.create_connection(
                partial(self._create_connection, key),
                *parse_address(address),
            )
        )
        with ExitStack() as stack:
            stack.callback(connect.cancel)
            remaining = CONNECT_SECONDS
            while remaining > 0:
                late_seconds = self._late_seconds()
                done, _ = await asyncio.wait([connect], timeout=remaining)
                if done:
                    return connect.result()[1]
                remaining = self._late_seconds() - late_seconds
        raise TimeoutError

    def _add_connection(
        self,
        connection: SearcherConnection,
        key: tuple[str, int],
        pending: PendingRequest,
    ) -> None:
        if not connection.is_open:
            # A searcher at its connection limit resets new connections.
            pending.finish(
                Outcome(OutcomeKind.REFUSED, detail='closed at once')
            )
            return
        self._by_searcher.setdefault(key, set()).add(connection)
        if not pending.is_done:
            self._send_on(connection, pending)

    def _create_connection(self, key: tuple[str, int]) -> SearcherConnection:
        on_lost: Callable[[SearcherConnection], None] = partial(
            self._remove,
            key,
        )
        return SearcherConnection(
            self._header_names, self._loop, on_lost, self._budget
        )

    def _remove(
        self,
        key: tuple[str, int],
        connection: SearcherConnection,
    ) -> None:
        connections = self._by_searcher.get(key)
        if connections is not None:
            connections.discard(connection)
            if not connections:
                self._by_searcher.pop(key, None)
