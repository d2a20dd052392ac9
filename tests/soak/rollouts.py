"""Roll-outs beside the other faults of a soak run."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack

from tests.processes.platform_harness import POLL_SECONDS, ZONES
from tests.soak.driver import FaultInjector
from tests.soak.searchers import BEHAVIOURS, OPERATORS, Searcher
from tests.soak.world import RECOVERY_SECONDS, SHARD_SETS, UNSAFE_SERVICE

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5
DURATION_SECONDS = 10
# Share of the duration before which no version is found good.
TRIAL_SHARE = 0.7
# Time that a version is ready before it is ordered.
READY_SECONDS = 1
SERVICES = (*SHARD_SETS[0], *SHARD_SETS[1], UNSAFE_SERVICE)
_START = '/Rollouts.Start'
_NOT_FOUND = 404


class Rollout:
    """One order with the searchers of its target."""

    def __init__(self, service: str, version: str, behaviour: str) -> None:
        self.service = service
        self.version = version
        self.behaviour = behaviour
        self.state = ''
        self.started_at = float('inf')
        self.ended_at = float('inf')

    def find_violations(self, checker) -> list[str]:
        """Return how requests at the service broke the bounds."""
        found = []
        seconds = DURATION_SECONDS
        if self.behaviour == 'good':
            seconds *= TRIAL_SHARE
        end = self.started_at + seconds
        total = 0
        sent = 0
        for arrival in checker.arrivals:
            if arrival.service != self.service:
                continue
            at, is_target = arrival.at, arrival.version == self.version
            if is_target and at < self.started_at:
                found.append(f'{self} got a request before its order')
            if self.started_at <= at <= end:
                total += 1
                sent += is_target
            if is_target and self._is_over(at, checker):
                found.append(f'{self} got a request {at - self.ended_at} late')
        if sent > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
            found.append(f'{self} got {sent} of {total} requests')
        return found

    def __str__(self) -> str:
        return f'{self.behaviour} {self.version} of {self.service}'

    def _is_over(self, now: float, checker) -> bool:
        if self.state != 'rolled_back':
            return False
        if now < self.ended_at + ROLLBACK_SECONDS:
            return False
        return checker.is_undisturbed(self.ended_at, now)


class RolloutFaultInjector(FaultInjector):
    """Orders roll-outs of good and bad versions beside all other faults.

    Callers use both routes of a service equally often if traffic ``is_even``.
    """

    is_even = True
    bounds = (
        f'exposureShare = {EXPOSURE_SHARE}',
        f'exposureSlack = {EXPOSURE_SLACK}',
        f'rollbackMs = {ROLLBACK_SECONDS * 1000}',
    )

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self._rollouts: list[Rollout] = []
        self._busy = {service: asyncio.Lock() for service in SERVICES}

    async def async_run(self, seconds: float) -> None:
        """Inject faults; then check all roll-outs."""
        work = self._environment.async_send_plain(is_even=self.is_even)
        plain = asyncio.ensure_future(work)
        async with AsyncExitStack() as stack:
            stack.callback(plain.cancel)
            await super().async_run(seconds)
        newest = {rollout.service: rollout for rollout in self._rollouts}
        for rollout in newest.values():
            state = ''
            while not state:
                state = await self._async_read(rollout)
                await asyncio.sleep(POLL_SECONDS)
        for rollout in self._rollouts:
            self.log_fault(f'{rollout}: {rollout.state}')
            for violation in rollout.find_violations(self._environment.checker):
                self._environment.checker.add_violation(violation)

    def _weighted_faults(self) -> list:
        return [*super()._weighted_faults(), (8, self._async_roll_out)]

    async def _async_roll_out(self) -> None:
        service = self._random.choice(SERVICES)
        behaviours = BEHAVIOURS
        if service != UNSAFE_SERVICE:
            # Only one route goes to the others.
            behaviours = BEHAVIOURS[:-1]
        behaviour = self._random.choice(behaviours)
        if self._busy[service].locked():
            return
        async with self._busy[service]:
            version = f'v{len(self._rollouts) + 2}'
            rollout = Rollout(service, version, behaviour)
            self._rollouts.append(rollout)
            await self._async_follow(rollout)

    async def _async_follow(self, rollout: Rollout) -> None:
        """Order a roll-out and stop the searchers that its end leaves over."""
        environment = self._environment
        started = [
            Searcher(
                1000 * len(self._rollouts) + number,
                rollout.service,
                zone,
                environment,
                version=rollout.version,
                behaviour=rollout.behaviour,
            )
            for number, zone in enumerate(ZONES[:2])
        ]
        environment.targets.extend(started)
        for searcher in started:
            await searcher.async_start()
        await asyncio.sleep(READY_SECONDS)
        order = {
            'service': rollout.service,
            'targetVersion': rollout.version,
            'durationS': DURATION_SECONDS,
        }
        self.log_fault(f'roll out {rollout}')
        rollout.started_at = environment.now
        content = json.dumps(order).encode()
        await environment.async_send_command(_START, content)
        limit = environment.now + DURATION_SECONDS + RECOVERY_SECONDS
        while await self._async_read(rollout) in {'', 'running'}:
            if environment.now > limit:
                environment.checker.add_violation(f'{rollout} has no end')
                return
            await asyncio.sleep(POLL_SECONDS)
        rollout.ended_at = environment.now
        self.log_fault(f'{rollout} is {rollout.state}')
        if rollout.state == 'completed':
            replaced = [
                searcher
                for searcher in environment.searchers
                if searcher.service == rollout.service
            ]
            environment.searchers.extend(started)
            for searcher in replaced:
                environment.searchers.remove(searcher)
                environment.targets.append(searcher)
                await searcher.async_retire()

    async def _async_read(self, rollout: Rollout) -> str:
        """Return the state that a random machine shows, empty without one."""
        checker = self._environment.checker
        machine = self._random_machine()
        url = machine.url(OPERATORS, f'/Rollouts.Get/{rollout.service}')
        status, body, _ = await self._environment.site.async_call('GET', url)
        if status == _NOT_FOUND:
            checker.add_violation(f'{rollout} is lost')
            return 'lost'
        if status != 200:
            return ''
        shown = json.loads(body)
        state = shown['state']
        if shown['targetVersion'] != rollout.version:
            checker.add_violation(f'{rollout} is lost: {shown}')
        elif rollout.state not in {'', 'running', state}:
            checker.add_violation(f'{rollout} is {state} again')
        rollout.state = state
        return state


class UnevenRolloutFaultInjector(RolloutFaultInjector):
    """The same with few requests on the route that bad versions fail on."""

    is_even = False
