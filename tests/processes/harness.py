"""Runs hosts as processes on loopback with their own addresses and files."""

from __future__ import annotations

import asyncio
import json
import secrets
import shutil
import signal
import socket
import sys
import tempfile
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Callable, Coroutine, Mapping
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    UPSTREAM_TOKEN,
    hash_text,
)
from snipejunction.standin.fleet import Fleet, FleetPlan

ROOT = Path(__file__).parents[2]
DATA_CENTRES = ('lagos', 'kano', 'enugu')
VOTERS = 3
HOSTS = 5
TEST_TIMEOUT_SECONDS = 60
REQUEST_TIMEOUT_SECONDS = 40
POLL_SECONDS = 0.01
SNAPSHOT = SnapshotId(1, '3')
SEARCH = f'/v1/services/{SERVICE}/search'
RUN = f'/v1/services/{SERVICE}/run'
SETTINGS = 'settings'
SEARCH_BODY = MappingProxyType({'query': {'text': 'red'}, 'deadline_ms': 2000})


def in_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Any:
    """Run a coroutine test on its own event loop with a timeout."""
    return lambda case: asyncio.run(
        asyncio.wait_for(test(case), TEST_TIMEOUT_SECONDS),
    )


class HostProcess:
    """A host process with its settings file, log and data folder."""

    def __init__(self, number: int, folder: Path) -> None:
        """Choose a loopback address and free ports."""
        self.name = f'host-{number}'
        self.ip = f'127.0.1.{number + 1}'
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.is_voter = number < VOTERS
        self.peer_port = _free_port(self.ip)
        self.http_port = _free_port(self.ip)
        self.folder = folder
        self.data_folder = folder / self.name
        self.log_file = folder / f'{self.name}.log'
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

    def voter_entry(self) -> dict[str, Any]:
        """Return the entry of the host for the list of voters."""
        return {
            'name': self.name,
            'ip': self.ip,
            'peer_port': self.peer_port,
        }

    def write_settings(self, voters: list[dict[str, Any]]) -> None:
        """Write the settings file."""
        document = {
            **self.voter_entry(),
            'http_port': self.http_port,
            'data_centre': self.data_centre,
            'region': self.data_centre,
            'voters': voters,
            'peer_key_file': str(self.folder / 'peer.key'),
            'operator_token_sha256': hash_text(OPERATOR_TOKEN),
        }
        if self.is_voter:
            document['data_folder'] = str(self.data_folder)
        self._settings_file().write_text(json.dumps(document))

    async def async_start(self) -> None:
        """Start the process; its log is appended to the same file."""
        with self.log_file.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'snipejunction',
                'serve',
                '--settings',
                str(self._settings_file()),
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.running.send_signal(number)

    async def async_kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.running.kill()
            await self.running.wait()

    def log_bytes(self) -> int:
        """Return the size of the settings log in the data folder."""
        files = self.data_folder.glob(f'{SETTINGS}-*.log')
        return sum(file.stat().st_size for file in files)

    async def async_freeze(self) -> None:
        """Send SIGSTOP and return once the process is stopped."""
        self.send_signal(signal.SIGSTOP)
        stat = Path(f'/proc/{self.running.pid}/stat')
        await async_wait_for(
            lambda: stat.read_text().rpartition(')')[2].split()[0] == 'T',
        )

    def remove_data_folder(self) -> None:
        """Remove the data folder."""
        shutil.rmtree(self.data_folder)

    def has_logged(self, event: int) -> bool:
        """Return whether the log contains an event."""
        return f' E{event} ' in self.log_file.read_text(errors='replace')

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log_file.read_text(errors='replace').splitlines()
        return '\n'.join([*lines[-30:], ''])

    def _settings_file(self) -> Path:
        return self.folder / f'{self.name}.json5'


