"""Runs processes of the platform's roles on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import Mapping
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from snipejunction.platform import names

ROOT = Path(__file__).parents[2]
ZONES = ('one', 'two', 'three')
CALL_TIMEOUT_SECONDS = 2
POLL_SECONDS = 0.02
CONTROL = 'control'
ENTRY = 'entry'
# Offset of the metrics port of each role within the ports of a machine.
METRICS_OFFSETS = MappingProxyType({CONTROL: 6, ENTRY: 7})
NO_LIMITS: Mapping[str, int] = MappingProxyType({})
# Ports of one machine: peers of both roles, operators, callers, readiness,
# addresses, and the metrics of both roles.
PORTS_PER_MACHINE = 8


def _find_ports(ips: list[str]) -> int:
    """Return the first port of a range that is free at all addresses."""
    for _ in range(100):
        with socket.create_server((ips[0], 0)) as probe:
            first_port = int(probe.getsockname()[1])
        if first_port + PORTS_PER_MACHINE < 65536 and are_free(ips, first_port):
            return first_port
    raise AssertionError('no free ports')


def are_free(ips: list[str], first_port: int) -> bool:
    try:
        for ip in ips:
            for port in range(first_port, first_port + PORTS_PER_MACHINE):
                socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


def limit_file_size(pid: int, size: int) -> None:
    """Let a process write no file beyond a size in bytes."""
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))


class Machine:
    """A machine that runs a process of each role."""

    def __init__(
        self,
        number: int,
        ips: list[str],
        port: int,
        folder: Path,
        limits: Mapping[str, int] = NO_LIMITS,
    ) -> None:
        self.ip = ips[number]
        self.limits = limits
        self.zone = ZONES[number]
        self.port = port
        self.seeds = [f'{ip}:{port + 2}' for ip in ips]
        self.folder = folder / self.zone
        self.folder.mkdir()
        self.processes: dict[str, Process] = {}
        self.is_first_start = True
        self.bounds = ['graceS = 2', 'retryRatio = 0.2', 'retrySlack = 60']

    def url(self, offset: int, path: str) -> str:
        """Return a URL on the machine's port at ``offset``."""
        return f'http://{self.ip}:{self.port + offset}{path}'

    async def async_start(
        self,
        role: str,
        output: int | None = None,
        import_folder: Path | None = None,
        errors: int | None = None,
    ) -> None:
        """Start the process of a role as the deploy file does.

        Standard output goes to a file, or to the descriptor ``output``;
        standard error is inherited, or goes to ``errors``. Modules in
        ``import_folder`` are found before all others.
        """
        settings = self.folder / f'{role}.toml'
        settings.write_text(self._settings(role))
        metrics = self.port + METRICS_OFFSETS[role]
        environment = dict(os.environ)
        environment[names.SETTINGS_VARIABLE] = str(settings)
        if import_folder is not None:
            environment['PYTHONPATH'] = os.pathsep.join(
                [str(import_folder), environment.get('PYTHONPATH', '')]
            )
        with (self.folder / f'{role}.log').open('ab') as log:
            self.processes[role] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                f'snipejunction.platform.{role}',
                '--metrics-port',
                str(metrics),
                cwd=ROOT,
                env=environment,
                stdout=log if output is None else output,
                stderr=errors,
            )

    def events(self, role: str) -> list[int]:
        """Return the numbers of the events in the log of a role."""
        log = self.folder / f'{role}.log'
        lines = log.read_text().splitlines() if log.exists() else []
        return [
            json.loads(line)['event'] for line in lines if line.startswith('{')
        ]

    async def async_wait_event(self, role: str, number: int) -> None:
        """Wait until a role has logged an event.

        The timeout of the test bounds the wait.
        """
        while number not in self.events(role):
            await asyncio.sleep(POLL_SECONDS)

    async def async_kill(self) -> None:
        """Kill all processes of the machine."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def _settings(self, role: str) -> str:
        listen = {CONTROL: ('control',), ENTRY: ('front', 'ready', 'directory')}
        offsets = {'control': 2, 'front': 3, 'ready': 4, 'directory': 5}
        lines = [
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'peerPortRange = [{self.port}, {self.port + 1}]',
            f'seeds = {json.dumps(self.seeds)}',
            f'bootstrap = {json.dumps(self.is_first_start)}',
            'heartbeatMs = 300',
            'newField = "ignored"',
        ]
        if role == CONTROL:
            lines.append(f'dataDir = "{self.folder}/data"')
        lines.append('[zones]')
        lines.extend(f'{zone} = "{zone}"' for zone in ZONES)
        lines.append('[listen]')
        lines.extend(
            f'{name} = "{self.ip}:{self.port + offsets[name]}"'
            for name in listen[role]
        )
        lines.append('[limits]')
        lines.extend(f'{name} = {limit}' for name, limit in self.limits.items())
        lines.append('[bounds]')
        lines.extend(self.bounds)
        return '\n'.join(lines)


class MachineGroup:
    """Three machines and an HTTP client for their ports.

    ``limits`` are those of each machine, as in its settings file.
    """

    def __init__(
        self,
        folder: Path,
        block: int,
        limits: Mapping[str, int] = NO_LIMITS,
    ) -> None:
        ips = [f'127.0.{block}.{number}' for number in (1, 2, 3)]
        port = _find_ports(ips)
        self.machines = [
            Machine(number, ips, port, folder, limits)
            for number in range(len(ips))
        ]
        self._stack = AsyncExitStack()
        self._client: ClientSession | None = None

    async def __aenter__(self) -> MachineGroup:
        timeout = ClientTimeout(CALL_TIMEOUT_SECONDS)
        client = ClientSession(timeout=timeout)
        self._client = await self._stack.enter_async_context(client)
        for machine in self.machines:
            self._stack.push_async_callback(machine.async_kill)
            await machine.async_start(CONTROL)
            await machine.async_start(ENTRY)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    async def async_call(
        self,
        method: str,
        url: str,
        content: bytes = b'',
        **headers: str,
    ) -> tuple[int, bytes, Any]:
        """Return status, body and headers; the status is 0 without answer."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        try:
            async with self._client.request(
                method,
                url,
                data=content,
                headers=named,
            ) as answer:
                return answer.status, await answer.read(), answer.headers
        except (ClientError, TimeoutError):
            return 0, b'', {}

    async def async_call_until(
        self,
        status: int,
        method: str,
        url: str,
        content: bytes = b'',
        **headers: str,
    ) -> tuple[bytes, Any]:
        """Repeat a call until it returns a status.

        The timeout of the test bounds the wait.
        """
        while True:
            found, body, fields = await self.async_call(
                method,
                url,
                content,
                **headers,
            )
            if found == status:
                return body, fields
            await asyncio.sleep(POLL_SECONDS)
