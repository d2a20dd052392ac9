"""Carries out the owner's commands on connections to upstreams."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final, Protocol

from aiohttp import ClientResponse
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from snipejunction.components.owner.const import (
    ENDED_ERROR,
    ENDED_LOST,
    ENDED_NOT_SENT,
)
from snipejunction.components.owner.upstream_messages import (
    CancelDispatch,
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    DispatchEnded,
    DispatchRequest,
    OpenConnection,
)
from snipejunction.edge.const import MAX_PAYLOAD_BYTES
from snipejunction.edge.tracing import Tracing
from snipejunction.edge.upstream_connection import (
    NotSentError,
    UpstreamConnection,
)
from snipejunction.edge.upstream_protocol import (
    HEADER_DISPATCH,
    ended_from,
    request_headers,
)
from snipejunction.messages import Message

_OPEN_SECONDS: Final = 1.0
# A request without an answer is given up this long after its deadline.
_LOST_GRACE_SECONDS: Final = 0.05
_CANCEL_SECONDS: Final = 0.5
_SWEEP_SECONDS: Final = 0.025


class UpstreamHooks(Protocol):
    """What the client needs of the host that it belongs to."""

    def submit(self, message: Message) -> None:
        """Handle a message."""


class _Dispatch:
    """A request that is under way."""

    __slots__ = ('command', 'connection', 'is_cancelled', 'started')

    def __init__(
        self,
        command: DispatchRequest,
        connection: UpstreamConnection,
        started: float,
    ) -> None:
        self.command = command
        self.connection = connection
        self.started = started
        self.is_cancelled = False

    @property
    def given_up_at(self) -> float:
        """Return when an answer is no longer waited for."""
        return self.started + self.command.timeout + _LOST_GRACE_SECONDS


class UpstreamClient:
    """Connections and requests to the searchers that this host owns."""

    def __init__(
        self,
        process_name: str,
        hooks: UpstreamHooks,
        tracing: Tracing,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a client; ``process_name`` makes dispatch ids unique."""
        self._process_name = process_name
        self._hooks = hooks
        self._tracing = tracing
        self._loop = loop
        self._opening: dict[int, asyncio.Task[None]] = {}
        self._connections: dict[int, UpstreamConnection] = {}
        self._by_searcher: dict[str, dict[int, UpstreamConnection]] = {}
        self._dispatches: dict[int, _Dispatch] = {}
        self._chores: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None

    def open(self, command: OpenConnection) -> None:
        """Begin to open a connection."""
        number = command.connection_id
        task = self._loop.create_task(self._async_open(command))
        self._opening[number] = task
        task.add_done_callback(lambda _: self._end_opening(number, task))

    def close(self, command: CloseConnection) -> None:
        """Begin to close a connection, also one that is being opened."""
        number = command.connection_id
        if number in self._opening:
            self._opening[number].cancel()
        elif number in self._connections:
            self._connections[number].close()
        else:
            self._hooks.submit(ConnectionClosed(number, 'not open'))

    def dispatch(self, command: DispatchRequest) -> None:
        """Send a request over an idle connection."""
        connection = self._connections.get(command.connection_id)
        is_usable = connection is not None and not connection.is_closing
        if connection is None or not is_usable or connection.dispatch:
            self._hooks.submit(
                DispatchEnded(command.dispatch_id, ENDED_NOT_SENT),
            )
            return
        dispatch = _Dispatch(command, connection, self._loop.time())
        self._dispatches[command.dispatch_id] = dispatch
        if self._sweep is None:
            self._sweep = self._loop.call_later(_SWEEP_SECONDS, self._give_up)
        connection.dispatch = self._loop.create_task(
            self._async_dispatch(dispatch),
        )

    def cancel(self, command: CancelDispatch) -> None:
        """Ask the upstream to stop a request.

        The call takes an idle connection of the searcher, or waits for the
        call before on one; without any the connection of the request itself
        is dropped.
        """
        dispatch = self._dispatches.get(command.dispatch_id)
        if dispatch is None or dispatch.is_cancelled:
            return
        dispatch.is_cancelled = True
        self._call_off(dispatch)

    async def async_close(self) -> None:
        """Drop all connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        for opening in list(self._opening.values()):
            opening.cancel()
        tasks = list(self._opening.values())
        for connection in list(self._connections.values()):
            connection.abort()
            if connection.dispatch is not None:
                tasks.append(connection.dispatch)
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(
            *(
                connection.async_release()
                for connection in self._connections.values()
            ),
            *self._chores,
            return_exceptions=True,
        )

    async def _async_open(self, command: OpenConnection) -> None:
        opening = self._loop.create_connection(
            lambda: ResponseHandler(self._loop),
            command.ip,
            command.port,
        )
        _, protocol = await asyncio.wait_for(opening, _OPEN_SECONDS)
        self._keep(command, protocol)

    def _end_opening(self, number: int, task: asyncio.Task[None]) -> None:
        self._opening.pop(number)
        if task.cancelled():
            self._hooks.submit(ConnectionClosed(number, 'closed'))
            return
        error = task.exception()
        if error is not None:
            reason = str(error) or 'no answer'
            self._hooks.submit(ConnectionClosed(number, reason))

    def _keep(
        self,
        command: OpenConnection,
        protocol: ResponseHandler,
    ) -> None:
        connection = UpstreamConnection(
            command.connection_id,
            command.searcher,
            URL.build(scheme='http', host=command.ip, port=command.port),
            protocol,
            self._loop,
        )
        number = command.connection_id
        self._connections[number] = connection
        family = self._by_searcher.setdefault(command.searcher, {})
        family[number] = connection
        closed = connection.closed
        if closed is None:
            self._forget(connection)
            return
        closed.add_done_callback(lambda end: self._note_end(connection, end))
        self._hooks.submit(ConnectionOpened(number))

    def _note_end(
        self,
        connection: UpstreamConnection,
        end: asyncio.Future[None],
    ) -> None:
        # The future holds an error if the other end reset the connection.
        end.exception()
        self._forget(connection)

    def _forget(self, connection: UpstreamConnection) -> None:
        connection.is_closing = True
        if connection.dispatch is not None:
            # The end of the request is reported before that of its
            # connection; its task calls again.
            return
        number = connection.connection_id
        if self._connections.pop(number, None) is None:
            return
        family = self._by_searcher.get(connection.searcher, {})
        family.pop(number, None)
        if not family:
            self._by_searcher.pop(connection.searcher, None)
        chore = self._loop.create_task(connection.async_release())
        self._chores.add(chore)
        chore.add_done_callback(self._chores.discard)
        self._hooks.submit(ConnectionClosed(number, 'closed'))

    def _give_up(self) -> None:
        """Drop the connections whose requests are long past their time.

        One timer for all requests is cheaper than one for each.
        """
        self._sweep = None
        now = self._loop.time()
        for dispatch in self._dispatches.values():
            if now >= dispatch.given_up_at:
                dispatch.connection.abort()
        if self._dispatches:
            self._sweep = self._loop.call_later(_SWEEP_SECONDS, self._give_up)

    async def _async_dispatch(self, dispatch: _Dispatch) -> None:
        connection = dispatch.connection
        number = dispatch.command.dispatch_id
        if connection.errand is not None:
            await asyncio.wait((connection.errand,))
        try:
            ended = await self._async_exchange(dispatch)
        except NotSentError:
            ended = DispatchEnded(number, ENDED_NOT_SENT)
        except Exception:
            # Whatever the client fails with, the owner must hear of the end.
            # The request may have left and may still run, also a cancelled
            # one: only the upstream's answer says that it stopped.
            connection.abort()
            ended = DispatchEnded(number, ENDED_LOST)
        self._dispatches.pop(number, None)
        connection.dispatch = None
        closed = connection.closed
        is_closed = closed is None or closed.done()
        self._hooks.submit(ended)
        if is_closed:
            self._forget(connection)

    async def _async_exchange(self, dispatch: _Dispatch) -> DispatchEnded:
        command = dispatch.command
        connection = dispatch.connection
        span = self._tracing.begin_child('upstream', command.traceparent)
        late = self._loop.time() - dispatch.started
        is_run = command.snapshot is None
        response = await connection.session.post(
            connection.run_url if is_run else connection.search_url,
            data=command.body,
            headers=request_headers(
                command,
                self._dispatch_name(command.dispatch_id),
                command.timeout - late,
                span.traceparent,
            ),
            # A redirect would send the request twice.
            allow_redirects=False,
        )
        ended = self._ended(dispatch, response, await _async_read(response))
        span.end(outcome=ended.outcome, searcher=connection.searcher)
        return ended

    def _ended(
        self,
        dispatch: _Dispatch,
        response: ClientResponse,
        payload: bytes | None,
    ) -> DispatchEnded:
        number = dispatch.command.dispatch_id
        if payload is None:
            dispatch.connection.abort()
            return DispatchEnded(number, ENDED_ERROR)
        return ended_from(number, response.status, response.headers, payload)

    async def _async_cancel(
        self,
        connection: UpstreamConnection,
        dispatch: _Dispatch,
    ) -> None:
        name = self._dispatch_name(dispatch.command.dispatch_id)
        call = connection.session.post(
            connection.cancel_url,
            headers={HEADER_DISPATCH: name},
            allow_redirects=False,
        )
        try:
            async with asyncio.timeout(_CANCEL_SECONDS), call as response:
                await response.read()
        except Exception:
            connection.abort()
            # The upstream may not have heard of it: hang up instead.
            if dispatch.command.dispatch_id in self._dispatches:
                dispatch.connection.abort()
        finally:
            connection.errand = None

    def _call_off(self, dispatch: _Dispatch) -> None:
        if dispatch.command.dispatch_id not in self._dispatches:
            return
        family = self._by_searcher.get(dispatch.connection.searcher, {})
        for connection in family.values():
            if connection.is_idle:
                connection.errand = self._loop.create_task(
                    self._async_cancel(connection, dispatch),
                )
                return
        for errand in map(_errand_before, family.values()):
            if errand is not None:
                again = partial(self._call_off_again, dispatch)
                errand.add_done_callback(again)
                return
        dispatch.connection.abort()

    def _call_off_again(
        self,
        dispatch: _Dispatch,
        errand: asyncio.Task[None],
    ) -> None:
        self._call_off(dispatch)

    def _dispatch_name(self, dispatch_id: int) -> str:
        return f'{self._process_name}/{dispatch_id}'


def _errand_before(
    connection: UpstreamConnection,
) -> asyncio.Task[None] | None:
    """Return the call that a cancellation may wait for, None if none."""
    return connection.errand if connection.dispatch is None else None


async def _async_read(response: ClientResponse) -> bytes | None:
    """Return the payload, None if it is larger than the bound."""
    if (response.content_length or 0) > MAX_PAYLOAD_BYTES:
        return None
    if response.content_length is not None:
        return await response.read()
    parts = []
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > MAX_PAYLOAD_BYTES:
            return None
    return b''.join(parts)
