"""Orders that reach the log late, after their sender has moved on."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from tests.processes.harness import in_loop
from tests.processes.platform_harness import (
    CONTROL,
    POLL_SECONDS,
    Machine,
    MachineGroup,
)
from tests.processes.test_platform import OPERATOR_PORT

EVENT_ELECTED = 201
EVENT_DRAIN_ACCEPTED = 902
START = '/Evacuations.Start/one'
END = '/Evacuations.End/one'
# Time after which an operator asks another host, and the time for which a
# host stays frozen after that, in seconds.
PATIENCE_SECONDS = 1
FREEZE_SECONDS = 3
# Time in which a host that has thawed passes on what it holds, in seconds.
THAW_SECONDS = 1.5


def read_events(machine: Machine, number: int) -> list[dict]:
    """Return the events of a kind in the log of a control process."""
    lines = (machine.folder / f'{CONTROL}.log').read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith('{')]
    return [event for event in events if event['event'] == number]


class LateOrdersTest(TestCase):
    """Starts and ends of evacuations of a data centre."""

    async def async_start_site(self, stack: AsyncExitStack) -> None:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = await stack.enter_async_context(
            MachineGroup(Path(folder), 93)
        )
        for path in (START, END):
            await self.async_order(self.site.machines[0], path)
            await self.async_wait_state(path == START)

    async def async_order(self, machine: Machine, path: str) -> None:
        """Send an order until it is acknowledged."""
        url = machine.url(OPERATOR_PORT, path)
        await self.site.async_call_until(200, 'POST', url)

    def send(self, machine: Machine, path: str) -> socket.socket:
        """Send an order; return the connection without its answer."""
        connection = socket.create_connection(
            (machine.ip, machine.port + OPERATOR_PORT)
        )
        head = f'POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
        connection.sendall(head.encode())
        return connection

    def split_roles(self) -> tuple[Machine, list[Machine]]:
        """Return the leader of the last term and the other machines."""
        elections = [
            (event['term'], number)
            for number, machine in enumerate(self.site.machines)
            for event in read_events(machine, EVENT_ELECTED)
        ]
        leader = self.site.machines[max(elections)[1]]
        others = [one for one in self.site.machines if one is not leader]
        return leader, others

    def is_out(self) -> list[bool]:
        """Return whether the data centre is out, by machine."""
        drains = [
            read_events(machine, EVENT_DRAIN_ACCEPTED)
            for machine in self.site.machines
        ]
        return [bool(found) and found[-1]['is_out'] for found in drains]

    async def async_wait_state(self, is_out: bool) -> None:
        """Wait until all machines know the state of the data centre."""
        expected = [is_out for _ in self.site.machines]
        while self.is_out() != expected:
            await asyncio.sleep(POLL_SECONDS)

    async def async_freeze(self, frozen: Machine, late: str, last: str) -> None:
        """Let a frozen host hold an order while others are acknowledged."""
        others = [one for one in self.site.machines if one is not frozen]
        process = frozen.processes[CONTROL]
        process.send_signal(signal.SIGSTOP)
        connection = self.send(frozen, late)
        await asyncio.sleep(PATIENCE_SECONDS)
        connection.close()
        await self.async_order(others[0], late)
        await self.async_order(others[0], last)
        await asyncio.sleep(FREEZE_SECONDS)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(THAW_SECONDS)
        expected = [last == START for _ in self.site.machines]
        self.assertThat(self.is_out(), Equals(expected))

    @in_loop
    async def test_frozen_follower(self) -> None:
        """What a thawed follower holds changes nothing."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack)
            for late, last in ((END, START), (START, END)):
                _, followers = self.split_roles()
                await self.async_freeze(followers[0], late, last)

    @in_loop
    async def test_frozen_leader(self) -> None:
        """What a thawed leader holds changes nothing."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack)
            for late, last in ((END, START), (START, END)):
                leader, _ = self.split_roles()
                await self.async_freeze(leader, late, last)

    @in_loop
    async def test_end_behind_the_order(self) -> None:
        """An order that was delayed is dropped if its end follows closely."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack)
            for machine in self.site.machines:
                connection = self.send(machine, START)
                await asyncio.sleep(0.005)
                connection.close()
                await asyncio.sleep(THAW_SECONDS)
                expected = [False for _ in self.site.machines]
                self.assertThat(self.is_out(), Equals(expected))

    @in_loop
    async def test_repeated(self) -> None:
        """All hosts acknowledge an order again, in both directions."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack)
            for path in (START, END, START):
                for machine in self.site.machines:
                    await self.async_order(machine, path)
                await self.async_wait_state(path == START)
