"""Calls about roll-outs to control processes."""

from __future__ import annotations

import json
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from tests.processes.harness import in_loop
from tests.processes.platform_harness import CONTROL, MachineGroup
from tests.processes.test_platform import OPERATOR_PORT, make_heartbeat

START = '/Rollouts.Start'
GET = '/Rollouts.Get/s0'
EVENT_VERSIONS_PINNED = 965


def make_order(service: str, target: object, duration: object = 60) -> bytes:
    fields = {
        'service': service,
        'targetVersion': target,
        'durationS': duration,
    }
    return json.dumps(fields).encode()


class RolloutCallsTest(TestCase):
    """Operators that order roll-outs at any control process."""

    async def async_start_site(self, stack: AsyncExitStack, *bounds) -> None:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = MachineGroup(Path(folder), 91)
        for machine in self.site.machines:
            machine.bounds.extend(bounds)
        await stack.enter_async_context(self.site)

    async def async_announce(self, status: int) -> None:
        fields = json.loads(make_heartbeat('s0', '127.0.0.9:1', 'one', 1))
        body = json.dumps({**fields, 'version': 'v1'}).encode()
        url = self.site.machines[0].url(
            OPERATOR_PORT, '/Instances.Heartbeat/i1'
        )
        await self.site.async_call_until(status, 'POST', url, body)

    async def async_order(self, number: int, body: bytes) -> int:
        url = self.site.machines[number].url(OPERATOR_PORT, START)
        status, _, _ = await self.site.async_call('POST', url, body)
        return status

    async def async_read(self, number: int, path: str = GET) -> bytes:
        url = self.site.machines[number].url(OPERATOR_PORT, path)
        body, _ = await self.site.async_call_until(200, 'GET', url)
        return body

    @in_loop
    async def test_order(self) -> None:
        """An order holds at all hosts and outlasts their restart."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, 'exposureShare = 0.1')
            await self.async_announce(200)
            first = self.site.machines[0]
            await first.async_wait_event(CONTROL, EVENT_VERSIONS_PINNED)
            for body in (
                b'',
                make_order('s0', ''),
                make_order('s0', 7),
                make_order('s0', 'v2', 0),
                make_order('s0', 'v2', 'long'),
                make_order('s9', 'v2'),
            ):
                status = await self.async_order(0, body)
                self.assertThat(status, Equals(400), body)
            missing = await self.site.async_call(
                'GET', first.url(OPERATOR_PORT, GET)
            )
            self.assertThat(missing[0], Equals(404))
            order = make_order('s0', 'v2')
            for number, expected in ((0, 200), (1, 200), (2, 200)):
                status = await self.async_order(number, order)
                self.assertThat(status, Equals(expected))
            status = await self.async_order(1, make_order('s0', 'v3'))
            self.assertThat(status, Equals(409))
            running = {'state': 'running', 'targetVersion': 'v2'}
            body = await self.async_read(2)
            self.assertThat(json.loads(body), Equals(running))
            for machine in self.site.machines:
                machine.processes[CONTROL].kill()
                await machine.processes[CONTROL].wait()
            url = first.url(OPERATOR_PORT, GET)
            for machine in self.site.machines:
                machine.is_first_start = False
                await machine.async_start(CONTROL)
            body, _ = await self.site.async_call_until(200, 'GET', url)
            self.assertThat(json.loads(body), Equals(running))

    @in_loop
    async def test_without_bounds(self) -> None:
        """Without a bound of the exposure there are no such calls."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack)
            await self.async_announce(200)
            status = await self.async_order(0, make_order('s0', 'v2'))
            self.assertThat(status, Equals(404))
            events = self.site.machines[0].events(CONTROL)
            self.assertThat(EVENT_VERSIONS_PINNED in events, Equals(False))
