"""A late heartbeat of a searcher that has left, after a kill of the core."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lib

SERVICE = 'kafi81c'
HAS_KILL = lib.TROUBLE and lib.os.environ.get('KILL', '1') != '0'
HAS_LATE = lib.TROUBLE and lib.os.environ.get('LATE', '1') != '0'
WARM_UP_SECONDS = 4.0
# The heartbeat is sent this long before the searcher leaves, and arrives this
# many seconds late.
SENT_BEFORE_SECONDS = 0.2
LATE_SECONDS = 4.0
KILL_AFTER_SECONDS = 0.5
DOWN_SECONDS = 0.9
# How long the searcher serves after the acknowledgement.
SERVE_SECONDS = 11.0
CLIENTS = 16
INTERVAL_SECONDS = 0.1
REQUESTS_PER_CONNECTION = 6


class Client:
    """A client of the first zone."""

    def __init__(self, group, sent) -> None:
        self._group = group
        self._sent = sent
        self._zone = lib.ZONES[0]
        self._addresses = []
        self._asked = 0.0

    async def run(self) -> None:
        """Send requests one after the other."""
        connection = None
        address = None
        used = 0
        while True:
            await self._resolve()
            if not self._addresses:
                await asyncio.sleep(0.2)
                continue
            if connection is None or address not in self._addresses:
                address = random.choice(self._addresses)
                connection = lib.Connection(*address)
            headers = lib.request_headers(3000)
            name = headers['X-Snipejunction-Request-Id']
            self._sent[name] = (address[0], time.monotonic())
            answer = await connection.request(
                'GET', '/goka902/2f', headers, seconds=1.0
            )
            self._group.record.write(
                f'client: {name} by {address[0]}: '
                f'{answer.status or answer.detail}'
            )
            used += 1
            if not connection.is_open or used >= REQUESTS_PER_CONNECTION:
                connection.close()
                connection = None
                used = 0
            await asyncio.sleep(INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    async def _resolve(self) -> None:
        if self._addresses and time.monotonic() < self._asked + 2:
            return
        machine = random.choice(self._group.machines)
        path = f'/resolve?name={lib.HOST}&region=lagos&zone={self._zone}'
        answer = await lib.Connection(machine.ip, machine.port + 5).request(
            'GET', path, keep=False
        )
        if answer.status == 200:
            texts = json.loads(answer.body)['addrs']
            pairs = [text.split(':') for text in texts]
            self._addresses = [(ip, int(port)) for ip, port in pairs]
            self._asked = time.monotonic()


async def deliver_late(group, machine, searcher, content) -> None:
    """Let a heartbeat arrive late, as one held up by a partition."""
    await asyncio.sleep(LATE_SECONDS)
    answer = await lib.Connection(machine.ip, machine.control).request(
        'POST',
        f'/Instances.Heartbeat/{searcher.id}',
        {'Content-Type': 'application/json'},
        content,
        keep=False,
    )
    group.record.write(
        f'{searcher.id}: a heartbeat of {LATE_SECONDS} s ago arrives: '
        f'{content.decode()}: {answer.status or answer.detail}'
    )


async def deregister(group, searcher) -> float:
    """Deregister a searcher; return when it was acknowledged."""
    while True:
        for machine in group.controls:
            answer = await lib.Connection(machine.ip, machine.control).request(
                'POST', f'/Instances.Deregister/{searcher.id}', keep=False
            )
            if 200 <= answer.status < 300:
                group.record.write(f'{searcher.id}: its end is acknowledged')
                return time.monotonic()


async def case(group) -> bool:
    searchers = [
        lib.Searcher(
            group, f'i-{number}', SERVICE, lib.ZONES[0], lambda request: 0.005
        )
        for number in range(3)
    ]
    leaving = searchers[0]
    await group.add(*searchers)
    query = lib.route('r-history', '/goka902/', service=SERVICE)
    await group.configure(7, [query], [lib.service(SERVICE)])
    await group.wait_ready()
    sent = {}
    tasks = [
        asyncio.create_task(Client(group, sent).run()) for _ in range(CLIENTS)
    ]
    back = -100.0
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        # Its last heartbeat is held up on the way.
        leaving.stop_beats()
        content = leaving.heartbeat()
        if HAS_LATE:
            tasks.append(
                asyncio.create_task(
                    deliver_late(group, group.machines[0], leaving, content)
                )
            )
        await asyncio.sleep(SENT_BEFORE_SECONDS)
        acknowledged = await deregister(group, leaving)
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if HAS_KILL:
            for machine in group.controls:
                machine.signal(signal.SIGKILL)
            for machine in group.controls:
                await machine.wait()
            await asyncio.sleep(DOWN_SECONDS)
            for machine in group.controls:
                await machine.restart()
            back = time.monotonic()
        await asyncio.sleep(acknowledged + SERVE_SECONDS - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    # Machines are in touch again contactMs after the start of the core.
    in_touch = back + lib.BOUNDS['contactMs'] / 1000
    limit = acknowledged + lib.BOUNDS['drainMs'] / 1000
    late = {}
    excused = 0
    for arrived, request in leaving.runs:
        address, taken = sent.get(request.id, ('', 0.0))
        if arrived <= limit:
            continue
        if taken <= in_touch:
            excused += 1
        else:
            late[address] = late.get(address, 0) + 1
    group.record.verdict(
        f'later than drainMs after the end of {leaving.id} was acknowledged: '
        f'{excused} requests by machines not in touch, '
        f'{sum(late.values())} by machines in touch {late}'
    )
    if not any(searcher.runs for searcher in searchers[1:]):
        raise lib.CannotRun('nothing was served')
    return bool(late)


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent, machines=4)
