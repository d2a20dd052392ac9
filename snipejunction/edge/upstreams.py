"""Executes the owner's commands on connections to upstreams."""

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
    parse_response,
    build_request_headers,
)
from snipejunction.messages import Message

_OPEN_SECONDS: Final = 1.0
# Extra wait for a response after the deadline of its request.
_LOST_GRACE_SECONDS: Final = 0.05
_CANCEL_SECONDS: Final = 0.5
_SWEEP_SECONDS: Final = 0.025


class UpstreamHooks(Protocol):
    """Callbacks of the client into its host."""

    def submit(self, message: Message) -> None:
        """Handle a message."""


class _Dispatch:
    """A request in flight."""

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
    def abort_at(self) -> float:
        """Return the time at which the connection is aborted."""
        return self.started + self.command.timeout + _LOST_GRACE_SECONDS


class UpstreamClient:
    """Manages connections and requests to searchers owned by this host."""

    def __init__(
        self,
        process_name: str,
        hooks: UpstreamHooks,
        tracing: Tracing,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a client; ``process_name`` prefixes its dispatch ids."""
        self._process_name = process_name
        self._hooks = hooks
        self._tracing = tracing
        self._loop = loop
        self._open_tasks: dict[int, asyncio.Task[None]] = {}
        self._connections: dict[int, UpstreamConnection] = {}
        self._by_searcher: dict[str, dict[int, UpstreamConnection]] = {}
        self._dispatches: dict[int, _Dispatch] = {}
        self._release_tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    def open(self, command: OpenConnection) -> None:
        """Start to open a connection."""
        connection_id = command.connection_id
        task = self._loop.create_task(self._async_open(command))
        self._open_tasks[connection_id] = task
        task.add_done_callback(
            lambda _: self._on_open_done(connection_id, task)
        )

    def close(self, command: CloseConnection) -> None:
        """Start to close a connection, or cancel its opening."""
        connection_id = command.connection_id
        if connection_id in self._open_tasks:
            self._open_tasks[connection_id].cancel()
        elif connection_id in self._connections:
            self._connections[connection_id].close()
        else:
            self._hooks.submit(ConnectionClosed(connection_id, 'not open'))

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
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(
                _SWEEP_SECONDS, self._abort_expired
            )
        connection.dispatch = self._loop.create_task(
            self._async_dispatch(dispatch),
        )

    def cancel(self, command: CancelDispatch) -> None:
        """Request the upstream to cancel a request.

        The cancel call uses an idle connection of the searcher, or waits for
        another cancel call to free one. Without either, the connection of the
        request itself is aborted.
        """
        dispatch = self._dispatches.get(command.dispatch_id)
        if dispatch is None or dispatch.is_cancelled:
            return
        dispatch.is_cancelled = True
        self._send_cancellation(dispatch)

    async def async_close(self) -> None:
        """Abort all connections and wait for their tasks."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for opening in list(self._open_tasks.values()):
            opening.cancel()
        tasks = list(self._open_tasks.values())
        for connection in list(self._connections.values()):
            connection.abort()
            if connection.dispatch is not None:
                tasks.append(connection.dispatch)
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(
            *(
                connection.async_close_session()
                for connection in self._connections.values()
            ),
            *self._release_tasks,
            return_exceptions=True,
        )

    async def _async_open(self, command: OpenConnection) -> None:
        opening = self._loop.create_connection(
            lambda: ResponseHandler(self._loop),
            command.ip,
            command.port,
        )
        _, protocol = await asyncio.wait_for(opening, _OPEN_SECONDS)
        self._add_connection(command, protocol)

    def _on_open_done(
        self, connection_id: int, task: asyncio.Task[None]
    ) -> None:
        self._open_tasks.pop(connection_id)
        if task.cancelled():
            self._hooks.submit(ConnectionClosed(connection_id, 'closed'))
            return
        error = task.exception()
        if error is not None:
            reason = str(error) or 'no answer'
            self._hooks.submit(ConnectionClosed(connection_id, reason))

    def _add_connection(
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
        connection_id = command.connection_id
        self._connections[connection_id] = connection
        connections = self._by_searcher.setdefault(command.searcher, {})
        connections[connection_id] = connection
        closed = connection.closed
        if closed is None:
            self._remove_connection(connection)
            return
        closed.add_done_callback(
            lambda future: self._on_connection_closed(connection, future)
        )
        self._hooks.submit(ConnectionOpened(connection_id))

    def _on_connection_closed(
        self,
        connection: UpstreamConnection,
        closed: asyncio.Future[None],
    ) -> None:
        # Marks the exception of a reset connection as retrieved.
        closed.exception()
        self._remove_connection(connection)

    def _remove_connection(self, connection: UpstreamConnection) -> None:
        connection.is_closing = True
        if connection.dispatch is not None:
            # The end of the request must be reported before the close of its
            # connection, so its task calls this method again.
            return
        connection_id = connection.connection_id
        if self._connections.pop(connection_id, None) is None:
            return
        connections = self._by_searcher.get(connection.searcher, {})
        connections.pop(connection_id, None)
        if not connections:
            self._by_searcher.pop(connection.searcher, None)
        task = self._loop.create_task(connection.async_close_session())
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)
        self._hooks.submit(ConnectionClosed(connection_id, 'closed'))

    def _abort_expired(self) -> None:
        """Abort the connections of requests without a timely response.

        One timer for all requests is cheaper than one per request.
        """
        self._sweep_timer = None
        now = self._loop.time()
        for dispatch in self._dispatches.values():
            if now >= dispatch.abort_at:
                dispatch.connection.abort()
        if self._dispatches:
            self._sweep_timer = self._loop.call_later(
                _SWEEP_SECONDS, self._abort_expired
            )

    async def _async_dispatch(self, dispatch: _Dispatch) -> None:
        connection = dispatch.connection
        dispatch_id = dispatch.command.dispatch_id
        if connection.cancellation is not None:
            await asyncio.wait((connection.cancellation,))
        try:
            ended = await self._async_exchange(dispatch)
        except NotSentError:
            ended = DispatchEnded(dispatch_id, ENDED_NOT_SENT)
        except Exception:
            # The end must be reported to the owner for any error. Even a
            # cancelled request may have been sent and may still run: only a
            # response of the upstream confirms that it stopped.
            connection.abort()
            ended = DispatchEnded(dispatch_id, ENDED_LOST)
        self._dispatches.pop(dispatch_id, None)
        connection.dispatch = None
        closed = connection.closed
        is_closed = closed is None or closed.done()
        self._hooks.submit(ended)
        if is_closed:
            self._remove_connection(connection)

    async def _async_exchange(self, dispatch: _Dispatch) -> DispatchEnded:
        command = dispatch.command
        connection = dispatch.connection
        span = self._tracing.start_child_span('upstream', command.traceparent)
        elapsed = self._loop.time() - dispatch.started
        is_run_request = command.snapshot is None
        response = await connection.session.post(
            connection.run_url if is_run_request else connection.search_url,
            data=command.body,
            headers=build_request_headers(
                command,
                self._dispatch_name(command.dispatch_id),
                command.timeout - elapsed,
                span.traceparent,
            ),
            # Following a redirect would send the request twice.
            allow_redirects=False,
        )
        ended = self._parse_response(
            dispatch, response, await _async_read(response)
        )
        span.end(outcome=ended.outcome, searcher=connection.searcher)
        return ended

    def _parse_response(
        self,
        dispatch: _Dispatch,
        response: ClientResponse,
        payload: bytes | None,
    ) -> DispatchEnded:
        dispatch_id = dispatch.command.dispatch_id
        if payload is None:
            dispatch.connection.abort()
            return DispatchEnded(dispatch_id, ENDED_ERROR)
        ended = parse_response(
            dispatch_id, response.status, response.headers, payload
        )
        name = self._dispatch_name(dispatch_id)
        if response.headers.get(HEADER_DISPATCH, name) != name:
            # A late response to an earlier request on the connection.
            ended = DispatchEnded(dispatch_id, ENDED_LOST)
        if ended.outcome == ENDED_LOST:
            # What follows on the connection is no response either.
            dispatch.connection.abort()
        return ended

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
            # The upstream may not have received the cancel call.
            if dispatch.command.dispatch_id in self._dispatches:
                dispatch.connection.abort()
        finally:
            connection.cancellation = None

    def _send_cancellation(self, dispatch: _Dispatch) -> None:
        if dispatch.command.dispatch_id not in self._dispatches:
            return
        connections = self._by_searcher.get(dispatch.connection.searcher, {})
        for connection in connections.values():
            if connection.is_idle:
                connection.cancellation = self._loop.create_task(
                    self._async_cancel(connection, dispatch),
                )
                return
        for cancellation in map(_running_cancellation, connections.values()):
            if cancellation is not None:
                retry = partial(self._retry_cancellation, dispatch)
                cancellation.add_done_callback(retry)
                return
        dispatch.connection.abort()

    def _retry_cancellation(
        self,
        dispatch: _Dispatch,
        cancellation: asyncio.Task[None],
    ) -> None:
        self._send_cancellation(dispatch)

    def _dispatch_name(self, dispatch_id: int) -> str:
        return f'{self._process_name}/{dispatch_id}'


def _running_cancellation(
    connection: UpstreamConnection,
) -> asyncio.Task[None] | None:
    """Return a cancel call that will leave the connection idle, if any."""
    return connection.cancellation if connection.dispatch is None else None


async def _async_read(response: ClientResponse) -> bytes | None:
    """Return the payload, None if it exceeds the size limit."""
    if (response.content_length or 0) > MAX_PAYLOAD_BYTES:
        return None
    if response.content_length is not None:
        return await response.read()
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_PAYLOAD_BYTES:
            return None
    return b''.join(chunks)
