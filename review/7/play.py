"""An order that a frozen control process took is applied after it thaws."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    BOUNDS,
    FRONT,
    HOST_NAME,
    CannotRunError,
    Fleet,
    Searcher,
    async_call,
    make_document,
    make_route,
    run_case,
    with_trouble,
)

FREEZE_SECONDS = 5.0


async def async_send_requests(fleet: Fleet) -> None:
    number = 0
    while True:
        for machine in fleet.machines:
            number += 1
            asyncio.get_running_loop().create_task(
                async_call(
                    machine.address(FRONT),
                    'GET',
                    '/lookup/x',
                    headers={
                        'X-Snipejunction-Request-Id': f'{number:016x}',
                        'X-Snipejunction-Request-Deadline': '2000',
                    },
                    seconds=2,
                    host=HOST_NAME,
                )
            )
        await asyncio.sleep(0.05)


async def async_play(folder: Path) -> bool:
    async with Fleet(folder) as fleet:
        record = fleet.record
        for machine in fleet.machines:
            for _ in range(2):
                await fleet.async_add(Searcher(fleet, 'desk', machine.zone))
        await fleet.async_configure(
            make_document(1, ['desk'], [make_route('lookup', 'desk')])
        )
        await fleet.async_wait_ready()
        await asyncio.sleep(2)
        requests = asyncio.get_running_loop().create_task(
            async_send_requests(fleet)
        )
        frozen = fleet.find_control('follower')
        # The zone that is evacuated is that of the machine that freezes.
        zone = frozen.zone
        others = [one for one in fleet.machines if one is not frozen]
        await asyncio.sleep(2)
        await fleet.async_order(f'/Evacuations.Start/{zone}', first=others[0])
        await asyncio.sleep(3)
        if with_trouble():
            record.write(f'{frozen.name} freezes')
            frozen.signal(signal.SIGSTOP)
        frozen_at = record.now()
        await fleet.async_order(f'/Evacuations.End/{zone}', first=frozen)
        await asyncio.sleep(1)
        await fleet.async_order(f'/Evacuations.Start/{zone}', first=others[0])
        evacuated_at = record.now()
        await asyncio.sleep(frozen_at + FREEZE_SECONDS - record.now())
        if with_trouble():
            frozen.signal(signal.SIGCONT)
            record.write(f'{frozen.name} thaws')
        await asyncio.sleep(12)
        end = record.now()
        requests.cancel()
        due = max(
            evacuated_at + BOUNDS['evacuateMs'] / 1000,
            frozen_at + FREEZE_SECONDS + BOUNDS['contactMs'] / 1000,
        )
        served = [run for one in fleet.searchers for run in one.runs]
        if not any(run[0] > end - 2 for run in served):
            raise CannotRunError('nothing was served')
        late = [
            run
            for one in fleet.searchers
            if one.zone == zone
            for run in one.runs
            if run[0] > due
        ]
        record.write(
            f'{len(late)} requests reached searchers of {zone} later than '
            f'{due:.3f}, while its evacuation of {evacuated_at:.3f} held'
        )
        return bool(late)


run_case(FOLDER, async_play)
