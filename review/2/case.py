"""A searcher leaves while an entry host is frozen; a foreign heartbeat."""

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
# What other writers say of themselves, one in each zone. None names a service of
# the configuration. The first cuts a name inside of a character: half of a
# surrogate pair, which JSON can say and UTF-8 cannot. The second gives a number
# that is no count of slots, the third both.
FOREIGN_FIELDS = (
    '"service":"toy shop \\ud83c","slots":1',
    '"service":"toy-shop","slots":18446744073709551616',
    '"service":"\\udf81 toy shop","slots":18446744073709551616',
)
HAS_FOREIGN = lib.TROUBLE and lib.os.environ.get('FOREIGN', '1') != '0'
HAS_FREEZE = lib.TROUBLE and lib.os.environ.get('FREEZE', '1') != '0'
WARM_UP_SECONDS = 3
FREEZE_SECONDS = 4.0
LEAVE_AFTER_SECONDS = 2.0
# How long the searcher serves after the acknowledgement.
SERVE_SECONDS = 18.0
CLIENTS = 16
INTERVAL_SECONDS = 0.25
REQUESTS_PER_CONNECTION = 6


async def send_foreign_heartbeats(group, machine, fields) -> None:
    """Announce an entry that names no service of the configuration."""
    sequence = 0
    while True:
        sequence += 1
        body = (
            f'{{{fields},"address":"127.0.0.1:9","zone":"{machine.zone}",'
            '"version":"v1","state":"ready","coldLeftMs":0,'
            f'"sequence":{sequence},"born":1700000000000}}'
        ).encode()
        answer = await lib.Connection(machine.ip, machine.control).request(
            'POST',
            f'/Instances.Heartbeat/foreign-{machine.zone}',
            {'Content-Type': 'application/json'},
            body,
            keep=False,
        )
        group.record.write(
            f'foreign writer: heartbeat {sequence} to {machine.name}: '
            f'{answer.status or answer.detail}'
        )
        await asyncio.sleep(lib.HEARTBEAT_MS / 1000)


class Client:
    """A client of the first zone, with a kept connection."""

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
        machine = random.choice(self._group.controls)
        path = f'/resolve?name={lib.HOST}&region=lagos&zone={self._zone}'
        answer = await lib.Connection(machine.ip, machine.port + 5).request(
            'GET', path, keep=False
        )
        if answer.status == 200:
            texts = json.loads(answer.body)['addrs']
            pairs = [text.split(':') for text in texts]
            self._addresses = [(ip, int(port)) for ip, port in pairs]
            self._asked = time.monotonic()


def write_logs(group, frozen, leaving) -> None:
    """Copy log lines about the searcher and dropped messages."""
    for line in frozen.log_text('entry').splitlines():
        if '"event": 942' in line and f'"{leaving.id}"' in line:
            group.record.write(f'log of {frozen.name}: {line}')
    for machine in group.controls:
        for line in machine.log_text('control').splitlines():
            if '"event": 807' in line and frozen.ip in line:
                group.record.write(f'log of {machine.name}: {line}')


async def case(group) -> bool:
    frozen = group.machines[3]
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
    if HAS_FOREIGN:
        tasks += [
            asyncio.create_task(send_foreign_heartbeats(group, machine, fields))
            for machine, fields in zip(group.controls, FOREIGN_FIELDS)
        ]
    thawed = -100.0
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        if HAS_FREEZE:
            frozen.signal(signal.SIGSTOP)
        start = time.monotonic()
        await asyncio.sleep(LEAVE_AFTER_SECONDS)
        leaving.state = 'draining'
        while not await leaving.beat():
            await asyncio.sleep(0.05)
        acknowledged = time.monotonic()
        group.record.write(f'{leaving.id}: its draining is acknowledged')
        await asyncio.sleep(start + FREEZE_SECONDS - time.monotonic())
        if HAS_FREEZE:
            frozen.signal(signal.SIGCONT)
            thawed = time.monotonic()
        await asyncio.sleep(acknowledged + SERVE_SECONDS - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    # Machines are in touch again contactMs after the end of the freeze.
    in_touch = thawed + lib.BOUNDS['contactMs'] / 1000
    limit = acknowledged + lib.BOUNDS['drainMs'] / 1000
    late = []
    excused = 0
    for arrived, request in leaving.runs:
        address, taken = sent.get(request.id, ('', 0.0))
        if arrived <= limit:
            continue
        if address == frozen.ip and taken <= in_touch:
            excused += 1
        else:
            late.append((arrived, address))
    by_machine = {}
    for _, address in late:
        by_machine[address] = by_machine.get(address, 0) + 1
    all_late = sum(arrived > limit for arrived, _ in leaving.runs)
    last = max((arrived for arrived, _ in late), default=limit)
    group.record.verdict(
        f'{all_late} requests reached {leaving.id} later than drainMs after '
        f'its draining was acknowledged; {excused} of them by the machine '
        f'that had been frozen and was not in touch yet'
    )
    group.record.verdict(
        f'by machines in touch: {len(late)} {by_machine}, the last one '
        f'{last - acknowledged:.1f} s after the acknowledgement'
    )
    write_logs(group, frozen, leaving)
    others = sum(len(searcher.runs) for searcher in searchers[1:])
    if not others:
        raise lib.CannotRun('nothing was served')
    return bool(late)


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent, machines=4)
