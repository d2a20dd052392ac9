"""Faults in series that overlap, drawn from one seed."""

from __future__ import annotations

import asyncio
import shutil
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    POLL_SECONDS,
    Machine,
)
from tests.soak.searchers import OPERATORS, Searcher
from tests.soak.world import READY, World

ROLES = ((CONTROL,), (ENTRY,), (CONTROL, ENTRY))
HARMS = ('delay', 'reset', 'silent', 'one-way')


class Driver:
    """Draws faults and undoes each of them after a while."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._random = world.random
        self._locks = {one.zone: asyncio.Lock() for one in world.site.machines}
        self._wipes = asyncio.Lock()
        self.log: list[str] = []

    async def async_run(self, seconds: float) -> None:
        """Cause faults for a time, and wait until all of them are undone."""
        faults = (
            (4, self._async_kill),
            (2, self._async_freeze),
            (2, self._async_stop),
            (1, self._async_power_loss),
            (1, self._async_wipe),
            (4, self._async_harm),
            (3, self._async_crash),
            (2, self._async_leave),
            (4, self._async_change),
            (2, self._async_drain),
            (1, self._async_reload),
        )
        weights = [weight for weight, _ in faults]
        choices = [fault for _, fault in faults]
        end = self._world.now + seconds
        open_faults: list[asyncio.Task] = []
        while self._world.now < end:
            fault = self._random.choices(choices, weights)[0]
            open_faults.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.choice((0.05, 0.4, 1.5)))
        await asyncio.gather(*open_faults)

    def note(self, text: str) -> None:
        """Note a fault with its time."""
        self.log.append(f'{self._world.now:.2f} {text}')

    @asynccontextmanager
    async def _disturbing(self) -> AsyncIterator[None]:
        """Count the hosts as out of touch until some time after."""
        start = self._world.now
        spans = self._world.ledger.disturbed
        span = (start, float('inf'))
        spans.append(span)
        try:
            yield
        finally:
            spans.remove(span)
            # A process that starts needs a moment to listen.
            spans.append((start, self._world.now + 2))

    def _machine(self) -> Machine:
        return self._random.choice(self._world.site.machines)

    def _searcher(self) -> Searcher:
        return self._random.choice(self._world.searchers)

    async def _async_kill(self) -> None:
        machine = self._machine()
        roles = self._random.choice(ROLES)
        pause = self._random.choice((0, 0.5, 3))
        async with self._locks[machine.zone], self._disturbing():
            self.note(f'kill {machine.zone} {roles}')
            await self._async_end(machine, roles, signal.SIGKILL)
            await asyncio.sleep(pause)
            await self._async_begin(machine, roles)

    async def _async_stop(self) -> None:
        machine = self._machine()
        async with self._locks[machine.zone]:
            await self._async_up(machine)
            self.note(f'stop {machine.zone}')
            self._world.stopping[machine.zone] = self._world.now
            await self._async_end(machine, ROLES[2], signal.SIGTERM)
            self._world.stopping.pop(machine.zone)
            async with self._disturbing():
                await self._async_begin(machine, ROLES[2])

    async def _async_freeze(self) -> None:
        machine = self._machine()
        roles = self._random.choice(ROLES)
        pause = self._random.choice((0.3, 1.5, 4))
        async with self._locks[machine.zone], self._disturbing():
            self.note(f'freeze {machine.zone} {roles} {pause}')
            for role in roles:
                machine.processes[role].send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause)
            for role in roles:
                machine.processes[role].send_signal(signal.SIGCONT)

    async def _async_power_loss(self) -> None:
        roles = self._random.choice((ROLES[0], ROLES[2]))
        machines = self._world.site.machines
        async with AsyncExitStack() as stack:
            for machine in machines:
                lock = self._locks[machine.zone]
                await stack.enter_async_context(lock)
            await stack.enter_async_context(self._disturbing())
            self.note(f'power loss {roles}')
            for machine in machines:
                await self._async_end(machine, roles, signal.SIGKILL)
            for machine in machines:
                await self._async_begin(machine, roles)

    async def _async_wipe(self) -> None:
        """Lose one disk; the next one only after the first is copied."""
        machine = self._machine()
        async with (
            self._wipes,
            self._locks[machine.zone],
            self._disturbing(),
        ):
            self.note(f'wipe {machine.zone}')
            await self._async_end(machine, ROLES[0], signal.SIGKILL)
            with suppress(FileNotFoundError):
                shutil.rmtree(Path(machine.folder) / 'data')
            await self._async_begin(machine, ROLES[0])
            await asyncio.sleep(5)

    async def _async_harm(self) -> None:
        searcher = self._searcher()
        mode = self._random.choice(HARMS)
        self.note(f'{mode} {searcher.searcher_id} {searcher.service}')
        searcher.proxy.mode = mode
        if mode == 'reset':
            searcher.proxy.reset()
        await asyncio.sleep(self._random.choice((0.5, 2, 4)))
        searcher.proxy.mode = 'pass'
        # What was held back is lost, and no order of bytes is left.
        searcher.proxy.reset()

    async def _async_crash(self) -> None:
        searcher = self._searcher()
        if searcher.state != 'ready':
            return
        self.note(f'crash {searcher.searcher_id} {searcher.service}')
        searcher.state = 'gone'
        await searcher.async_crash()
        await asyncio.sleep(self._random.choice((0.2, 1, 2.5)))
        await searcher.async_start()

    async def _async_leave(self) -> None:
        searcher = self._searcher()
        if searcher.state != 'ready':
            return
        self.note(f'leave {searcher.searcher_id} {searcher.service}')
        await searcher.async_leave()
        await asyncio.sleep(2)
        await searcher.async_start()

    async def _async_change(self) -> None:
        self.note('change')
        await self._world.async_change()

    async def _async_drain(self) -> None:
        zone = self._machine().zone
        world = self._world
        self.note(f'drain {zone}')
        await world.async_order(f'/Evacuations.Start/{zone}')
        start = world.now
        await asyncio.sleep(self._random.choice((1, 6)))
        world.ledger.drains.append((zone, start, world.now))
        await world.async_order(f'/Evacuations.End/{zone}')

    async def _async_reload(self) -> None:
        machine = self._machine()
        async with self._locks[machine.zone]:
            await self._async_up(machine)
            self.note(f'reload {machine.zone}')
            for process in machine.processes.values():
                process.send_signal(signal.SIGHUP)

    async def _async_up(self, machine: Machine) -> None:
        """Wait until both processes listen: signals end one that does not."""
        for offset, path in ((READY, '/ready'), (OPERATORS, '/Config.Get')):
            url = machine.url(offset, path)
            status = 0
            while not status:
                status, _, _ = await self._world.site.async_call('GET', url)
                await asyncio.sleep(POLL_SECONDS)

    async def _async_end(self, machine, roles, number) -> None:
        for role in roles:
            process = machine.processes[role]
            code = process.returncode
            if code is None:
                process.send_signal(number)
            else:
                self._world.ledger.breach(f'{role} ended by itself: {code}')
        for role in roles:
            code = await machine.processes[role].wait()
            if number == signal.SIGTERM and code:
                self._world.ledger.breach(
                    f'{machine.zone} {role} stopped with {code}',
                )

    async def _async_begin(self, machine, roles) -> None:
        machine.is_first_start = False
        for role in roles:
            await machine.async_start(role)
