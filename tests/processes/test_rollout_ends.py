"""Roll-outs from the order to their end, with all processes."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, TypeAlias

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from snipejunction.const import GROUP_DEPLOYMENT
from tests.edge.gateway.scripted import ReceivedRequest, ScriptedSearcher
from tests.processes.platform_harness import (
    CONTROL,
    ENTRY,
    POLL_SECONDS,
    Machine,
    MachineGroup,
)
from tests.processes.test_platform import CALLER_PORT, OPERATOR_PORT, PUT
from tests.processes.test_rollouts import (
    EVENT_VERSIONS_PINNED,
    GET,
    START,
    make_order,
)

SERVICE = 's0'
OLD = 'v1'
NEW = 'v2'
SEARCHERS_PER_VERSION = 2
TEST_SECONDS = 180
DURATION_SECONDS = 15
# Share of the duration before which no target is found good.
TRIAL_SHARE = 0.7
ANSWER_SECONDS = 0.03
SLOW_SECONDS = 0.18
HEARTBEAT_SECONDS = 0.15
CALLERS = 6
CALLER_PAUSE_SECONDS = 0.04
# Requests before an order and after an end.
REQUESTS = 150
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5
ROLLED_BACK_SECONDS = 1
MAX_BAD_ANSWERS = 50
# Searchers that started first, in Unix milliseconds.
FIRST_START_MS = 1000
EVENT_ELECTED = 201
BOUNDS = (
    f'exposureShare = {EXPOSURE_SHARE}',
    f'exposureSlack = {EXPOSURE_SLACK}',
    f'rollbackMs = {ROLLBACK_SECONDS * 1000}',
)
# Seconds that the answer to a request of this number takes, and whether it is
# a failure.
Behaviour: TypeAlias = Callable[[int], tuple[float, bool]]


def in_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Any:
    """Run a coroutine test on its own event loop with a timeout."""
    return lambda case: asyncio.run(asyncio.wait_for(test(case), TEST_SECONDS))


def answer_well(number: int) -> tuple[float, bool]:
    return ANSWER_SECONDS, False


def fail_half(number: int) -> tuple[float, bool]:
    return ANSWER_SECONDS, number % 2 == 1


def answer_slowly(number: int) -> tuple[float, bool]:
    return SLOW_SECONDS, False


def find_last_term(machine: Machine) -> int:
    """Return the last term that a control process led in, 0 without one."""
    lines = (machine.folder / f'{CONTROL}.log').read_text().splitlines()
    entries = [json.loads(line) for line in lines if line.startswith('{')]
    return max(
        (
            entry['term']
            for entry in entries
            if entry['event'] == EVENT_ELECTED
            and entry['group'] == GROUP_DEPLOYMENT
        ),
        default=0,
    )


class VersionedSearchers:
    """All searchers of one version, and what they received and answered."""

    def __init__(self, version: str, born_ms: int, behaviour: Behaviour):
        self.version = version
        self.arrivals: list[float] = []
        self.bad_answers: list[float] = []
        self._born_ms = born_ms
        self._behaviour = behaviour
        self._searchers: list[ScriptedSearcher] = []

    async def async_start(self, stack: AsyncExitStack) -> None:
        for _ in range(SEARCHERS_PER_VERSION):
            searcher = ScriptedSearcher(self._async_answer)
            await stack.enter_async_context(searcher)
            self._searchers.append(searcher)

    async def async_announce(self, site: MachineGroup) -> None:
        """Send heartbeats of all to one machine after the other."""
        sequence = 0
        while True:
            sequence += 1
            machine = site.machines[sequence % len(site.machines)]
            for number, searcher in enumerate(self._searchers):
                name = f'{self.version}-{number}'
                url = machine.url(OPERATOR_PORT, f'/Instances.Heartbeat/{name}')
                zone = site.machines[number].zone
                fields = {
                    'service': SERVICE,
                    'address': searcher.address,
                    'zone': zone,
                    'slots': 4,
                    'state': 'ready',
                    'coldLeftMs': 0,
                    'sequence': sequence,
                    'born': self._born_ms,
                    'version': self.version,
                }
                content = json.dumps(fields).encode()
                await site.async_call('POST', url, content)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _async_answer(self, received: ReceivedRequest) -> None:
        self.arrivals.append(time.monotonic())
        seconds, is_failure = self._behaviour(len(self.arrivals))
        await asyncio.sleep(seconds)
        if is_failure or seconds > ANSWER_SECONDS:
            self.bad_answers.append(time.monotonic())
        status = '500 Failed' if is_failure else '200 OK'
        request_id = received.header('x-snipejunction-request-id')
        searcher = received.header('x-snipejunction-expect-instance')
        head = (
            f'HTTP/1.1 {status}\r\nX-Snipejunction-Request-Id: {request_id}\r\n'
            f'X-Snipejunction-Server-Stamp: {searcher}\r\n'
            'Content-Length: 4\r\n\r\nbody'
        )
        received.writer.write(head.encode())


class RolloutCase(TestCase):
    """Three machines, searchers of two versions and steady traffic."""

    async def async_start_site(
        self, stack: AsyncExitStack, behaviour: Behaviour
    ) -> None:
        """Start all; the new version is ready, and callers send requests."""
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = MachineGroup(Path(folder), 92)
        for machine in self.site.machines:
            machine.bounds.extend(BOUNDS)
        await stack.enter_async_context(self.site)
        self.statuses: list[int] = []
        self.old = VersionedSearchers(OLD, FIRST_START_MS, answer_well)
        self.new = VersionedSearchers(NEW, FIRST_START_MS + 1, behaviour)
        url = self.site.machines[0].url(OPERATOR_PORT, PUT)
        await self.site.async_call_until(200, 'POST', url, self._document())
        await self._async_announce(stack, self.old)
        for machine in self.site.machines:
            await machine.async_wait_event(CONTROL, EVENT_VERSIONS_PINNED)
            await self.async_ask_until_served(machine)
        await self._async_announce(stack, self.new)
        for number in range(CALLERS):
            self._start_task(stack, self._async_send_requests(number))
        await self.async_wait_requests(REQUESTS)
        self.assertThat(self.new.arrivals, HasLength(0))

    async def async_ask_until_served(self, machine: Machine) -> None:
        while await self._async_ask(machine) != 200:
            await asyncio.sleep(POLL_SECONDS)

    async def async_wait_requests(self, count: int) -> None:
        """Wait until callers have got as many more answers."""
        end = len(self.statuses) + count
        while len(self.statuses) < end:
            await asyncio.sleep(POLL_SECONDS)

    async def async_order(self) -> None:
        """Send the order until it is acknowledged."""
        self.ordered_at = time.monotonic()
        order = make_order(SERVICE, NEW, DURATION_SECONDS)
        url = self.site.machines[0].url(OPERATOR_PORT, START)
        await self.site.async_call_until(200, 'POST', url, order)

    async def async_read(self, machine: Machine) -> str:
        """Return the state that a machine shows, empty without an answer."""
        status, body, _ = await self.site.async_call(
            'GET', machine.url(OPERATOR_PORT, GET)
        )
        return json.loads(body)['state'] if status == 200 else ''

    async def async_wait_end(self) -> str:
        """Return the end state once any machine shows it."""
        while True:
            for machine in self.site.machines:
                state = await self.async_read(machine)
                if state not in {'running', ''}:
                    self.ended_at = time.monotonic()
                    return state
            await asyncio.sleep(POLL_SECONDS)

    async def async_wait_leader(self) -> Machine:
        """Return a machine whose control process began to lead last."""
        while True:
            terms = {
                find_last_term(machine): machine
                for machine in self.site.machines
            }
            if max(terms):
                return terms[max(terms)]
            await asyncio.sleep(POLL_SECONDS)

    async def async_check_completed(self) -> None:
        """Check the end of a good version and what follows it."""
        state = await self.async_wait_end()
        self.assertThat(state, Equals('completed'))
        limit = self.ordered_at + DURATION_SECONDS
        self.assertThat(self.ended_at, LessThan(limit))
        await self.async_wait_requests(REQUESTS)
        late = [at for at in self.old.arrivals if at > self.ended_at]
        self.assertThat(late, HasLength(0))
        self.check_exposure(self.ordered_at + DURATION_SECONDS * TRIAL_SHARE)
        self.check_callers()

    async def async_check_rolled_back(self) -> None:
        """Check the end of a bad version and all until its deadline."""
        state = await self.async_wait_end()
        self.assertThat(state, Equals('rolled_back'))
        limit = self.ordered_at + DURATION_SECONDS
        self.assertThat(self.ended_at, LessThan(limit))
        await asyncio.sleep(max(0, limit - time.monotonic()))
        await self.async_wait_requests(REQUESTS)
        self.check_exposure(limit)
        self.check_last_use()
        self.check_callers()
        for machine in self.site.machines:
            if machine.processes[CONTROL].returncode is None:
                await self.async_check_shown(machine)

    async def async_check_shown(self, machine: Machine) -> None:
        """Check that a machine shows the bad version as rolled back."""
        url = machine.url(OPERATOR_PORT, GET)
        body, _ = await self.site.async_call_until(200, 'GET', url)
        shown = {'state': 'rolled_back', 'targetVersion': NEW}
        self.assertThat(json.loads(body), Equals(shown))

    def check_exposure(self, end: float) -> None:
        """Check each moment from the order to ``end``."""
        old = sum(at < self.ordered_at for at in self.old.arrivals)
        reached = sorted(
            [(at, False) for at in self.old.arrivals[old:]]
            + [(at, True) for at in self.new.arrivals]
        )
        target = 0
        for total, (at, is_target) in enumerate(reached, start=1):
            target += is_target
            if at <= end:
                bound = EXPOSURE_SHARE * total + EXPOSURE_SLACK
                self.assertThat(target, LessThan(bound + 1))
        self.assertThat(target, GreaterThan(0))

    def check_last_use(self) -> None:
        """Check that a bad version gets nothing after its end."""
        last = self.new.arrivals[-1]
        self.assertThat(last, LessThan(self.ended_at + ROLLED_BACK_SECONDS))
        bad = self.new.bad_answers
        if len(bad) >= MAX_BAD_ANSWERS:
            limit = bad[MAX_BAD_ANSWERS - 1] + ROLLBACK_SECONDS
            self.assertThat(last, LessThan(limit))

    def check_callers(self) -> None:
        """Check that each request of a caller was served."""
        failed = [status for status in self.statuses if status != 200]
        self.assertThat(failed, HasLength(0))

    async def _async_announce(
        self, stack: AsyncExitStack, searchers: VersionedSearchers
    ) -> None:
        await searchers.async_start(stack)
        self._start_task(stack, searchers.async_announce(self.site))

    async def _async_ask(self, machine: Machine) -> int:
        status, _, _ = await self.site.async_call(
            'GET',
            machine.url(CALLER_PORT, '/q/x'),
            Host='a.example',
            X_Snipejunction_Request_Id=f'r{len(self.statuses)}',
            X_Snipejunction_Request_Deadline='1500',
        )
        return status

    async def _async_send_requests(self, number: int) -> None:
        while True:
            number += 1
            machine = self.site.machines[number % len(self.site.machines)]
            self.statuses.append(await self._async_ask(machine))
            await asyncio.sleep(CALLER_PAUSE_SECONDS)

    def _start_task(
        self, stack: AsyncExitStack, work: Coroutine[Any, Any, None]
    ) -> None:
        stack.callback(asyncio.ensure_future(work).cancel)

    def _document(self) -> bytes:
        route = {
            'name': 'r',
            'host': 'a.example',
            'pathPrefix': '/q/',
            'kind': 'safe',
            'timeoutMs': 1500,
            'sloMs': 500,
            'service': SERVICE,
            'attempts': 2,
        }
        services = [{'name': SERVICE, 'maxConns': 30}]
        fields = {'version': 1, 'routes': [route], 'services': services}
        return json.dumps(fields).encode()


class CompletedRolloutTest(RolloutCase):
    """Good versions, which take over all requests."""

    @in_loop
    async def test_good(self) -> None:
        """It is completed in time, and old searchers get nothing after."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, answer_well)
            await self.async_order()
            await self.async_check_completed()

    @in_loop
    async def test_leader_killed(self) -> None:
        """It is completed in time without the leader that took the order."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, answer_well)
            leader = await self.async_wait_leader()
            await self.async_order()
            leader.processes[CONTROL].kill()
            await leader.processes[CONTROL].wait()
            await self.async_check_completed()


class RolledBackRolloutTest(RolloutCase):
    """Bad versions, which get no more than their share until found out."""

    @in_loop
    async def test_failing(self) -> None:
        """A version that fails half of its requests is rolled back."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, fail_half)
            await self.async_order()
            await self.async_check_rolled_back()

    @in_loop
    async def test_slow(self) -> None:
        """A version that takes several times as long is rolled back."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, answer_slowly)
            await self.async_order()
            await self.async_check_rolled_back()

    @in_loop
    async def test_leader_killed(self) -> None:
        """It is rolled back without the leader that took the order."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, fail_half)
            leader = await self.async_wait_leader()
            await self.async_order()
            leader.processes[CONTROL].kill()
            await leader.processes[CONTROL].wait()
            await self.async_check_rolled_back()

    @in_loop
    async def test_all_killed_after_the_end(self) -> None:
        """The end and the current version outlast a restart of all."""
        async with AsyncExitStack() as stack:
            await self.async_start_site(stack, fail_half)
            await self.async_order()
            await self.async_check_rolled_back()
            received = len(self.new.arrivals)
            for machine in self.site.machines:
                await machine.async_kill()
            for machine in self.site.machines:
                machine.is_first_start = False
                await machine.async_start(CONTROL)
                await machine.async_start(ENTRY)
            for machine in self.site.machines:
                await self.async_ask_until_served(machine)
                await self.async_check_shown(machine)
            await self.async_wait_requests(REQUESTS)
            self.assertThat(self.new.arrivals, HasLength(received))