class Cluster:
    """Three control hosts and two entry hosts without a data folder."""

    def __init__(self) -> None:
        """Create the cluster; entering its context starts it."""
        self._stack = AsyncExitStack()
        self.hosts: list[HostProcess] = []

    @property
    def voters(self) -> list[HostProcess]:
        """Return the control hosts."""
        return self.hosts[:VOTERS]

    @property
    def entry_hosts(self) -> list[HostProcess]:
        """Return the hosts without a data folder."""
        return self.hosts[VOTERS:]

    @property
    def addresses(self) -> list[str]:
        """Return the HTTP addresses."""
        return [host.address for host in self.hosts]

    async def __aenter__(self) -> Cluster:
        """Start all hosts and wait until each is ready."""
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.hosts = [
                HostProcess(number, Path(folder)) for number in range(HOSTS)
            ]
            key_file = Path(folder) / 'peer.key'
            key_file.write_text(secrets.token_hex(32))
            self._session = await stack.enter_async_context(ClientSession())
            voters = [voter.voter_entry() for voter in self.voters]
            for host in self.hosts:
                host.write_settings(voters)
                stack.push_async_callback(host.async_kill)
            await asyncio.gather(*(host.async_start() for host in self.hosts))
            await self.async_wait_until_ready(self.hosts)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, kind: Any, *unused: object) -> None:
        """Kill all processes; after a failure print the tails of their logs."""
        if kind is not None:
            for host in self.hosts:
                sys.stdout.write(host.log_tail())
        await self._stack.aclose()

    async def async_start_fleet(self) -> Fleet:
        """Start six stand-in searchers of three shards in this process."""
        plan = FleetPlan(SERVICE, DATA_CENTRES, searchers=6, shards=3)
        urls = [f'http://{address}' for address in self.addresses]
        return await self._stack.enter_async_context(
            Fleet(plan, urls, UPSTREAM_TOKEN, (SNAPSHOT,)),
        )

    async def async_request(
        self,
        host: HostProcess,
        method: str,
        path: str,
        document: Any = None,
        token: str = OPERATOR_TOKEN,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to a host and return its status and document."""
        async with self._session.request(
            method,
            f'http://{host.address}{path}',
            json=document,
            headers={'Authorization': f'Bearer {token}'},
            timeout=ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
        ) as response:
            return response.status, await response.json()

    async def async_call_as_caller(
        self,
        host: HostProcess,
        path: str,
        document: Mapping[str, Any],
        token: str = CALLER_TOKEN,
    ) -> tuple[int, dict[str, Any]]:
        """Send a caller's request to one host."""
        return await self.async_request(
            host,
            'POST',
            path,
            dict(document),
            token,
        )

    async def async_status(self, host: HostProcess) -> dict[str, Any]:
        """Return the status document of a host."""
        _, document = await self.async_request(host, 'GET', '/v1/status')
        return document

    async def async_replica(
        self,
        host: HostProcess,
        group: str = SETTINGS,
    ) -> dict[str, Any]:
        """Return the state of a control host's replica."""
        status = await self.async_status(host)
        return next(
            replica
            for replica in status['replicas']
            if replica['group'] == group
        )

    async def async_leader(self) -> HostProcess:
        """Wait for a control leader and return it."""
        while True:
            replicas = await asyncio.gather(
                *map(self.async_replica, self.voters),
            )
            for host, replica in zip(self.voters, replicas, strict=True):
                if replica['is_leader']:
                    return host
            await asyncio.sleep(POLL_SECONDS)

    async def async_wait_until_ready(self, hosts: list[HostProcess]) -> None:
        """Wait until all given hosts are ready."""
        await asyncio.gather(*map(self._async_wait_until_ready, hosts))

    async def async_wait_until_complete(self, hosts: list[HostProcess]) -> None:
        """Wait until searches at all given hosts have full coverage."""
        await asyncio.gather(*map(self._async_wait_until_complete, hosts))

    async def _async_wait_until_ready(self, host: HostProcess) -> None:
        while not await self._async_is_ready(host):
            if host.running.returncode is not None:
                raise RuntimeError(f'{host.name} exited before it was ready')
            await asyncio.sleep(POLL_SECONDS)

    async def _async_wait_until_complete(self, host: HostProcess) -> None:
        share = 0
        while share < 1:
            status, answer = await self.async_call_as_caller(
                host, SEARCH, SEARCH_BODY
            )
            share = answer['coverage']['share'] if status == 200 else 0

    async def _async_is_ready(self, host: HostProcess) -> bool:
        try:
            status, _ = await self.async_request(host, 'GET', '/readyz')
        except (ClientError, OSError):
            return False
        return status == 200


async def async_wait_for(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds; the timeout of the test bounds it."""
    while not condition():
        await asyncio.sleep(POLL_SECONDS)


def _free_port(ip: str) -> int:
    with socket.create_server((ip, 0)) as bound:
        return int(bound.getsockname()[1])
