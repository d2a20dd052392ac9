"""Clients leave before their deadline, while a searcher is at work."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lib

SERVICE = 'kafi81c'
WORK_SECONDS = (1.1, 1.3)
ROUTE = {'sloMs': 4000, 'timeoutMs': 8000}
CLIENTS = 12
# The share of the requests whose client leaves, and when at the latest:
# a quarter of the objective, half of it is the default of the users' page.
LEAVING_SHARE = 0.2
LEAVE_SECONDS = (0.1, 1.0)
WARM_UP_SECONDS = 6.0
RUN_SECONDS = 30.0
LATE_SECONDS = 0.5


class Counts:
    """What was seen of the requests whose clients left."""

    def __init__(self) -> None:
        self.lasting = 0
        self.at_work = 0
        self.arrivals_after = 0


async def send_requests(group, searchers, counts, state) -> None:
    """Send requests one after the other; leave some of them early."""
    machine = random.choice(group.machines)
    connection = lib.Connection(machine.ip, machine.front)
    while True:
        headers = lib.request_headers(8000)
        name = headers['X-Snipejunction-Request-Id']
        task = asyncio.create_task(
            connection.request('GET', '/goka902/2f', headers, seconds=8.0)
        )
        is_leaving = state['leaving'] and random.random() < LEAVING_SHARE
        pause = random.uniform(*LEAVE_SECONDS) if is_leaving else 10.0
        done, _ = await asyncio.wait([task], timeout=pause)
        if done:
            answer = task.result()
            group.record.write(
                f'client: {name}: {answer.status or answer.detail}'
            )
        else:
            at_work = [one.id for one in searchers if name in one.at_work]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            left = time.monotonic()
            group.record.write(f'client: {name}: left, at work: {at_work}')
            state['checks'].add(
                asyncio.create_task(
                    check_left(group, searchers, counts, name, left)
                )
            )
        await asyncio.sleep(random.uniform(0.0, 0.2))


async def check_left(group, searchers, counts, name, left) -> None:
    """Look at the searchers half a second after a client has left."""
    await asyncio.sleep(left + LATE_SECONDS - time.monotonic())
    runs = [
        (at, searcher)
        for searcher in searchers
        for at, request in searcher.runs
        if request.id == name
    ]
    if not runs or min(runs)[0] + WORK_SECONDS[0] < left + LATE_SECONDS:
        # It would have been answered by now.
        return
    counts.lasting += 1
    counts.arrivals_after += any(at > left for at, _ in runs)
    at_work = [one.id for one in searchers if name in one.at_work]
    counts.at_work += bool(at_work)
    seen = ', '.join(f'{at - left:+.2f} s at {one.id}' for at, one in runs)
    group.record.write(
        f'{name}: {LATE_SECONDS} s after its client left, at work: '
        f'{at_work}; began {seen}'
    )


async def case(group) -> bool:
    searchers = [
        lib.Searcher(
            group,
            f'i-{zone}',
            SERVICE,
            zone,
            lambda request: random.uniform(*WORK_SECONDS),
            slots=12,
        )
        for zone in lib.ZONES
    ]
    await group.add(*searchers)
    query = lib.route('r-history', '/goka902/', service=SERVICE, **ROUTE)
    await group.configure(7, [query], [lib.service(SERVICE)])
    await group.wait_ready()
    counts = Counts()
    state = {'leaving': False, 'checks': set()}
    tasks = [
        asyncio.create_task(send_requests(group, searchers, counts, state))
        for _ in range(CLIENTS)
    ]
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        state['leaving'] = lib.TROUBLE
        await asyncio.sleep(RUN_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.gather(*state['checks'])
    group.record.verdict(
        f'{counts.lasting} requests whose client left would have lasted half '
        f'a second longer; searchers were still at work on {counts.at_work} '
        f'of them half a second later'
    )
    group.record.verdict(
        f'{counts.arrivals_after} of them were sent to another searcher after '
        f'the client had left'
    )
    if not any(searcher.runs for searcher in searchers):
        raise lib.CannotRun('nothing was served')
    return counts.at_work * 4 > counts.lasting


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent)
