"""Runs one seed of the soak test; as a module, a range of seeds.

python -m tests.soak.run --seeds 1-50 --seconds 20 --jobs 3
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path
from types import MappingProxyType

from tests.soak.driver import DiskFaultInjector, FaultInjector
from tests.soak.rollouts import (
    RolloutFaultInjector,
    UnevenRolloutFaultInjector,
)
from tests.soak.world import SoakEnvironment

# A seed uses the loopback addresses 127.0.BLOCK.1 and following.
FIRST_BLOCK = 100
BLOCKS = 100
# Time after the last fault within which a run ends.
MAX_END_SECONDS = 180
# Violations of one run that are printed.
MAX_PRINTED_VIOLATIONS = 20
FAILED_RUNS_FOLDER = Path('build/soak')
INJECTORS = MappingProxyType(
    {
        'all': FaultInjector,
        'disk': DiskFaultInjector,
        'rollouts': RolloutFaultInjector,
        'rollouts-uneven': UnevenRolloutFaultInjector,
    }
)


async def async_run_seed(
    seed: int,
    seconds: float,
    injector: type[FaultInjector] = FaultInjector,
) -> list[str]:
    """Run one seed and return the violations.

    The logs of a run with violations are kept.
    """
    block = FIRST_BLOCK + seed % BLOCKS
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with SoakEnvironment(
            folder, block, seed, injector.bounds
        ) as environment:
            driver = injector(environment, folder / 'faults.log')
            try:
                async with asyncio.timeout(seconds + MAX_END_SECONDS):
                    await driver.async_run(seconds)
                    await environment.async_check_end()
            except TimeoutError:
                environment.checker.add_violation('the run does not end')
            environment.checker.check_final()
            environment.customers.check_final()
            driver.log_fault(f'end, {dict(environment.checker.statuses)}')
            driver.log_fault(f'keys, {dict(environment.customers.outcomes)}')
        violations = list(environment.checker.violations)
        if violations:
            kept = FAILED_RUNS_FOLDER / f'seed-{seed}'
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
            (kept / 'breaches').write_text('\n'.join(violations))
    return violations


class SeedRunner:
    """Runs many seeds, each in a separate process."""

    def __init__(self, seconds: float, jobs: int, faults: str) -> None:
        self.failed: list[int] = []
        self._seconds = seconds
        self._faults = faults
        self._semaphore = asyncio.Semaphore(jobs)

    async def async_run(self, seeds: range) -> None:
        """Run all seeds, at most ``jobs`` at a time."""
        await asyncio.gather(*(self._async_run_process(seed) for seed in seeds))

    async def _async_run_process(self, seed: int) -> None:
        async with self._semaphore:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.run',
                '--seeds',
                f'{seed}-{seed}',
                '--seconds',
                str(self._seconds),
                '--faults',
                self._faults,
            )
            if await process.wait():
                self.failed.append(seed)


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', default='1-3', help='first-last')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--faults', choices=INJECTORS, default='all')
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    if len(seeds) > 1:
        batch = SeedRunner(arguments.seconds, arguments.jobs, arguments.faults)
        asyncio.run(batch.async_run(seeds))
        sys.stdout.write(f'{len(seeds)} seeds, broken: {batch.failed}\n')
        return min(1, len(batch.failed))
    injector = INJECTORS[arguments.faults]
    violations = asyncio.run(
        async_run_seed(seeds[0], arguments.seconds, injector)
    )
    for text in violations[:MAX_PRINTED_VIOLATIONS]:
        sys.stdout.write(f'seed {seeds[0]}: {text}\n')
    return min(1, len(violations))


if __name__ == '__main__':
    sys.exit(main())
