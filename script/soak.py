"""Runs eleven processes of a built file and asks them under load.

The hosts listen on loopback addresses of their own; five of them are control
hosts with a data folder. The 150 stand-in searchers run in this process. One
host gets SIGTERM under load; no request may be cut off by that, and every
answer must be true and whole.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
from asyncio.subprocess import Process
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession

from snipejunction.cli.client import ClientSettings, ApiClient
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.caller import Caller
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    UPSTREAM_TOKEN,
    demo_documents,
    hash_text,
)
from snipejunction.demo.load import Load, LoadReport
from snipejunction.standin.fleet import Fleet, FleetPlan

HOSTS: Final = 11
VOTERS: Final = 5
SEARCHERS: Final = 150
SHARDS: Final = 75
CALLERS: Final = 4
LIMIT_SECONDS: Final = 90
ERROR_LINES: Final = 40
WARNING: Final = re.compile(r'^W.*? host-\d+ (E\d+) ', re.MULTILINE)
PLACES: Final = ('lagos', 'kano', 'enugu')
SNAPSHOT: Final = SnapshotId(1, str(SHARDS))
PAGE_KILOBYTES: Final = os.sysconf('SC_PAGE_SIZE') // 1024
TICKS: Final = os.sysconf('SC_CLK_TCK')


class HostProcess:
    """One process of the program and its settings file."""

    def __init__(self, number: int) -> None:
        """Choose the address: a loopback address and free ports."""
        self.name = f'host-{number:02}'
        self.ip = f'127.0.0.{10 + number}'
        self.place = PLACES[number % len(PLACES)]
        self.peer_port = _free_port(self.ip)
        self.http_port = _free_port(self.ip)
        self.process: Process | None = None

    @property
    def address(self) -> str:
        """Return the HTTP address."""
        return f'{self.ip}:{self.http_port}'

    @property
    def running(self) -> Process:
        """Return the process."""
        assert self.process is not None
        return self.process

    def write_settings(
        self,
        folder: Path,
        voters: list[dict[str, Any]],
    ) -> Path:
        """Write the settings file; return its path."""
        document = {
            'name': self.name,
            'ip': self.ip,
            'peer_port': self.peer_port,
            'http_port': self.http_port,
            'data_centre': self.place,
            'region': self.place,
            'voters': voters,
            'peer_key_file': str(folder / 'peer.key'),
            'operator_token_sha256': hash_text(OPERATOR_TOKEN),
        }
        if any(voter['name'] == self.name for voter in voters):
            document['data_folder'] = str(folder / self.name)
        path = folder / f'{self.name}.json5'
        path.write_text(json.dumps(document))
        return path

    async def async_start(self, program: str, settings: Path) -> None:
        """Start the process."""
        log = settings.with_suffix('.log').open('wb')
        self.process = await asyncio.create_subprocess_exec(
            program,
            'serve',
            '--settings',
            str(settings),
            stdout=log,
            stderr=log,
            env=_environment(),
        )
        log.close()

    async def async_end(self) -> None:
        """End the process if it still runs."""
        if self.running.returncode is None:
            self.running.kill()
            await self.running.wait()

    def resident_megabytes(self) -> float:
        """Return the resident memory."""
        statm = Path(f'/proc/{self.running.pid}/statm').read_text()
        return int(statm.split()[1]) * PAGE_KILOBYTES / 1024

    def processor_seconds(self) -> float:
        """Return the processor time used so far."""
        stat = Path(f'/proc/{self.running.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


class Soak:
    """The run, and what was broken in it."""

    def __init__(self, program: str, answers: int, is_killing: bool) -> None:
        """Prepare a run of a built file."""
        self._is_killing = is_killing
        self._program = program
        self._answers = answers
        self._hosts = [HostProcess(number) for number in range(HOSTS)]
        self.broken: list[str] = []

    @property
    def addresses(self) -> list[str]:
        """Return the HTTP addresses."""
        return [host.address for host in self._hosts]

    async def async_run(self) -> None:
        """Start everything, search, stop one host, search again."""
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            begun = time.monotonic()
            await self._async_start(folder, stack)
            await self._async_until_ready()
            print(f'{HOSTS} hosts ready after {_since(begun)}')
            await self._async_measure_idle()
            access = ClientSettings(tuple(self.addresses), OPERATOR_TOKEN)
            async with ApiClient(access) as client:
                change = {
                    'change_id': 'soak',
                    'base': 0,
                    'documents': demo_documents(prefer='coverage'),
                }
                await client.async_request('PUT', '/v1/settings', change)
            plan = FleetPlan(SERVICE, PLACES, SEARCHERS, SHARDS)
            urls = [f'http://{address}' for address in self.addresses]
            fleet = await stack.enter_async_context(
                Fleet(plan, urls, UPSTREAM_TOKEN, (SNAPSHOT,)),
            )
            begun = time.monotonic()
            await self._async_first_answer()
            print(f'first whole answer after {_since(begun)}')
            await self._async_every_host()
            await self._async_ask_by_command()
            await self._async_load_and_stop()
            if self._is_killing:
                await self._async_load_and_kill()
            self._expect('limits of the searchers', not fleet.breaches)
            print(f'breaches counted by the searchers: {fleet.breaches}')
            self._report_failures(folder)

    async def _async_start(self, folder: Path, stack: AsyncExitStack) -> None:
        (folder / 'peer.key').write_text(secrets.token_hex(32))
        voters = [
            {'name': host.name, 'ip': host.ip, 'peer_port': host.peer_port}
            for host in self._hosts[:VOTERS]
        ]
        for host in self._hosts:
            settings = host.write_settings(folder, voters)
            await host.async_start(self._program, settings)
            stack.push_async_callback(host.async_end)

    async def _async_until_ready(self) -> None:
        async with ClientSession() as session:
            for host in self._hosts:
                while not await _async_is_ready(session, host.address):
                    if host.running.returncode is not None:
                        raise RuntimeError(f'{host.name} ended')
                    await asyncio.sleep(0.05)

    async def _async_measure_idle(self) -> None:
        seconds = 3
        before = [host.processor_seconds() for host in self._hosts]
        await asyncio.sleep(seconds)
        shares = [
            100 * (host.processor_seconds() - was) / seconds
            for host, was in zip(self._hosts, before, strict=True)
        ]
        sizes = [host.resident_megabytes() for host in self._hosts]
        print(
            f'idle: {min(sizes):.1f} to {max(sizes):.1f} MB resident, '
            f'processor of control hosts {max(shares[:VOTERS]):.1f} %, '
            f'of others {max(shares[VOTERS:]):.1f} % at most',
        )

    async def _async_first_answer(self) -> None:
        async with Caller(self.addresses, CALLER_TOKEN) as caller:
            share = 0.0
            while share < 1:
                reply = await caller.async_search(
                    SERVICE,
                    {'query': {'text': 'red'}, 'deadline_ms': 2000},
                )
                if reply.is_ok:
                    share = reply.document['coverage']['share']

    async def _async_every_host(self) -> None:
        """Ask each host for addresses, and use what it answers."""
        report = LoadReport()
        query = {'text': 'wooden train', 'limit': 10}
        for host in self._hosts:
            async with Caller([host.address], CALLER_TOKEN) as caller:
                begun = time.monotonic()
                reply = await caller.async_search(
                    SERVICE,
                    {'query': query, 'deadline_ms': 2000, 'top': 10},
                )
                report.note(query, reply, time.monotonic() - begun)
        self._judge('by way of each host', report)

    async def _async_ask_by_command(self) -> None:
        """Ask by the command line of the built file itself."""
        process = await asyncio.create_subprocess_exec(
            self._program,
            'query',
            SERVICE,
            '{"text": "red", "limit": 10}',
            '--json',
            stdout=asyncio.subprocess.PIPE,
            env={
                **_environment(),
                'SNIPEJUNCTION_HOSTS': ','.join(self.addresses),
                'SNIPEJUNCTION_TOKEN': CALLER_TOKEN,
            },
        )
        output, _ = await process.communicate()
        is_whole = process.returncode == 0 and (
            json.loads(output)['coverage']['share'] == 1
        )
        self._expect('the command line gets a whole answer', is_whole)

    async def _async_load_and_stop(self) -> None:
        async with Load(self.addresses, CALLERS, 1) as load:
            await load.async_until(self._answers)
            leaver = self._hosts[-1]
            begun = time.monotonic()
            leaver.running.send_signal(signal.SIGTERM)
            code = await leaver.running.wait()
            print(f'{leaver.name} ended with {code} after {_since(begun)}')
            await load.async_until(self._answers)
        self._expect('a planned stop ends with 0', code == 0)
        self._judge('under load, with a planned stop', load.report)

    async def _async_load_and_kill(self) -> None:
        """Kill the control leader; answers must stay true."""
        leader = await self._async_find_leader()
        async with Load(self.addresses, CALLERS, 2) as load:
            await load.async_until(self._answers // 2)
            begun = time.monotonic()
            leader.running.kill()
            await leader.running.wait()
            await load.async_until(1)
            print(f'{leader.name} killed; next answer {_since(begun)} later')
            await self._async_first_answer()
            print(f'a whole answer {_since(begun)} later')
            await load.async_until(self._answers)
        report = load.report
        print(f'with the control leader killed: {report.summary()}')
        self._expect('answers are true after a kill', not report.false_answers)

    async def _async_find_leader(self) -> HostProcess:
        async with ApiClient(
            ClientSettings(tuple(self.addresses), OPERATOR_TOKEN),
        ) as client:
            status = await client.async_request('GET', '/v1/status')
        names = {replica['leader'] for replica in status['replicas']}
        return next(host for host in self._hosts if host.name in names)

    def _judge(self, name: str, report: LoadReport) -> None:
        print(f'{name}: {report.summary()}')
        for problem in report.false_answers[:3] + report.partial_answers[:3]:
            print(f'  {problem}')
        self._expect(f'{name}: answers are true', not report.false_answers)
        self._expect(f'{name}: none is cut off', not report.failed)
        self._expect(f'{name}: all are whole', report.worst_coverage == 1)

    def _expect(self, promise: str, holds: bool) -> None:
        if not holds:
            self.broken.append(promise)

    def _report_failures(self, folder: Path) -> None:
        """Show errors in the logs of the hosts; there should be none."""
        warnings = Counter(
            match.group(1)
            for path in folder.glob('*.log')
            for match in WARNING.finditer(path.read_text(errors='replace'))
        )
        print(f'warnings of the hosts by event: {dict(warnings)}')
        for path in sorted(folder.glob('*.log')):
            lines = path.read_text(errors='replace').splitlines()
            first = next(
                (
                    number
                    for number, line in enumerate(lines)
                    if line.startswith('E')
                ),
                None,
            )
            if first is not None:
                self.broken.append(f'{path.stem} logged errors')
                shown = lines[first : first + ERROR_LINES]
                print('\n'.join([path.stem, *shown]))


async def _async_is_ready(session: ClientSession, address: str) -> bool:
    try:
        async with session.get(f'http://{address}/readyz') as response:
            return response.status == 200
    except (ClientError, OSError):
        return False


def _environment() -> dict[str, str]:
    """Return the environment without ways to import from elsewhere."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith('PYTHON')
    }


def _free_port(ip: str) -> int:
    with socket.create_server((ip, 0)) as bound:
        return int(bound.getsockname()[1])


def _since(begun: float) -> str:
    return f'{time.monotonic() - begun:.2f} s'


async def _async_main(program: str, answers: int, is_killing: bool) -> int:
    soak = Soak(program, answers, is_killing)
    async with asyncio.timeout(LIMIT_SECONDS):
        await soak.async_run()
    if soak.broken:
        print(f'broken: {"; ".join(soak.broken)}')
        return 1
    print('all promises hold')
    return 0


def main() -> int:
    """Run; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('program', help='the built file')
    parser.add_argument('--answers', type=int, default=100)
    parser.add_argument(
        '--kill',
        action='store_true',
        help='kill the control leader as well',
    )
    arguments = parser.parse_args()
    program = str(Path(arguments.program).resolve())
    return asyncio.run(
        _async_main(program, arguments.answers, arguments.kill),
    )


if __name__ == '__main__':
    sys.exit(main())
