"""Stand-ins of machines, searchers, callers and operators for the cases.

Standard library only. Addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = ('lagos-yaba', 'kano-nassarawa', 'enugu-ogui')
REGIONS = {
    'lagos-yaba': 'lagos',
    'kano-nassarawa': 'kano',
    'enugu-ogui': 'enugu',
}
HOST = 'leno12.example'
# The core of the site ayo-snipe-grown, with the bounds in which it differs.
GROWN_REGIONS = {
    'lagos-yaba': 'lagos',
    'kano-nassarawa': 'kano',
    'enugu-ogui': 'enugu',
    'lagos-surulere': 'lagos',
    'kano-fagge': 'kano',
    'enugu-abakpa': 'enugu',
}
GROWN_BOUNDS = {
    'contactMs': 6000,
    'ackMs': 8000,
    'catchUpS': 6,
    'drainMs': 4000,
    'configMs': 4000,
    'skewMs': 15000,
    'retrySlack': 206,
    'recoveryS': 15,
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Bounds of the site ayo-snipe, as the settings file of a process holds them.
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
HEARTBEAT_MS = 1200
# Machines whose control addresses the settings name.
SEEDS = 3
# Ports of a machine: two for peers, control, front, ready, directory, metrics.
PORTS = 8


class CannotRun(Exception):
    """The case could not be set up."""


class Site:
    """What the settings of the processes say of the deployment."""

    def __init__(self, regions, bounds, memory_mb, tolerated_machines):
        self.regions = regions
        self.bounds = bounds
        self.memory_mb = memory_mb
        self.tolerated_machines = tolerated_machines


AYO = Site(REGIONS, BOUNDS, 300, 1)
AYO_GROWN = Site(GROWN_REGIONS, {**BOUNDS, **GROWN_BOUNDS}, 200, 2)


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()

    def verdict(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


class Answer:
    """An answer to a call; the status is 0 if there is none."""

    def __init__(self, status=0, headers=None, body=b'', detail=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.detail = detail


class Connection:
    """An HTTP/1.1 client connection, kept open between requests."""

    def __init__(self, ip: str, port: int) -> None:
        self._address = (ip, port)
        self._reader = None
        self._writer = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take another request."""
        return self._writer is not None and not self._reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def request(
        self, method, path, headers=None, body=b'', seconds=1.0, keep=True
    ) -> Answer:
        """Send a request and wait for its answer for some seconds."""
        try:
            async with asyncio.timeout(seconds):
                return await self._request(method, path, headers, body, keep)
        except asyncio.IncompleteReadError as error:
            self.close()
            part = len(error.partial)
            return Answer(detail=f'closed without an answer ({part} bytes)')
        except TimeoutError:
            self.close()
            return Answer(detail=f'no answer in {seconds:g} s')
        except OSError as error:
            self.close()
            return Answer(detail=f'{type(error).__name__}: {error.strerror}')
        except asyncio.CancelledError:
            self.close()
            raise

    async def _request(self, method, path, headers, body, keep) -> Answer:
        if not self.is_open:
            async with asyncio.timeout(1):
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address
                )
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
        if 'Host' not in (headers or {}):
            lines.append(f'Host: {self._address[0]}')
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode()
        self._writer.write(head + body)
        status, fields, content = await read_answer(self._reader)
        if not keep or fields.get('connection', '').lower() == 'close':
            self.close()
        return Answer(status, fields, content)


