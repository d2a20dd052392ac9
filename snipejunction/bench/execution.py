"""Execution of the commands of a core on a virtual host."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final

from snipejunction.commands import (
    IncrementCounter,
    EndSpan,
    LogEvent,
    SendPeer,
    StopProcess,
    RecordDuration,
)
from snipejunction.components.consensus.messages import (
    PersistLog,
    VoterChangeResponse,
)
from snipejunction.components.control.messages import ChangeResponse
from snipejunction.components.journal.messages import RunResponse
from snipejunction.components.owner.const import ENDED_LOST
from snipejunction.components.owner.messages import AnnounceResponse
from snipejunction.components.owner.upstream_messages import (
    CancelDispatch,
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    DispatchEnded,
    DispatchRequest,
    OpenConnection,
)
from snipejunction.components.root.messages import SearchResponse
from snipejunction.messages import Message

if TYPE_CHECKING:
    from snipejunction.bench.virtual_host import VirtualHost

# A dispatch without a result counts as lost this long after its deadline.
LOSS_GRACE_SECONDS: Final = 0.02
# Duration of one disk sync.
DISK_SYNC_SECONDS: Final = 0.002


@singledispatch
def execute(command: object, host: VirtualHost) -> None:
    """Execute a command of a host.

    Raises:
        TypeError: for a command of an unknown type.
    """
    raise TypeError(
        f'no execution registered for command {type(command).__name__}'
    )


@execute.register(SendPeer)
def _send_peer(command: SendPeer, host: VirtualHost) -> None:
    host.run.network.send(host.name, command.host, command.message)


@execute.register(LogEvent)
def _record_event(command: LogEvent, host: VirtualHost) -> None:
    host.events.append((host.run.schedule.now, command))


@execute.register(IncrementCounter)
def _add_to_metric(command: IncrementCounter, host: VirtualHost) -> None:
    host.metrics[command.name] += command.amount


@execute.register(RecordDuration)
@execute.register(EndSpan)
def _count_observation(
    command: RecordDuration | EndSpan, host: VirtualHost
) -> None:
    host.metrics[command.name] += 1


@execute.register(ChangeResponse)
@execute.register(VoterChangeResponse)
@execute.register(RunResponse)
@execute.register(AnnounceResponse)
@execute.register(SearchResponse)
def _answer_call(command: object, host: VirtualHost) -> None:
    host.answer(command)


@execute.register(StopProcess)
def _stop_process(command: StopProcess, host: VirtualHost) -> None:
    host.finish_stop()


@execute.register(OpenConnection)
def _open_connection(command: OpenConnection, host: VirtualHost) -> None:
    upstream = host.run.upstream(command.searcher)
    connection_id = command.connection_id
    delay = host.run.delay_to(host, command.searcher)
    if upstream is None:
        closed = ConnectionClosed(connection_id, 'refused')
        _deliver_later(host, delay, closed)
        return
    host.run.connections[host.name, connection_id] = command.searcher
    upstream.connect(host.name, connection_id)
    opening_seconds = upstream.connect_seconds + 2 * delay
    _deliver_later(host, opening_seconds, ConnectionOpened(connection_id))


@execute.register(CloseConnection)
def _close_connection(command: CloseConnection, host: VirtualHost) -> None:
    connection_key = (host.name, command.connection_id)
    searcher = host.run.connections.pop(connection_key, '')
    delay = host.run.delay_to(host, searcher)
    upstream = host.run.upstream(searcher)
    if upstream is not None:
        upstream.disconnect(*connection_key)
    _deliver_later(
        host,
        delay,
        ConnectionClosed(command.connection_id, 'closed'),
    )


@execute.register(DispatchRequest)
def _dispatch(command: DispatchRequest, host: VirtualHost) -> None:
    _Dispatch(host, command).start()


@execute.register(CancelDispatch)
def _cancel_dispatch(command: CancelDispatch, host: VirtualHost) -> None:
    searcher = host.run.dispatches.get((host.name, command.dispatch_id), '')
    upstream = host.run.upstream(searcher)
    if upstream is None:
        return
    delay = host.run.delay_to(host, searcher)
    host.run.schedule.after(
        delay,
        lambda: upstream.cancel(host.name, command.dispatch_id),
    )


@execute.register(PersistLog)
def _schedule_sync(command: PersistLog, host: VirtualHost) -> None:
    incarnation = host.incarnation
    host.run.schedule.after(
        DISK_SYNC_SECONDS,
        lambda: _sync(command, host, incarnation),
    )


def _sync(command: PersistLog, host: VirtualHost, incarnation: int) -> None:
    if not host.is_alive or host.incarnation != incarnation:
        return
    host.metrics['syncs'] += 1
    host.receive(host.run.folders[host.name].execute(command))


def _deliver_later(host: VirtualHost, delay: float, message: Message) -> None:
    """Deliver a message after a delay if the same process still runs."""
    incarnation = host.incarnation

    host.run.schedule.after(
        delay,
        lambda: host.receive_as(incarnation, message),
    )


class _Dispatch:
    """A request on its way to a searcher and its result on the way back."""

    __slots__ = ('_command', '_delay', '_host', '_is_ended', '_searcher')

    def __init__(self, host: VirtualHost, command: DispatchRequest) -> None:
        self._host = host
        self._command = command
        connection_key = (host.name, command.connection_id)
        self._searcher = host.run.connections.get(connection_key, '')
        self._delay = host.run.delay_to(host, self._searcher)
        self._is_ended = False

    def start(self) -> None:
        """Send the request and schedule its loss after the deadline."""
        run = self._host.run
        dispatch_id = self._command.dispatch_id
        run.dispatches[self._host.name, dispatch_id] = self._searcher
        if self._command.connection_id not in self._host.silent_connections:
            run.schedule.after(self._delay, self._deliver)
        lost = DispatchEnded(dispatch_id, ENDED_LOST)
        loss_timeout = (
            self._command.timeout + 2 * self._delay + LOSS_GRACE_SECONDS
        )
        incarnation = self._host.incarnation
        run.schedule.after(
            loss_timeout,
            lambda: self._finish(lost, incarnation),
        )

    def _deliver(self) -> None:
        upstream = self._host.run.upstream(self._searcher)
        if upstream is None:
            lost = DispatchEnded(self._command.dispatch_id, ENDED_LOST)
            self._return_result(lost)
            return
        if self._host.is_alive:
            upstream.dispatch(
                self._host.name,
                self._command,
                self._return_result,
            )

    def _return_result(self, ended: DispatchEnded) -> None:
        if self._command.connection_id in self._host.silent_connections:
            return
        incarnation = self._host.incarnation
        self._host.run.schedule.after(
            self._delay,
            lambda: self._finish(ended, incarnation),
        )

    def _finish(self, ended: DispatchEnded, incarnation: int) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        dispatch_key = (self._host.name, self._command.dispatch_id)
        self._host.run.dispatches.pop(dispatch_key, None)
        self._host.receive_as(incarnation, ended)
