"""Executes the commands of the systems."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, TypeAlias

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
from snipejunction.components.owner.messages import AnnounceResponse
from snipejunction.components.owner.upstream_messages import (
    CancelDispatch,
    CloseConnection,
    DispatchRequest,
    OpenConnection,
)
from snipejunction.components.root.messages import SearchResponse

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

Answer: TypeAlias = (
    AnnounceResponse
    | ChangeResponse
    | RunResponse
    | SearchResponse
    | VoterChangeResponse
)


@singledispatch
def execute(command: object, host: HostRuntime) -> None:
    """Execute a command without blocking.

    Raises:
        TypeError: for a command of an unknown type.
    """
    raise TypeError(f'unknown command type {type(command).__name__}')


@execute.register(SendPeer)
def _send_peer(command: SendPeer, host: HostRuntime) -> None:
    host.peers.send(command.host, command.message)


@execute.register(LogEvent)
def _log(command: LogEvent, host: HostRuntime) -> None:
    host.log(command)


@execute.register(IncrementCounter)
def _count(command: IncrementCounter, host: HostRuntime) -> None:
    host.metrics.count(command.name, command.amount)


@execute.register(RecordDuration)
def _time(command: RecordDuration, host: HostRuntime) -> None:
    host.metrics.time(command.name, command.seconds)


@execute.register(EndSpan)
def _end_span(command: EndSpan, host: HostRuntime) -> None:
    host.tracing.record(
        command.name,
        command.traceparent,
        (command.started, command.ended),
        command.fields,
    )


@execute.register(StopProcess)
def _stop(command: StopProcess, host: HostRuntime) -> None:
    host.mark_stopped()


@execute.register(PersistLog)
def _persist(command: PersistLog, host: HostRuntime) -> None:
    host.persist(command)


@execute.register(AnnounceResponse)
@execute.register(ChangeResponse)
@execute.register(RunResponse)
@execute.register(SearchResponse)
@execute.register(VoterChangeResponse)
def _answer(command: Answer, host: HostRuntime) -> None:
    host.calls.resolve(command.call_id, command)


@execute.register(OpenConnection)
def _open(command: OpenConnection, host: HostRuntime) -> None:
    host.upstreams.open(command)


@execute.register(CloseConnection)
def _close(command: CloseConnection, host: HostRuntime) -> None:
    host.upstreams.close(command)


@execute.register(DispatchRequest)
def _dispatch(command: DispatchRequest, host: HostRuntime) -> None:
    host.upstreams.dispatch(command)


@execute.register(CancelDispatch)
def _cancel(command: CancelDispatch, host: HostRuntime) -> None:
    host.upstreams.cancel(command)
