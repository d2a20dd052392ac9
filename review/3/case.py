"""A searcher in trouble sends trailer lines without end."""

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lib

SOUND_SERVICE = 'kafi81c'
SICK_SERVICE = 'huvo11a'
MEMORY_MB = 300
POLL_SECONDS = 0.01
# Pause until the platform starts a process again that it killed.
RESTART_SECONDS = 0.3
WARM_UP_SECONDS = 3.0
RUN_SECONDS = 25.0
# Clients of the sound service and of the one with the sick searcher.
CLIENTS = 48
SICK_CLIENTS = 18
INTERVAL_SECONDS = 0.2
LINES = b'x:y\r\n' * 4096


class SickSearcher(lib.Searcher):
    """A searcher whose answers do not end, until the caller closes."""

    is_sick = False

    async def answer(self, request, writer) -> None:
        """Send an answer; its last chunk is followed by lines without end."""
        if not self.is_sick:
            await super().answer(request, writer)
            return
        fields = {'Transfer-Encoding': 'chunked'}
        writer.write(self.head(200, request, fields) + b'0\r\n')
        sent = 0
        with contextlib.suppress(OSError):
            while not writer.transport.is_closing():
                writer.write(LINES)
                sent += len(LINES)
                await writer.drain()
        self._group.record.write(
            f'searcher {self.id}: sent {sent} bytes as the answer to '
            f'{request.id} until its connection was closed'
        )
        raise ConnectionResetError


class Platform:
    """Kills processes that use more memory than the machine gives them."""

    def __init__(self, group) -> None:
        self._group = group
        self.kills = []
        self.peaks = {machine.name: 0.0 for machine in group.machines}

    async def run(self) -> None:
        """Watch the entry processes."""
        while True:
            for machine in self._group.machines:
                process = machine.processes['entry']
                used = _read_memory_mb(process.pid)
                peak = max(self.peaks[machine.name], used)
                self.peaks[machine.name] = peak
                if used > MEMORY_MB and process.returncode is None:
                    self._group.record.write(
                        f'platform: entry of {machine.name} uses {used:.0f} '
                        f'MB, {MEMORY_MB} are allowed'
                    )
                    machine.signal(signal.SIGKILL, 'entry')
                    self.kills.append((time.monotonic(), machine))
                    asyncio.create_task(self._restart(machine))
                    await machine.wait('entry')
            await asyncio.sleep(POLL_SECONDS)

    async def _restart(self, machine) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        await machine.restart('entry')


def _read_memory_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    return 0.0


async def send_requests(group, method, path, cut) -> None:
    """Send requests on a kept connection, as a client does."""
    machine = random.choice(group.machines)
    connection = lib.Connection(machine.ip, machine.front)
    count = 0
    while True:
        headers = lib.request_headers(3000)
        name = headers['X-Snipejunction-Request-Id']
        is_kept = count > 0
        answer = await connection.request(method, path, headers, seconds=3.2)
        group.record.write(
            f'client: {name} by {machine.name}: '
            f'{answer.status or answer.detail}'
        )
        count += 1
        if not answer.status and (
            'closed' in answer.detail or 'Reset' in answer.detail
        ):
            if is_kept:
                cut.append((time.monotonic(), name, machine))
        if not connection.is_open:
            machine = random.choice(group.machines)
            connection = lib.Connection(machine.ip, machine.front)
            count = 0
        await asyncio.sleep(INTERVAL_SECONDS * random.uniform(0.5, 1.5))


async def case(group) -> bool:
    sound = [
        lib.Searcher(
            group, f'i-sound-{zone}', SOUND_SERVICE, zone, lambda request: 0.22
        )
        for zone in lib.ZONES
    ]
    sick = [
        SickSearcher(
            group, f'i-sick-{zone}', SICK_SERVICE, zone, lambda request: 0.02
        )
        for zone in lib.ZONES
    ]
    await group.add(*sound, *sick)
    routes = [
        lib.route('r-sound', '/goka902/', service=SOUND_SERVICE),
        lib.route('r-sick', '/nono601/', kind='unsafe', service=SICK_SERVICE),
    ]
    services = [lib.service(SOUND_SERVICE), lib.service(SICK_SERVICE)]
    await group.configure(7, routes, services)
    await group.wait_ready()
    platform = Platform(group)
    cut = []
    ignored = []
    tasks = [asyncio.create_task(platform.run())]
    tasks += [
        asyncio.create_task(send_requests(group, 'GET', '/goka902/2f', cut))
        for _ in range(CLIENTS)
    ]
    tasks += [
        asyncio.create_task(
            send_requests(group, 'POST', '/nono601/2f', ignored)
        )
        for _ in range(SICK_CLIENTS)
    ]
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        # One searcher of one service is in trouble.
        sick[0].is_sick = lib.TROUBLE
        await asyncio.sleep(RUN_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    runs = {request.id for searcher in sound for _, request in searcher.runs}
    lost = [name for _, name, _ in cut if name in runs]
    peaks = {name: round(peak) for name, peak in platform.peaks.items()}
    group.record.verdict(f'peak memory of the entry processes in MB: {peaks}')
    group.record.verdict(
        f'entry processes killed for their memory: {len(platform.kills)}'
    )
    group.record.verdict(
        f'{len(lost)} requests from kept connections were passed on to a '
        f'sound searcher, and their connections were closed without an answer'
    )
    if not runs:
        raise lib.CannotRun('nothing was served')
    return len(lost) > 3


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent)
