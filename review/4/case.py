"""A planned stop while requests are at work at a searcher."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lib

SERVICE = 'kafi81c'
# The normal work of a request, and the objective and the time-out of its
# route. No request comes near its time-out.
WORK_SECONDS = (1.4, 1.9)
ROUTE = {'sloMs': 6000, 'timeoutMs': 15000}
CLIENTS = 36
WARM_UP_SECONDS = 12.0


class Client:
    """A client that keeps its connection to the machine that is stopped."""

    def __init__(self, group, machine, cut) -> None:
        self._group = group
        self._machine = machine
        self._cut = cut
        self._last_sent = None

    async def run(self, end) -> None:
        """Send requests one after the other until a time."""
        connection = lib.Connection(self._machine.ip, self._machine.front)
        while time.monotonic() < end['at']:
            headers = lib.request_headers(15000)
            name = headers['X-Snipejunction-Request-Id']
            sent = time.monotonic()
            answer = await connection.request(
                'GET', '/goka902/2f', headers, seconds=15.0
            )
            self._group.record.write(
                f'client: {name} by {self._machine.name}, sent '
                f'{time.monotonic() - sent:.2f} s ago: '
                f'{answer.status or answer.detail}'
            )
            if not answer.status:
                self._cut.append((name, sent, time.monotonic()))
                if 'refused' in answer.detail.lower():
                    return
            await asyncio.sleep(random.uniform(0.0, 0.3))


async def case(group) -> bool:
    stopped = group.machines[0]
    searchers = [
        lib.Searcher(
            group,
            f'i-{zone}',
            SERVICE,
            zone,
            lambda request: random.uniform(*WORK_SECONDS),
            slots=16,
        )
        for zone in lib.ZONES
    ]
    await group.add(*searchers)
    query = lib.route('r-history', '/goka902/', service=SERVICE, **ROUTE)
    await group.configure(7, [query], [lib.service(SERVICE)])
    await group.wait_ready()
    cut = []
    grace = lib.BOUNDS['graceS']
    end = {'at': time.monotonic() + WARM_UP_SECONDS + grace}
    tasks = [
        asyncio.create_task(Client(group, stopped, cut).run(end))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    stop = time.monotonic()
    if lib.TROUBLE:
        stopped.signal(signal.SIGTERM)
        # The directory no longer names the machine; clients use what they
        # know for ttl_s of 2 s, some for three times as long.
        end['at'] = stop + 3.8
        ended = await _wait_for_end(stopped, stop, grace)
        group.record.verdict(
            f'the processes had ended {ended - stop:.2f} s after SIGTERM, '
            f'{grace} s are allowed'
        )
    await asyncio.gather(*tasks)
    runs = {}
    for searcher in searchers:
        for at, request in searcher.runs:
            runs.setdefault(request.id, []).append((at, searcher.id))
    broken = []
    for name, sent, closed in cut:
        if name not in runs or sent < stop - 3:
            continue
        # The searcher is at work in the last sixth of graceS only if its
        # connection is still open then.
        last_sixth = stop + grace * 5 / 6
        excused = closed >= last_sixth and sent <= stop + 3
        times = [f'{at - stop:.2f} s at {where}' for at, where in runs[name]]
        group.record.verdict(
            f'{name}: sent {sent - stop:.2f} s after SIGTERM, ran {times}, '
            f'connection closed without an answer at {closed - stop:.2f} s'
        )
        if not excused:
            broken.append(name)
    group.record.verdict(
        f'{len(broken)} requests were passed on and their connections ended '
        f'without an answer'
    )
    if not runs:
        raise lib.CannotRun('nothing was served')
    return bool(broken)


async def _wait_for_end(machine, stop, grace) -> float:
    """Wait until the processes end; kill them after the grace period."""
    try:
        async with asyncio.timeout(stop + grace - time.monotonic()):
            await machine.wait()
    except TimeoutError:
        machine.signal(signal.SIGKILL)
        await machine.wait()
    return time.monotonic()


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent)