async def read_answer(reader):
    """Read an answer with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status = int(head.split(' ', 2)[1])
    fields = parse_fields(head)
    content = await reader.readexactly(int(fields.get('content-length', 0)))
    return status, fields, content


def parse_fields(head: str) -> dict[str, str]:
    """Return the headers of a head by their lower-case names."""
    pairs = (line.partition(':') for line in head.split('\r\n')[1:] if line)
    return {name.lower(): text.strip() for name, _, text in pairs}


def free_block(count: int) -> tuple[list[str], int]:
    """Return loopback addresses and a first port that is free at them."""
    for _ in range(200):
        block = random.randrange(20, 250)
        ips = [f'127.{block}.0.{number}' for number in range(1, count + 1)]
        first = random.randrange(20000, 32000)
        try:
            for ip in ips:
                for port in range(first, first + PORTS):
                    socket.create_server((ip, port)).close()
        except OSError:
            continue
        return ips, first
    raise CannotRun('no free ports')


class Machine:
    """A machine: the first of each zone has a disk and runs both roles."""

    def __init__(self, number, ips, port, folder, record, site) -> None:
        self.ip = ips[number]
        zones = tuple(site.regions)
        self.zone = zones[number % len(zones)]
        self.name = f'front-{self.zone}-{number // len(zones) + 1}'
        self.has_disk = number < len(zones)
        self._site = site
        self.port = port
        self.processes = {}
        self._seed_ips = ips[:SEEDS]
        self.is_seed = number < SEEDS
        self._folder = folder / self.name
        self._folder.mkdir()
        self._record = record
        self._is_first_start = True
        with (ROOT / 'deploy/system.toml').open('rb') as file:
            self._roles = tomllib.load(file)['roles']

    @property
    def control(self) -> int:
        """Return the port for searchers and operators."""
        return self.port + 2

    @property
    def front(self) -> int:
        """Return the port for callers."""
        return self.port + 3

    async def start(self, *roles) -> None:
        """Start the processes of roles by the deploy file's commands."""
        all_roles = ('control', 'entry') if self.has_disk else ('entry',)
        for role in roles or all_roles:
            await self._start(role)

    async def _start(self, role) -> None:
        settings = self._folder / f'{role}.toml'
        settings.write_text(self._settings(role))
        words = shlex.split(self._roles[role]['run'])
        # A free port, as several machines share this one.
        words[-1] = str(self.port + (6 if role == 'entry' else 7))
        if words[0] == 'python3':
            words[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['SNIPEJUNCTION_BOOT'] = str(settings)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self._folder / f'{role}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes[role] = process
        self._record.write(f'platform: started {role} of {self.name}')

    def signal(self, number, *roles) -> None:
        """Send a signal to the processes of roles."""
        for role in roles or tuple(self.processes):
            process = self.processes[role]
            if process.returncode is None:
                process.send_signal(number)
                name = signal.Signals(number).name
                self._record.write(f'platform: {name} to {role} of {self.name}')

    async def wait(self, *roles) -> None:
        """Wait for the ends of the processes of roles."""
        for role in roles or tuple(self.processes):
            await self.processes[role].wait()

    async def restart(self, *roles) -> None:
        """Start processes again that have ended."""
        self._is_first_start = False
        await self.start(*roles)

    def lose_disk(self) -> None:
        """Remove the data folder; its processes must have ended."""
        shutil.rmtree(self._folder / 'data')
        self._record.write(f'platform: {self.name} has lost its disk')

    def log_text(self, role) -> str:
        """Return what the process of a role wrote."""
        return (self._folder / f'{role}.log').read_text(errors='replace')

    async def close(self) -> None:
        """Kill all processes of the machine."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    def _settings(self, role) -> str:
        offsets = {'control': 2, 'front': 3, 'ready': 4, 'directory': 5}
        serves = self._roles[role]['serves']
        listen = [name for name in serves]
        if 'front' in serves:
            listen.append('ready')
        seeds = [f'{ip}:{self.control}' for ip in self._seed_ips]
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{role}"',
            'machineClass = "front"',
            f'serves = {json.dumps(serves)}',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{self._site.regions[self.zone]}"',
            f'peerPortRange = [{self.port}, {self.port + 1}]',
            f'seeds = {json.dumps(seeds)}',
            f'bootstrap = {json.dumps(self._is_first_start)}',
            f'faultCounted = {json.dumps(self.has_disk)}',
            'discovery = "registry"',
            'entry = "directory"',
            f'heartbeatMs = {HEARTBEAT_MS}',
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"scatter","places"]',
            'config_mode = "highest"',
            *([f'dataDir = "{self._folder}/data"'] if self.has_disk else []),
            '[zones]',
            *(
                f'{zone} = "{region}"'
                for zone, region in self._site.regions.items()
            ),
            '[listen]',
            *(
                f'{name} = "{self.ip}:{self.port + offsets[name]}"'
                for name in listen
            ),
            '[limits]',
            'cpuShare = 0.968',
            'cores = 2',
            f'memoryMb = {self._site.memory_mb}',
            'maxFds = 4100',
            'linkMbps = 1000.0',
            'diskMb = 64',
            '[faultTolerance]',
            f'machines = {self._site.tolerated_machines}',
            'zones = 1',
            'regions = 1',
            '[bounds]',
            *(
                f'{name} = {number}'
                for name, number in self._site.bounds.items()
            ),
        ]
        return '\n'.join(lines) + '\n'


class Request:
    """A request that arrived at a searcher."""

    def __init__(self, method, path, fields, body) -> None:
        self.method = method
        self.path = path
        self.fields = fields
        self.body = body

    @property
    def id(self) -> str:
        """Return the id that the caller chose."""
        return self.fields.get('x-snipejunction-request-id', '')


class Searcher:
    """A sound searcher; ``work`` returns the seconds that a request takes."""

    def __init__(self, group, name, service, zone, work, slots=6) -> None:
        self.id = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.runs = []
        self.slots = slots
        # Requests that are being worked on, by id.
        self.at_work = {}
        self._group = group
        self._work = work
        self._server = None
        self._beats = None
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._control = None
        self._served = 0
        self._tasks = set()
        self.port = 0

    async def open(self) -> None:
        """Listen and begin to announce itself."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._announce())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        self._beats.cancel()

    async def close(self) -> None:
        """End."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        return json.dumps(fields).encode()

    async def beat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        content = self.heartbeat()
        controls = self._group.controls
        targets = [(machine.ip, machine.control) for machine in controls]
        random.shuffle(targets)
        if self._control is not None:
            targets.insert(0, self._control)
        path = f'/Instances.Heartbeat/{self.id}'
        headers = {'Content-Type': 'application/json'}
        for ip, port in targets:
            answer = await Connection(ip, port).request(
                'POST', path, headers, content, keep=False
            )
            if 200 <= answer.status < 300:
                url = json.loads(answer.body or b'{}').get('beatUrl')
                if url:
                    host, _, number = url.rpartition(':')
                    self._control = (host, int(number))
                return True
            self._control = None
        return False

    async def _announce(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _serve_one(self, reader, writer) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        method, path, _ = head.split(' ', 2)
        fields = parse_fields(head)
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        request = Request(method, path, fields, body)
        expected = fields.get('x-snipejunction-expect-instance', self.id)
        if expected != self.id:
            fields = {'X-Snipejunction-Not-Executed': '1'}
            self.send(writer, 421, request, fields)
            return
        self.runs.append((time.monotonic(), request))
        self._group.record.write(f'searcher {self.id}: runs {request.id}')
        self.at_work[request.id] = time.monotonic()
        # A searcher drops a request when its connection closes.
        work = asyncio.create_task(self._run(request, writer))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self._group.record.write(
                    f'searcher {self.id}: dropped {request.id}, its '
                    'connection was closed'
                )
                raise ConnectionResetError
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            work.result()
        finally:
            work.cancel()
            closed.cancel()
            self.at_work.pop(request.id, None)

    async def _run(self, request, writer) -> None:
        await asyncio.sleep(self._work(request))
        await self.answer(request, writer)

    async def answer(self, request, writer) -> None:
        """Answer a request that has run."""
        records = os.urandom(16 * 4)
        self.send(writer, 200, request, {}, records)
        await writer.drain()

    def send(self, writer, status, request, fields, body=b'') -> None:
        """Send an answer."""
        writer.write(self.head(status, request, fields, len(body)) + body)

    def head(self, status, request, fields, length=None) -> bytes:
        """Return the head of an answer, with a length unless it is None."""
        self._served += 1
        lines = [
            f'HTTP/1.1 {status} Status',
            f'X-Snipejunction-Request-Id: {request.id}',
        ]
        if 'X-Snipejunction-Not-Executed' not in fields:
            stamp = f'{self.id}.{self._served:x}.{request.id}'
            lines.append(f'X-Snipejunction-Server-Stamp: {stamp}')
        lines += [f'{name}: {text}' for name, text in fields.items()]
        if length is not None:
            lines.append(f'Content-Length: {length}')
        return '\r\n'.join([*lines, '', '']).encode()


class Group:
    """Machines with a temporary folder, one with a disk in each zone."""

    def __init__(self, folder: Path, count: int, site: Site) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        ips, port = free_block(count)
        self.machines = [
            Machine(number, ips, port, self.folder, self.record, site)
            for number in range(count)
        ]
        self.searchers = []

    async def __aenter__(self):
        for machine in self.machines:
            await machine.start()
        return self

    async def __aexit__(self, *details) -> None:
        for searcher in self.searchers:
            await searcher.close()
        for machine in self.machines:
            await machine.close()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def controls(self) -> list[Machine]:
        """Return the machines that serve control."""
        return [machine for machine in self.machines if machine.has_disk]

    async def add(self, *searchers) -> None:
        """Start searchers."""
        for searcher in searchers:
            await searcher.open()
            self.searchers.append(searcher)

    async def order(self, path, content=b'', seconds=15.0) -> None:
        """Send an order to one machine after the other until it is taken."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            machine = self.controls[number % len(self.controls)]
            number += 1
            answer = await Connection(machine.ip, machine.control).request(
                'POST',
                path,
                {'Content-Type': 'application/json'},
                content,
                keep=False,
            )
            if answer.status == 200:
                self.record.write(f'operator: {path} acknowledged')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{path} was not acknowledged: {answer.status}')

    async def configure(self, version, routes, services) -> None:
        """Send a configuration until it is acknowledged."""
        table = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        await self.order('/Config.Put', json.dumps(table).encode())

    async def wait_ready(self, seconds=20.0, machines=None) -> None:
        """Wait until all entry processes count as ready."""
        end = time.monotonic() + seconds
        for machine in machines or self.machines:
            while True:
                answer = await Connection(machine.ip, machine.port + 4).request(
                    'GET', '/ready', keep=False
                )
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.05)


def route(name, prefix, kind='safe', **fields):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 3000,
        'sloMs': 500,
        'priority': 1,
        'attempts': 2,
        'homeRegions': [],
        **fields,
    }


def service(name, connections=130):
    """Return a service of a configuration."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': connections,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }


_ids = iter(range(1, 10**9))


def request_headers(deadline_ms: int, **fields: str) -> dict[str, str]:
    """Return the headers of a caller's request with a new id."""
    return {
        'Host': HOST,
        'X-Snipejunction-Request-Id': f'{next(_ids):016x}',
        'X-Snipejunction-Request-Deadline': str(deadline_ms),
        **fields,
    }


def main(case, folder, machines=len(ZONES), site=AYO) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 not run."""

    async def run() -> int:
        async with asyncio.timeout(115):
            async with Group(folder, machines, site) as group:
                try:
                    is_broken = await case(group)
                except CannotRun as error:
                    group.record.verdict(f'cannot run: {error}')
                    return 2
                group.record.verdict(
                    'RULE BROKEN' if is_broken else 'rule held'
                )
                return int(is_broken)

    try:
        sys.exit(asyncio.run(run()))
    except (TimeoutError, OSError) as error:
        print(f'cannot run: {error!r}')
        sys.exit(2)
