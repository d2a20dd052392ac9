"""Injects random, overlapping faults that are drawn from one seed."""

from __future__ import annotations

import asyncio
import resource
import shutil
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

from snipejunction.timers import NEVER
from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    POLL_SECONDS,
    Machine,
    limit_file_size,
)
from tests.soak.searchers import OPERATORS, Searcher
from tests.soak.world import READY, SoakEnvironment

# Limits that searchers state, in requests per second.
STATED_LIMITS = (0.5, 2, 8)
# Long enough for windows of limits that follow all disruptions.
CALM_SECONDS = 18
ROLES = ((CONTROL,), (ENTRY,), (CONTROL, ENTRY))
# Delays of heartbeats in seconds: before and after hosts have recovered.
LATE_SECONDS = (1, 9.5)
PROXY_FAULTS = ('delay', 'reset', 'silent', 'one-way')


class FaultInjector:
    """Injects random faults and reverts each of them after a while.

    ``bounds`` are added to those in the settings of each machine.
    """

    bounds: tuple[str, ...] = ()

    def __init__(self, environment: SoakEnvironment, log: Path) -> None:
        """Create an injector that writes each fault to a file at once."""
        self._environment = environment
        self._log = log
        self._random = environment.random
        self._locks = {
            machine.zone: asyncio.Lock()
            for machine in environment.site.machines
        }
        self._wipes = asyncio.Lock()
        # Changes whose effect is checked come one after the other.
        self._changes = asyncio.Lock()

    async def async_run(self, seconds: float) -> None:
        """Inject faults for ``seconds`` and wait until all are reverted."""
        faults = self._weighted_faults()
        weights = [weight for weight, _ in faults]
        choices = [fault for _, fault in faults]
        end = self._environment.now + seconds
        fault_tasks: list[asyncio.Task] = []
        while self._environment.now < end:
            fault = self._random.choices(choices, weights)[0]
            fault_tasks.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.choice((0.05, 0.4, 1.5)))
        await asyncio.gather(*fault_tasks)
        await self._async_limit_all()

    def log_fault(self, text: str) -> None:
        """Record a fault with its time."""
        with self._log.open('a') as log:
            log.write(f'{self._environment.now:.2f} {text}\n')

    def _weighted_faults(self) -> list:
        """Return the faults of a run with their weights."""
        return [
            (4, self._async_kill),
            (2, self._async_freeze),
            (2, self._async_stop),
            (1, self._async_power_loss),
            (1, self._async_wipe),
            (4, self._async_disturb_connections),
            (3, self._async_limit),
            (3, self._async_crash),
            (2, self._async_leave),
            (1, self._async_leave_before_power_loss),
            (4, self._async_change),
            (2, self._async_drain),
            (1, self._async_reload),
        ]

    @asynccontextmanager
    async def _disrupting(self) -> AsyncIterator[None]:
        """Record that hosts are disrupted during the block and 2 s after."""
        start = self._environment.now
        disruptions = self._environment.checker.disruptions
        open_disruption = (start, float('inf'))
        disruptions.append(open_disruption)
        try:
            yield
        finally:
            disruptions.remove(open_disruption)
            # A started process needs time until it listens.
            disruptions.append((start, self._environment.now + 2))

    def _random_machine(self) -> Machine:
        return self._random.choice(self._environment.site.machines)

    def _random_searcher(self) -> Searcher:
        return self._random.choice(self._environment.searchers)

    async def _async_kill(self) -> None:
        machine = self._random_machine()
        roles = self._random.choice(ROLES)
        pause_seconds = self._random.choice((0, 0.5, 3))
        async with self._locks[machine.zone], self._disrupting():
            self.log_fault(f'kill {machine.zone} {roles}')
            await self._async_stop_processes(machine, roles, signal.SIGKILL)
            await asyncio.sleep(pause_seconds)
            await self._async_start_processes(machine, roles)

    async def _async_stop(self) -> None:
        machine = self._random_machine()
        async with self._locks[machine.zone]:
            await self._async_wait_until_listening(machine)
            self.log_fault(f'stop {machine.zone}')
            self._environment.stopping[machine.zone] = self._environment.now
            await self._async_stop_processes(machine, ROLES[2], signal.SIGTERM)
            self._environment.stopping.pop(machine.zone)
            async with self._disrupting():
                await self._async_start_processes(machine, ROLES[2])

    async def _async_freeze(self) -> None:
        machine = self._random_machine()
        roles = self._random.choice(ROLES)
        pause_seconds = self._random.choice((0.3, 1.5, 4))
        async with self._locks[machine.zone], self._disrupting():
            self.log_fault(f'freeze {machine.zone} {roles} {pause_seconds}')
            for role in roles:
                machine.processes[role].send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_seconds)
            for role in roles:
                machine.processes[role].send_signal(signal.SIGCONT)

    async def _async_power_loss(self) -> None:
        roles = self._random.choice((ROLES[0], ROLES[2]))
        machines = self._environment.site.machines
        async with AsyncExitStack() as stack:
            for machine in machines:
                lock = self._locks[machine.zone]
                await stack.enter_async_context(lock)
            await stack.enter_async_context(self._disrupting())
            self.log_fault(f'power loss {roles}')
            for machine in machines:
                await self._async_stop_processes(machine, roles, signal.SIGKILL)
            for machine in machines:
                await self._async_start_processes(machine, roles)

    async def _async_wipe(self) -> None:
        """Delete a data folder; the next one only after it is replicated."""
        machine = self._random_machine()
        async with (
            self._wipes,
            self._locks[machine.zone],
            self._disrupting(),
        ):
            self.log_fault(f'wipe {machine.zone}')
            await self._async_stop_processes(machine, ROLES[0], signal.SIGKILL)
            with suppress(FileNotFoundError):
                shutil.rmtree(Path(machine.folder) / 'data')
            await self._async_start_processes(machine, ROLES[0])
            await asyncio.sleep(5)

    async def _async_disturb_connections(self) -> None:
        searcher = self._random_searcher()
        mode = self._random.choice(PROXY_FAULTS)
        self.log_fault(f'{mode} {searcher.searcher_id} {searcher.service}')
        searcher.proxy.mode = mode
        if mode == 'reset':
            searcher.proxy.reset()
        await asyncio.sleep(self._random.choice((0.5, 2, 4)))
        searcher.proxy.mode = 'pass'
        # The blocked bytes are lost, so the streams are corrupt: reset them.
        searcher.proxy.reset()

    async def _async_limit(self) -> None:
        searcher = self._random_searcher()
        rate = self._random.choice(STATED_LIMITS)
        self.log_fault(f'limit {searcher.searcher_id} {rate}')
        stated_rate = searcher.stated_rate
        stated_rate.replace(rate)
        await asyncio.sleep(self._random.choice((3, 10, 15)))
        stated_rate.replace(NEVER)

    async def _async_limit_all(self) -> None:
        """Let searchers state limits until no disruption excuses an excess."""
        self.log_fault('all state limits')
        for searcher in self._environment.searchers:
            searcher.stated_rate.replace(self._random.choice(STATED_LIMITS))
        await asyncio.sleep(CALM_SECONDS)
        for searcher in self._environment.searchers:
            searcher.stated_rate.replace(NEVER)

    async def _async_crash(self) -> None:
        searcher = self._random_searcher()
        if searcher.state != 'ready':
            return
        self.log_fault(f'crash {searcher.searcher_id} {searcher.service}')
        searcher.state = 'gone'
        await searcher.async_crash()
        await asyncio.sleep(self._random.choice((0.2, 1, 2.5)))
        await searcher.async_start()

    async def _async_leave(self) -> None:
        searcher = self._random_searcher()
        if searcher.state != 'ready':
            return
        is_reported = self._random.choice((True, False))
        late_seconds = self._random.choice(LATE_SECONDS)
        self.log_fault(
            f'leave {searcher.searcher_id} {searcher.service}, '
            f'reported {is_reported}, late {late_seconds}'
        )
        await searcher.async_leave(
            is_reported=is_reported, late_seconds=late_seconds
        )
        await asyncio.sleep(2)
        await searcher.async_start()

    async def _async_leave_before_power_loss(self) -> None:
        """Cut the power soon after a departure may have been acknowledged."""
        leave = asyncio.ensure_future(self._async_leave())
        await asyncio.sleep(self._random.choice((0.1, 0.5)))
        await self._async_power_loss()
        await leave

    async def _async_change(self) -> None:
        self.log_fault('change')
        await self._environment.async_change()

    async def _async_drain(self) -> None:
        zone = self._random_machine().zone
        environment = self._environment
        self.log_fault(f'drain {zone}')
        await environment.async_send_command(f'/Evacuations.Start/{zone}')
        start = environment.now
        await asyncio.sleep(self._random.choice((1, 6)))
        environment.checker.drains.append((zone, start, environment.now))
        await environment.async_send_command(f'/Evacuations.End/{zone}')

    async def _async_reload(self) -> None:
        machine = self._random_machine()
        async with self._locks[machine.zone]:
            await self._async_wait_until_listening(machine)
            self.log_fault(f'reload {machine.zone}')
            for process in machine.processes.values():
                process.send_signal(signal.SIGHUP)

    async def _async_wait_until_listening(self, machine: Machine) -> None:
        """Wait until both processes listen; signals kill one that does not."""
        for offset, path in ((READY, '/ready'), (OPERATORS, '/Config.Get')):
            url = machine.url(offset, path)
            status = 0
            while not status:
                status, _, _ = await self._environment.site.async_call(
                    'GET', url
                )
                await asyncio.sleep(POLL_SECONDS)

    async def _async_stop_processes(
        self, machine, roles, signal_number
    ) -> None:
        for role in roles:
            process = machine.processes[role]
            exit_code = process.returncode
            if exit_code is None:
                process.send_signal(signal_number)
            else:
                self._environment.checker.add_violation(
                    f'{role} ended by itself: {exit_code}'
                )
        for role in roles:
            exit_code = await machine.processes[role].wait()
            if signal_number == signal.SIGTERM and exit_code:
                self._environment.checker.add_violation(
                    f'{machine.zone} {role} stopped with {exit_code}',
                )

    async def _async_start_processes(self, machine, roles) -> None:
        machine.is_first_start = False
        for role in roles:
            await machine.async_start(role)


class DiskFaultInjector(FaultInjector):
    """Fills the disks of control hosts while configurations change."""

    def _weighted_faults(self) -> list:
        return [
            (2, self._async_fill_disk),
            (6, self._async_change_in_force),
            (1, self._async_leave),
        ]

    async def _async_change_in_force(self) -> None:
        async with self._changes:
            await self._async_change()
            await self._environment.async_check_in_force()

    async def _async_fill_disk(self) -> None:
        """Let a control process write nothing; one of them at a time."""
        machine = self._random_machine()
        async with self._wipes, self._locks[machine.zone]:
            self.log_fault(f'fill disk {machine.zone}')
            process = machine.processes[CONTROL]
            limit_file_size(process.pid, 1)
            await asyncio.sleep(self._random.choice((0.5, 4, 12)))
            limit_file_size(process.pid, resource.RLIM_INFINITY)
