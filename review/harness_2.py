"""A small deployment on loopback, with stand-ins, for the scripts of cases.

Only the standard library is used. The programs of the project are started
with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = ('marmara-a', 'ege-a', 'ic-anadolu-a')
REGIONS = {'marmara-a': 'marmara', 'ege-a': 'ege', 'ic-anadolu-a': 'ic-anadolu'}
HOST_NAME = 'desk.example'
# Offsets of the ports of one machine.
CONTROL, DIRECTORY, FRONT, READY = 2, 3, 4, 5
METRICS = {'entry': 6, 'control': 7}
PORTS = 8
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 3000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configMs': 3000,
    'rollbackSlackMs': 250,
    'skewMs': 12000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 62,
    'coldFactor': 1.5,
    'coldSlack': 5,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'ttl_max_s': 5,
}


class CannotRunError(Exception):
    """The case could not be played, whatever the system does."""


def with_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines about what was sent, answered and run, for ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, line: str) -> None:
        """Write a line with its time; print it, too."""
        text = f'{self.now():8.3f} {line}'
        print(text, flush=True)
        self._file.write(text + '\n')
        self._file.flush()


class Answer:
    """An answer to an HTTP request; status 0 if there was none."""

    def __init__(self, status=0, headers=None, body=b'', detail='') -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.detail = detail


async def async_read_head(reader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by lower-case name."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, field = line.partition(':')
        headers[name.strip().lower()] = field.strip()
    return first, headers


async def async_read_answer(reader) -> Answer:
    """Read one answer with a length."""
    first, headers = await async_read_head(reader)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Answer(int(first.split()[1]), headers, body)


def format_request(method, path, host, headers, body) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
    lines.extend(f'{name}: {field}' for name, field in headers.items())
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def async_call(
    address, method, path, body=b'', headers=None, seconds=1.0, host='control'
) -> Answer:
    """Make a call on a new connection and close it; never raises."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                format_request(method, path, host, headers or {}, body)
            )
            return await async_read_answer(reader)
    except TimeoutError:
        return Answer(detail='no answer in time')
    except (OSError, EOFError) as error:
        return Answer(detail=repr(error))
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """A machine of the deployment with its processes."""

    def __init__(
        self, ip: str, zone: str, seed_ips, fleet: Fleet, number: int = 1
    ) -> None:
        self.memory_mb = fleet.memory_mb
        self.ip = ip
        self.zone = zone
        self.name = f'front-{zone}-{number}'
        self.port = fleet.port
        self.seeds = [f'{seed}:{fleet.port + CONTROL}' for seed in seed_ips]
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.is_first_start = True
        self.processes: dict[str, subprocess.Popen] = {}

    def address(self, offset: int) -> tuple[str, int]:
        """Return an address that the machine listens on."""
        return self.ip, self.port + offset

    def start(self, role: str) -> None:
        """Start the process of a role with the command of the deploy file."""
        settings = self.folder / f'{role}.toml'
        settings.write_text(self._settings(role))
        table = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(table['roles'][role]['run'])
        position = command.index('--metrics-port') + 1
        command[position] = str(self.port + METRICS[role])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SNIPEJUNCTION_BOOT'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{role}.log').open('ab') as log:
            self.processes[role] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to all processes of the machine."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(number)

    def kill(self) -> None:
        """Kill all processes of the machine and wait for their end."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def log_lines(self, role: str) -> list[str]:
        """Return what a role has logged."""
        path = self.folder / f'{role}.log'
        return path.read_text(errors='replace').splitlines()

    def _settings(self, role: str) -> str:
        serves = ('control',) if role == 'control' else ('front', 'directory')
        listen = {'control': {'control': CONTROL}}.get(
            role, {'front': FRONT, 'ready': READY, 'directory': DIRECTORY}
        )
        first = json.dumps(self.is_first_start)
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{role}"',
            'machineClass = "front"',
            f'serves = {json.dumps(serves)}',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{REGIONS[self.zone]}"',
            f'peerPortRange = [{self.port}, {self.port + 1}]',
            f'seeds = {json.dumps(self.seeds)}',
            f'bootstrap = {first}',
            'faultCounted = true',
            'discovery = "registry"',
            'entry = "directory"',
            'heartbeatMs = 1200',
            'config_mode = "highest"',
        ]
        if role == 'control':
            lines.append(f'dataDir = "{self.folder / "data"}"')
        lines.append('[zones]')
        lines.extend(f'{zone} = "{name}"' for zone, name in REGIONS.items())
        lines.append('[listen]')
        lines.extend(
            f'{name} = "{self.ip}:{self.port + offset}"'
            for name, offset in listen.items()
        )
        lines.append(f'[limits]\nmemoryMb = {self.memory_mb}')
        lines.append('maxFds = 4100\ndiskMb = 64')
        lines.append('[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1')
        lines.append('[bounds]')
        lines.extend(f'{name} = {bound}' for name, bound in BOUNDS.items())
        return '\n'.join(lines) + '\n'


class Searcher:
    """A sound searcher; subclasses change how it answers.

    ``runs`` holds the time, the id and the path of each request that it ran.
    """

    numbers = iter(range(1, 1000))

    def __init__(self, fleet, service, zone, slots=6, work=0.02) -> None:
        number = next(self.numbers)
        self.searcher_id = f'i-{number:04x}'
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.state = 'ready'
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.runs: list[tuple[float, str, str]] = []
        self.address = (f'127.0.{fleet.block}.{100 + number}', fleet.port)
        self._server = None
        self._tasks: set[asyncio.Task] = set()
        self._room = asyncio.Semaphore(slots)

    async def async_start(self) -> None:
        """Listen, and send heartbeats from now on."""
        self._server = await asyncio.start_server(
            self._async_serve, *self.address
        )
        self._add_task(self._async_beat())

    def stop(self) -> None:
        """End without a word, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def stamp(self, request_id: str) -> str:
        """Return the signature of an answer."""
        return f'{self.searcher_id}.{self.service}.{request_id}'

    def body(self, request_id: str) -> bytes:
        """Return the answer to a request."""
        return f'{self.service} for {request_id}'.encode()

    async def async_answer(self, writer, request_id, path, headers) -> None:
        """Run a request and answer it."""
        self.runs.append((self.fleet.record.now(), request_id, path))
        await asyncio.sleep(self.work)
        self.write(writer, 200, request_id, self.body(request_id))

    def write(self, writer, status, request_id, body, extra=()) -> None:
        """Write an answer with this searcher's signature."""
        lines = [
            f'HTTP/1.1 {status} Answer',
            f'X-Snipejunction-Request-Id: {request_id}',
            f'X-Snipejunction-Server-Stamp: {self.stamp(request_id)}',
            'Keep-Alive: timeout=15',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)

    def _add_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, headers = await async_read_head(reader)
                length = int(headers.get('content-length', 0))
                await reader.readexactly(length)
                await self._async_handle(writer, first.split()[1], headers)
                await writer.drain()
        writer.transport.abort()

    async def _async_handle(self, writer, path, headers) -> None:
        request_id = headers.get('x-snipejunction-request-id', '')
        expected = headers.get('x-snipejunction-expect-instance')
        if path == '/health':
            extra = [f'X-Snipejunction-Instance-Id: {self.searcher_id}']
            status = 200 if self.state == 'ready' else 503
            self.write(writer, status, request_id, b'', extra)
        elif expected not in {None, self.searcher_id}:
            extra = ['X-Snipejunction-Not-Executed: 1']
            self.write(writer, 421, request_id, b'', extra)
        else:
            async with self._room:
                await self.async_answer(writer, request_id, path, headers)

    async def _async_beat(self) -> None:
        while True:
            await self.async_beat_once()
            await asyncio.sleep(1.2)

    async def async_beat_once(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        beat = {
            'service': self.service,
            'address': '{0}:{1}'.format(*self.address),
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'born': self.born,
            'sequence': self.sequence,
        }
        path = f'/Instances.Heartbeat/{self.searcher_id}'
        machines = list(self.fleet.machines)
        random.shuffle(machines)
        machines.sort(key=lambda machine: machine.zone != self.zone)
        for machine in machines:
            answer = await async_call(
                machine.address(CONTROL),
                'POST',
                path,
                json.dumps(beat).encode(),
            )
            if answer.status // 100 == 2:
                return True
        return False


class Fleet:
    """Three machines in three zones, and the record of a case."""

    def __init__(self, folder: Path, memory_mb: int = 300) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='snipejunction-review-'))
        self.memory_mb = memory_mb
        self.block, self.port = _find_ports()
        self._seed_ips = [f'127.0.{self.block}.{last}' for last in (1, 2, 3)]
        self.machines = [
            Machine(ip, zone, self._seed_ips, self)
            for ip, zone in zip(self._seed_ips, ZONES, strict=True)
        ]
        self.searchers: list[Searcher] = []

    async def __aenter__(self):
        for machine in self.machines:
            machine.start('control')
            machine.start('entry')
        return self

    async def __aexit__(self, *details) -> None:
        for searcher in self.searchers:
            searcher.stop()
        for machine in self.machines:
            machine.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def replace(self, lost: Machine) -> Machine:
        """Put an empty machine at another address in the place of a lost one."""
        ip = f'127.0.{self.block}.{len(self._seed_ips) + 1}'
        machine = Machine(ip, lost.zone, self._seed_ips, self, 2)
        machine.is_first_start = False
        self.machines[self.machines.index(lost)] = machine
        return machine

    async def async_add(self, searcher: Searcher) -> Searcher:
        """Start a searcher."""
        self.searchers.append(searcher)
        await searcher.async_start()
        return searcher

    async def async_order(self, path, body=b'', first=None) -> Machine:
        """Send an order of the operator until it is acknowledged.

        ``first`` is the machine that the operator picks first; without an
        answer within a second it goes on with the others.
        """
        others = [one for one in self.machines if one is not first]
        random.shuffle(others)
        order = [first, *others] if first else others
        end = self.record.now() + 20
        pause = 0.05
        while self.record.now() < end:
            for machine in order:
                answer = await async_call(
                    machine.address(CONTROL), 'POST', path, body
                )
                self.record.write(
                    f'operator: {path} at {machine.name}: '
                    f'{answer.status or answer.detail}'
                )
                if answer.status // 100 == 2:
                    return machine
                await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)
        raise CannotRunError(f'{path} was never acknowledged')

    async def async_configure(self, document: dict) -> None:
        """Send a configuration until it is acknowledged."""
        await self.async_order('/Config.Put', json.dumps(document).encode())

    async def async_wait_ready(self) -> None:
        """Wait until all machines are ready."""
        end = self.record.now() + 20
        while self.record.now() < end:
            answers = [
                await async_call(machine.address(READY), 'GET', '/ready')
                for machine in self.machines
            ]
            if all(answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError('not all machines became ready')

    def find_control(self, kind: str) -> Machine:
        """Return the leader or a follower among the control processes."""
        elected: list[tuple[int, Machine]] = []
        for machine in self.machines:
            for line in machine.log_lines('control'):
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    if isinstance(event, dict) and event.get('event') == 201:
                        elected.append((int(event['term']), machine))
        if not elected:
            raise CannotRunError('no leader is known')
        leader = max(elected, key=lambda pair: pair[0])[1]
        if kind == 'leader':
            return leader
        return next(one for one in self.machines if one is not leader)


def make_document(version, services, routes) -> dict:
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConns': 48,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 3.0,
                'coldPerS': 0.0,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def make_route(name, service, kind='safe', timeout_ms=4000) -> dict:
    """Return a route to one service; its prefix is its name."""
    return {
        'name': name,
        'host': HOST_NAME,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'sloMs': 1000,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'homeRegions': [],
    }


def run_case(folder: Path, async_play) -> None:
    """Play a case and exit with its result."""
    try:
        is_broken = asyncio.run(async_play(folder))
    except CannotRunError as error:
        print(f'cannot run: {error}', file=sys.stderr)
        sys.exit(NOT_RUN)
    except Exception:
        # A fault of the script says nothing about the rule.
        traceback.print_exc()
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if is_broken else HELD)


def _find_ports() -> tuple[int, int]:
    """Return a block of loopback addresses and a range of free ports."""
    for _ in range(100):
        block = random.randint(40, 240)
        ips = [f'127.0.{block}.{last}' for last in (1, 2, 3, 4)]
        port = random.randint(20000, 30000)
        try:
            for ip in ips:
                for offset in range(PORTS):
                    socket.create_server((ip, port + offset)).close()
        except OSError:
            continue
        return block, port
    raise CannotRunError('no free ports')
