"""Plays one seed; as a module, many of them.

python -m tests.soak.run --seeds 1-50 --seconds 20 --jobs 3
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from tests.soak.driver import Driver
from tests.soak.world import World

# Loopback addresses of one seed are 127.0.BLOCK.1 and the next ones.
FIRST_BLOCK = 100
BLOCKS = 100
# Broken promises of one run that are printed.
SHOWN = 20
KEPT = Path('build/soak')


async def async_play(seed: int, seconds: float) -> list[str]:
    """Return the broken promises; logs of a run with any are kept."""
    block = FIRST_BLOCK + seed % BLOCKS
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with World(folder, block, seed) as world:
            driver = Driver(world)
            await driver.async_run(seconds)
            await world.async_check_end()
            world.ledger.check_end()
        summary = f'statuses {dict(world.ledger.statuses)}'
        breaches = list(world.ledger.breaches)
        (folder / 'faults.log').write_text('\n'.join([*driver.log, summary]))
        if breaches:
            kept = KEPT / f'seed-{seed}'
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
            (kept / 'breaches').write_text('\n'.join(breaches))
    return breaches


class Batch:
    """Many seeds, each in a process of its own."""

    def __init__(self, seconds: float, jobs: int) -> None:
        self.failed: list[int] = []
        self._seconds = seconds
        self._gate = asyncio.Semaphore(jobs)

    async def async_run(self, seeds: range) -> None:
        """Play all seeds, a few at a time."""
        await asyncio.gather(*(self._async_one(seed) for seed in seeds))

    async def _async_one(self, seed: int) -> None:
        async with self._gate:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.run',
                '--seeds',
                f'{seed}-{seed}',
                '--seconds',
                str(self._seconds),
            )
            if await process.wait():
                self.failed.append(seed)


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', default='1-3', help='first-last')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--jobs', type=int, default=2)
    wanted = parser.parse_args()
    first, _, last = wanted.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    if len(seeds) > 1:
        batch = Batch(wanted.seconds, wanted.jobs)
        asyncio.run(batch.async_run(seeds))
        sys.stdout.write(f'{len(seeds)} seeds, broken: {batch.failed}\n')
        return min(1, len(batch.failed))
    breaches = asyncio.run(async_play(seeds[0], wanted.seconds))
    for text in breaches[:SHOWN]:
        sys.stdout.write(f'seed {seeds[0]}: {text}\n')
    return min(1, len(breaches))


if __name__ == '__main__':
    sys.exit(main())
