"""A host of a simulation: a core whose commands act on fakes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from time import perf_counter
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from snipejunction.bench.execution import execute
from snipejunction.commands import Command
from snipejunction.components import all_systems
from snipejunction.core import Core
from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.messages import (
    Message,
    PeerConnected,
    PeerLost,
    StopRequested,
)
from snipejunction.timers import NEVER

if TYPE_CHECKING:
    from snipejunction.bench.virtual import VirtualRun

SEED_BITS: Final = 32

OnAnswer: TypeAlias = Callable[[Any], None]

# Imported so that all handlers are registered before a core runs.
SYSTEMS: Final = all_systems.SYSTEMS


class VirtualHost:
    """A host that can be killed, restarted, frozen and stopped.

    Its clock is the virtual time plus an offset, and runs faster or slower
    by ``drift``, so that no two hosts agree on the time.
    """

    __slots__ = (
        '_core',
        '_frozen_until',
        '_incarnation',
        '_last_call_id',
        '_offset',
        '_run',
        '_settings',
        '_wake_at',
        'calls',
        'cpu_seconds',
        'drift',
        'events',
        'is_stopped',
        'lost_connections',
        'metrics',
        'silent_connections',
    )

    def __init__(
        self,
        run: VirtualRun,
        settings: HostSettings,
        offset: float,
        drift: float = 0,
    ) -> None:
        """Create a host without starting it."""
        self._run = run
        self._settings = settings
        self._offset = offset
        self._core: Core | None = None
        self._incarnation = 0
        self._wake_at = NEVER
        self._frozen_until = 0.0
        self._last_call_id = 0
        self.drift = drift
        # Real time spent in the core of this host, in seconds.
        self.cpu_seconds = 0.0
        self.calls: dict[int, OnAnswer] = {}
        self.events: list[Any] = []
        self.metrics: Counter[str] = Counter()
        self.silent_connections: set[int] = set()
        self.lost_connections: set[int] = set()
        self.is_stopped = False

    @property
    def name(self) -> str:
        """Return the name of the host."""
        return self._settings.identity.name

    @property
    def settings(self) -> HostSettings:
        """Return the settings of the host."""
        return self._settings

    @property
    def run(self) -> VirtualRun:
        """Return the run that the host is part of."""
        return self._run

    @property
    def incarnation(self) -> int:
        """Return the number of the current start, from one."""
        return self._incarnation

    @property
    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self._core is not None

    @property
    def core(self) -> Core:
        """Return the core of the running process."""
        if self._core is None:
            raise ValueError(f'host {self.name} is not running')
        return self._core

    @property
    def now(self) -> float:
        """Return the time on the clock of the host."""
        return self._offset + self._run.schedule.now * (1 + self.drift)

    def start(self) -> None:
        """Start the process with the state on its disk."""
        self._incarnation += 1
        self.is_stopped = False
        identity = self._settings.identity
        self._settings.identity = HostIdentity(
            identity.name,
            identity.ip,
            identity.peer_port,
            identity.http_port,
            identity.data_centre,
            identity.region,
            f'{identity.name}#{self._incarnation}',
        )
        seed = self._run.random.getrandbits(SEED_BITS)
        self._core = Core(self._settings, seed)
        self._wake_at = NEVER
        self._run.load_disk(self)
        self.perform(self._core.start(self.now))

    def kill(self) -> None:
        """Kill the process; its open calls get no answer."""
        self._core = None
        self.calls.clear()
        self.silent_connections.clear()
        self._run.drop_process_state(self)

    def stop(self) -> None:
        """Request a planned stop."""
        self.receive(StopRequested())

    def finish_stop(self) -> None:
        """End the process at the end of a planned stop."""
        self.is_stopped = True
        open_calls = len(self.calls)
        self._run.recorder.record(
            self._run.schedule.now,
            'stopped',
            host=self.name,
            open_calls=open_calls,
        )
        self.kill()

    def freeze(self, seconds: float) -> None:
        """Suspend the process; messages are delivered afterwards."""
        self._frozen_until = self._run.schedule.now + seconds

    def receive(self, message: Message) -> None:
        """Handle a message now, or after the freeze of the host ends."""
        if self._core is None:
            return
        if self._run.schedule.now < self._frozen_until:
            self._run.schedule.at(
                self._frozen_until,
                lambda: self.receive(message),
            )
            return
        begin = perf_counter()
        commands = self._core.process(message, self.now)
        self.cpu_seconds += perf_counter() - begin
        self.perform(commands)

    def receive_as(self, incarnation: int, message: Message) -> None:
        """Handle a message if the incarnation of the process is current."""
        if self.is_alive and incarnation == self._incarnation:
            self.receive(message)

    def call(self, message: Any, on_answer: OnAnswer) -> int:
        """Send a call to the core; set its ``call_id`` and return it."""
        self._last_call_id += 1
        message.call_id = self._last_call_id
        self.calls[self._last_call_id] = on_answer
        self.receive(message)
        return self._last_call_id

    def answer(self, command: Any) -> None:
        """Pass an answer to the callback of its call."""
        on_answer = self.calls.pop(command.call_id, None)
        if on_answer is None:
            self.metrics['stray_answers'] += 1
            return
        on_answer(command)

    def peer_connected(self, other: str) -> None:
        """Report a new stream to the host."""
        self.receive(PeerConnected(other))

    def peer_lost(self, other: str) -> None:
        """Report a lost stream to the host."""
        self.receive(PeerLost(other))

    def perform(self, commands: list[Command]) -> None:
        """Execute commands and schedule the next wake-up."""
        for command in commands:
            execute(command, self)
        self._set_wake()

    def _set_wake(self) -> None:
        if self._core is None:
            return
        due = self._core.next_due()
        if due >= self._wake_at:
            return
        self._wake_at = due
        incarnation = self._incarnation
        when = (due - self._offset) / (1 + self.drift)
        self._run.schedule.at(when, lambda: self._wake(due, incarnation))

    def _wake(self, due: float, incarnation: int) -> None:
        if self._core is None or incarnation != self._incarnation:
            return
        if due != self._wake_at:
            return
        if self._run.schedule.now < self._frozen_until:
            self._run.schedule.at(
                self._frozen_until,
                lambda: self._wake(due, incarnation),
            )
            return
        self._wake_at = NEVER
        # Rounding must not make the host wake up just before its timer.
        begin = perf_counter()
        commands = self._core.advance(max(self.now, due))
        self.cpu_seconds += perf_counter() - begin
        self.perform(commands)
