"""Runtime of a control host: deployment log, searcher registration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import Final

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus import systems as consensus_systems
from snipejunction.components.consensus.messages import PersistLog
from snipejunction.components.consensus.systems.idle import is_idle
from snipejunction.components.deployment import systems as deployment_systems
from snipejunction.components.deployment.messages import (
    CallAbandoned,
    OrderResult,
    ReadRequest,
    ReadResult,
)
from snipejunction.components.deployment.systems.addressing import (
    find_control_ip,
)
from snipejunction.components.registration import (
    systems as registration_systems,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.core import Core
from snipejunction.edge import const, rollouts
from snipejunction.edge.calls import CallTable
from snipejunction.edge.core_runner import CoreRunner
from snipejunction.edge.event_log import EventLog
from snipejunction.edge.gateway.host_profile import (
    HostProfile,
    find_address,
    parse_address,
)
from snipejunction.edge.gateway.service_metrics import ServiceMetrics
from snipejunction.edge.gauges import control_gauges
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.orders import OrderCalls
from snipejunction.edge.peers import Address, PeerTable, async_listen
from snipejunction.edge.storage import Storage
from snipejunction.errors import RefusedError, StorageError
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    VoterAddress,
)
from snipejunction.messages import Message, StopRequested

# Timeout of an operator's call. Callers try another host after one second.
_CALL_SECONDS: Final = 0.85
# Timeout for a stopping leader to transfer leadership.
_HAND_OVER_SECONDS: Final = 1.5
_STOP_POLL_SECONDS: Final = 0.05
SYSTEMS: Final = (
    consensus_systems,
    deployment_systems,
    registration_systems,
    rollouts.SYSTEMS,
)


class ControlHost:
    """Runs the core of a control host under asyncio."""

    def __init__(
        self,
        profile: HostProfile,
        keys: PeerKeys,
        event_log: EventLog,
        seed: int,
        stop_event: asyncio.Event,
    ) -> None:
        """Create a host; it sets ``stop_event`` if its disk fails."""
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._profile = profile
        self._event_log = event_log
        core = Core(_make_core_settings(profile), seed)
        self._node = core.node
        self._node.deployment.seeds = profile.seeds
        self._node.registration.interval = profile.announce_seconds
        self._runner = CoreRunner(core, self, loop)
        self._calls = CallTable(self.submit, core.node.random)
        self.orders: Final = OrderCalls(core.node, self._async_call, loop)
        self.rollouts: Final = rollouts.RolloutCalls(
            core.node, self._async_call, loop
        )
        self.rollouts.start(profile.exposure is not None)
        self._storage: Storage | None = None
        self._stack = AsyncExitStack()
        self._failure: StorageError | None = None
        self._stop_event = stop_event
        self.metrics = ServiceMetrics()
        self.peers: Final = PeerTable(
            profile.name,
            profile.incarnation,
            keys,
            self,
            loop,
        )

    @property
    def failure(self) -> StorageError | None:
        """Return the storage error that stopped the host, None without one."""
        return self._failure

    @property
    def is_cut_off(self) -> bool:
        """Return whether contact with the leader is lost."""
        now = self._loop.time()
        return deployment_systems.membership.is_cut_off(self._node, now)

    async def __aenter__(self) -> ControlHost:
        """Load the data folder and listen for peers."""
        async with AsyncExitStack() as stack:
            folder = self._profile.data_folder
            if folder is not None:
                groups = (GROUP_DEPLOYMENT,)
                storage = Storage(folder, self, self._loop, groups)
                stack.push_async_callback(storage.async_close)
                await storage.async_load(self._node)
                self._storage = storage
            server = await async_listen(
                self.peers,
                (self._profile.ip, self._profile.peer_port),
                self.log,
            )
            self.peers.start(None)
            stack.push_async_callback(self.peers.async_close)
            stack.callback(server.close)
            stack.callback(self._runner.stop)
            self._runner.start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop the core and close connections and files."""
        await self._stack.aclose()

    async def async_stop(self) -> None:
        """Begin a planned stop and wait for the leadership transfer.

        The wait ends after ``_HAND_OVER_SECONDS`` at the latest.
        """
        self.submit(StopRequested())
        end = self._loop.time() + _HAND_OVER_SECONDS
        while not is_idle(self._node) and self._loop.time() < end:
            await asyncio.sleep(_STOP_POLL_SECONDS)

    async def async_read(self) -> bytes | None:
        """Return the newest document, None if it cannot be confirmed.

        The result is empty if no document was committed yet.
        """
        answer = await self._async_call(ReadRequest)
        return answer.content if isinstance(answer, ReadResult) else None

    def find_control_ip(self, data_centre: str) -> str | None:
        """Return the IP address of a control host close to a data centre."""
        return find_control_ip(self._node, data_centre, self.peers.connected)

    def metrics_text(self) -> bytes:
        """Return all metrics and gauges in text format."""
        gauges = control_gauges(self._node, self._loop.time())
        return self.metrics.text(gauges)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed control hosts."""
        self._node.deployment.seeds = seeds

    def locate(self, host: str) -> Address | None:
        """Return the peer address of a host, parsed from its name."""
        return find_address(host)

    def log(self, event: LogEvent) -> None:
        """Write an event."""
        self._event_log.write(event)

    def submit(self, message: Message) -> None:
        """Handle a message and execute the resulting commands."""
        self._runner.submit(message)

    def report_failure(self, source: object, error: Exception) -> None:
        """Log a failed message or command and keep running.

        A storage error stops the host instead.
        """
        if isinstance(error, StorageError):
            self.handle_storage_failure(error)
            return
        self.log(
            LogEvent(
                const.EVENT_HANDLER_FAILED,
                kind=type(source).__name__,
                reason=repr(error),
            ),
        )

    def report_disk_full(self, error: StorageError) -> None:
        """Log a write delayed by a full disk; it is not acknowledged yet."""
        self.log(LogEvent(const.EVENT_DISK_FULL, reason=str(error)))

    def handle_storage_failure(self, error: StorageError) -> None:
        """Stop at once: acknowledged writes may not be durable."""
        self.log(LogEvent(const.EVENT_STORAGE_FAILED, reason=str(error)))
        self._failure = error
        self._runner.stop()
        self._stop_event.set()

    @singledispatchmethod
    def execute(self, command: Command) -> None:
        """Execute a command; metric commands of the core are ignored."""

    @execute.register
    def _send_peer(self, command: SendPeer) -> None:
        self.peers.send(command.host, command.message)

    @execute.register
    def _write_event(self, command: LogEvent) -> None:
        self.log(command)

    @execute.register
    def _persist(self, command: PersistLog) -> None:
        if self._storage is None:
            raise StorageError(
                f'{command.group}: cannot persist without a data folder'
            )
        self._storage.persist(command)

    @execute.register(OrderResult)
    @execute.register(ReadResult)
    def _answer(self, command: OrderResult | ReadResult) -> None:
        self._calls.resolve(command.call_id, command)

    async def _async_call(
        self,
        make_request: Callable[[int], Message],
    ) -> Command | None:
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                answer = await self._calls.async_call(
                    make_request, CallAbandoned
                )
        except (TimeoutError, RefusedError):
            # The outcome is unknown, and the caller reports it as such.
            return None
        assert isinstance(answer, Command)
        return answer


def _make_core_settings(profile: HostProfile) -> HostSettings:
    """Return the core settings; only a first start lists voters."""
    identity = HostIdentity(
        profile.name,
        profile.ip,
        profile.peer_port,
        0,
        profile.data_centre,
        profile.region,
        profile.incarnation,
    )
    voters: tuple[VoterAddress, ...] = ()
    if profile.is_first_start:
        voters = tuple(_parse_voter(name) for name in sorted(profile.seeds))
    return HostSettings(identity, voters, data_folder=profile.data_folder)


def _parse_voter(name: str) -> VoterAddress:
    ip, port = parse_address(name)
    return VoterAddress(name, ip, port)
