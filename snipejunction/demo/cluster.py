"""Hosts on loopback in this process, with settings made for them."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import tempfile
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final

from opentelemetry.sdk.trace.export import SpanExporter

from snipejunction.cli.client import ClientSettings, ApiClient
from snipejunction.edge.host import HostRuntime
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.listeners import Listeners
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    LeaseTimings,
    TlsFiles,
    VoterAddress,
)

OPERATOR_TOKEN: Final = 'demo-operator'
CALLER_TOKEN: Final = 'demo-caller'
UPSTREAM_TOKEN: Final = 'demo-upstream'
TEAM: Final = 'toys'
SERVICE: Final = 'toys/catalogue'
CALLER: Final = 'toys/app'

_IP: Final = '127.0.0.1'
_KEY_BYTES: Final = 32
_INCARNATION_BYTES: Final = 8
_POLL_SECONDS: Final = 0.02
_RATE: Final = 20_000
_CONCURRENCY: Final = 1000


def hash_text(text: str) -> str:
    """Return the SHA-256 by which a token is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def demo_documents(**service: Any) -> dict[str, Any]:
    """Return the settings of one service, its caller and its upstreams."""
    limit = {'rate': _RATE, 'concurrency': _CONCURRENCY}
    callers = f'/teams/{TEAM}/callers'
    return {
        f'/teams/{TEAM}/services/catalogue': {
            'callers': {CALLER: limit},
            **service,
        },
        f'{callers}/app': {'token_sha256': hash_text(CALLER_TOKEN)},
        f'{callers}/upstreams': {'token_sha256': hash_text(UPSTREAM_TOKEN)},
    }


class LocalCluster:
    """Hosts with free ports; the first few of them are the voters."""

    def __init__(
        self,
        data_centres: Sequence[str],
        voters: int = 3,
        exporter: SpanExporter | None = None,
        trace_share: float = 0,
        lease: LeaseTimings | None = None,
        tls: TlsFiles | None = None,
    ) -> None:
        """Create a cluster with one host for each place in the list."""
        self._data_centres = data_centres
        self._voters = voters
        self._exporter = exporter
        self._trace_share = trace_share
        self._lease = lease
        self._tls = tls
        self._keys = [secrets.token_hex(_KEY_BYTES).encode()]
        self._stack = AsyncExitStack()
        self.hosts: list[HostRuntime] = []

    @property
    def urls(self) -> list[str]:
        """Return the base URLs of the hosts."""
        return [f'http://{address}' for address in self.addresses]

    @property
    def addresses(self) -> list[str]:
        """Return the HTTP addresses of the hosts."""
        return [
            f'{_IP}:{host.settings.identity.http_port}' for host in self.hosts
        ]

    async def __aenter__(self) -> LocalCluster:
        """Start all hosts and wait until each of them takes work."""
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            runtimes = self._make(Path(folder))
            self.hosts = await asyncio.gather(
                *map(stack.enter_async_context, runtimes),
            )
            await self.async_until_leased()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Stop all hosts at once."""
        await self._stack.aclose()

    async def async_until_leased(self) -> None:
        """Wait until each host holds a lease."""
        while not all(
            host.node.lease.is_held(host.now()) for host in self.hosts
        ):
            await asyncio.sleep(_POLL_SECONDS)

    async def async_put(
        self,
        documents: dict[str, Any],
        change_id: str,
    ) -> int:
        """Write documents; return the revision that is in force."""
        authority = None if self._tls is None else self._tls.authority
        access = ClientSettings(
            tuple(self.addresses), OPERATOR_TOKEN, authority
        )
        async with ApiClient(access) as client:
            current = await client.async_request('GET', '/v1/settings')
            answer = await client.async_request(
                'PUT',
                '/v1/settings',
                {
                    'change_id': change_id,
                    'base': current['revision'],
                    'documents': documents,
                },
            )
        return int(answer['revision'])

    def _make(self, folder: Path) -> list[HostRuntime]:
        listeners = [Listeners(_IP, 0, 0) for _ in self._data_centres]
        voters = tuple(
            VoterAddress(f'host-{number}', _IP, bound.peer_port)
            for number, bound in enumerate(listeners[: self._voters])
        )
        return [
            HostRuntime(
                self._settings(number, bound, voters, folder),
                PeerKeys(self._keys),
                bound,
                self._exporter,
            )
            for number, bound in enumerate(listeners)
        ]

    def _settings(
        self,
        number: int,
        bound: Listeners,
        voters: tuple[VoterAddress, ...],
        folder: Path,
    ) -> HostSettings:
        name = f'host-{number}'
        data_centre = self._data_centres[number]
        identity = HostIdentity(
            name,
            _IP,
            bound.peer_port,
            bound.http_port,
            data_centre,
            data_centre,
            secrets.token_hex(_INCARNATION_BYTES),
        )
        is_voter = number < self._voters
        return HostSettings(
            identity,
            voters,
            data_folder=str(folder / name) if is_voter else None,
            lease=self._lease,
            tls=self._tls,
            trace_share=self._trace_share,
            operator_token_sha256=hash_text(OPERATOR_TOKEN),
        )
