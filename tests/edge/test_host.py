"""Tests of whole hosts: stops, failures, restarts, metrics and TLS."""

from __future__ import annotations

import asyncio
import socket
import ssl
import tempfile
from contextlib import AsyncExitStack, suppress
from pathlib import Path

from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, Equals

from snipejunction.commands import IncrementCounter, RecordDuration
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.cluster import (
    SERVICE,
    UPSTREAM_TOKEN,
    LocalCluster,
    demo_documents,
    hash_text,
)
from snipejunction.demo.load import Load
from snipejunction.edge.disk_files import RealFiles
from snipejunction.edge.host import HostRuntime
from snipejunction.edge.keys import PeerKeys, load_keys
from snipejunction.edge.listeners import Listeners
from snipejunction.edge.metrics import Metrics
from snipejunction.errors import SettingsError, StorageError
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    LeaseTimings,
    TlsFiles,
    VoterAddress,
)
from snipejunction.messages import Message
from snipejunction.standin.fleet import Fleet, FleetPlan
from tests.edge.support import KEY, OTHER_KEY, async_until, in_loop

_LEASE = LeaseTimings(0.6, 0.1, 0.05, 0.5)
_DATA_CENTRES = ('lagos', 'kano', 'enugu')
_SNAPSHOT = SnapshotId(1, '4')
_TLS_FOLDER = Path(__file__).parent / 'tls'


class _UnhandledMessage(Message):
    """A message without a handler."""

    __slots__ = ('call_id',)

    def __init__(self, call_id: int) -> None:
        self.call_id = call_id


class _RestartableHost:
    """One voter that can be restarted on the same data folder."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._starts = 0

    def make(self, keys: PeerKeys | None = None) -> HostRuntime:
        """Return a new host, with a fresh incarnation."""
        self._starts += 1
        bound = Listeners('127.0.0.1', 0, 0)
        identity = HostIdentity(
            'h',
            '127.0.0.1',
            bound.peer_port,
            bound.http_port,
            'lagos',
            'lagos',
            f'start-{self._starts}',
        )
        settings = HostSettings(
            identity,
            (VoterAddress('h', '127.0.0.1', bound.peer_port),),
            data_folder=self._folder,
            lease=_LEASE,
            operator_token_sha256=hash_text('operator'),
        )
        return HostRuntime(settings, keys or PeerKeys([KEY]), bound)


class StopTest(TestCase):
    """Planned stops."""

    @in_loop
    async def test_planned_stop_fails_no_request(self) -> None:
        """A planned stop under load fails no request."""
        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(
                LocalCluster(_DATA_CENTRES, lease=_LEASE),
            )
            documents = demo_documents(deadline=0.3, prefer='coverage')
            await cluster.async_put(documents, 'stop')
            plan = FleetPlan(SERVICE, _DATA_CENTRES, 8, 4)
            fleet = await stack.enter_async_context(
                Fleet(plan, cluster.urls, UPSTREAM_TOKEN, (_SNAPSHOT,)),
            )
            async with Load(cluster.addresses, 2, 1) as load:
                await load.async_until(20)
                stopping_host = cluster.hosts[-1]
                stopping_host.request_stop()
                await stopping_host.async_wait()
                await load.async_until(20)
            self.assertThat(load.report.failed, Equals({}))
            self.assertThat(load.report.false_answers, Equals([]))
            self.assertThat(fleet.breaches, Equals({}))


class FailureTest(TestCase):
    """Disks and handlers that fail."""

    def setUp(self) -> None:
        """Create a data folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.restartable_host = _RestartableHost(f'{folder.name}/disk')

    @in_loop
    async def test_restart(self) -> None:
        """A restarted host keeps its voter id and resumes its view revision."""
        async with self.restartable_host.make() as host:
            await async_until(lambda: host.node.lease.is_held(host.now()))
            voter_id = host.node.consensus.voter_id
            revision = host.node.view.revision
        async with self.restartable_host.make() as host:
            self.assertThat(host.node.consensus.voter_id, Equals(voter_id))
            await async_until(lambda: host.node.view.revision > revision)

    @in_loop
    async def test_folder_in_use(self) -> None:
        """A second process on the same folder is refused."""
        async with self.restartable_host.make():
            with ExpectedException(StorageError, '.*locked.*'):
                await self.restartable_host.make().__aenter__()

    @in_loop
    async def test_disk_fails(self) -> None:
        """A failed write stops the host at once."""
        async with self.restartable_host.make() as host:
            await async_until(lambda: host.node.lease.is_held(host.now()))
            self.patch(RealFiles, 'append', _fail_to_append)
            host.request_stop()
            with ExpectedException(StorageError):
                await host.async_wait()

    @in_loop
    async def test_handler_fails(self) -> None:
        """A call whose message fails raises its error; the host stays up."""
        async with self.restartable_host.make() as host:
            await async_until(lambda: host.node.lease.is_held(host.now()))
            with ExpectedException(TypeError):
                await host.calls.async_call(_UnhandledMessage)
            self.assertThat(host.calls.open_calls, Equals(0))
            self.assertTrue(host.node.lease.is_held(host.now()))

    @in_loop
    async def test_key_reload(self) -> None:
        """A reload replaces the keys; an invalid file changes nothing."""
        path = Path(self.folder) / 'keys'
        path.write_bytes(KEY)
        keys = load_keys(str(path))
        async with self.restartable_host.make(keys) as host:
            path.write_bytes(OTHER_KEY)
            host.reload_keys()
            held = PeerKeys([OTHER_KEY]).key_ids
            self.assertThat(keys.key_ids, Equals(held))
            path.write_bytes(b'short')
            host.reload_keys()
            self.assertThat(keys.key_ids, Equals(held))

    def test_port_in_use(self) -> None:
        """A port in use is refused, and the error names the field."""
        with socket.create_server(('127.0.0.1', 0)) as taken:
            port = taken.getsockname()[1]
            with ExpectedException(SettingsError, 'http_port.*'):
                Listeners('127.0.0.1', 0, port)


class MetricsTest(TestCase):
    """Datagrams of metrics."""

    @in_loop
    async def test_datagrams(self) -> None:
        """Counters are summed and sent with the timings."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
            collector.bind(('127.0.0.1', 0))
            metrics = Metrics(collector.getsockname(), 'p')
            metrics.start(asyncio.get_running_loop())
            for command in (IncrementCounter('c', 2), IncrementCounter('c', 3)):
                metrics.count(command.name, command.amount)
            timing = RecordDuration('t', 0.25)
            metrics.time(timing.name, timing.seconds)
            metrics.close()
            received = collector.recv(512).decode()
        self.assertThat(received, Contains('p.c:5|c'))
        self.assertThat(received, Contains('p.t:250'))

    def test_without_address(self) -> None:
        """Without an address metrics are discarded."""
        metrics = Metrics(None, 'p')
        metrics.count('c', 1)
        metrics.close()


class TlsTest(TestCase):
    """TLS on every listener."""

    @in_loop
    async def test_hosts(self) -> None:
        """Hosts work over TLS, and connections without it get no response.

        The same holds for a peer connection without a certificate.
        """
        certificate = str(_TLS_FOLDER / 'host.pem')
        key = str(_TLS_FOLDER / 'host.key')
        files = TlsFiles(certificate, key, certificate)
        async with LocalCluster(
            _DATA_CENTRES, lease=_LEASE, tls=files
        ) as cluster:
            revision = await cluster.async_put(demo_documents(), 'tls')
            self.assertTrue(revision > 0)
            identity = cluster.hosts[0].settings.identity
            answers = await asyncio.gather(
                _async_plain_answer(identity.peer_port),
                _async_plain_answer(identity.http_port),
                _async_answer_without_certificate(identity.peer_port),
            )
            self.assertThat(answers, Equals([b'', b'', b'']))


async def _async_plain_answer(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n')
    answer = await reader.read()
    writer.close()
    return answer


async def _async_answer_without_certificate(port: int) -> bytes:
    context = ssl.create_default_context(
        cafile=str(_TLS_FOLDER / 'host.pem'),
    )
    reader, writer = await asyncio.open_connection(
        '127.0.0.1',
        port,
        ssl=context,
    )
    answer = b''
    with suppress(ssl.SSLError, ConnectionError):
        answer = await reader.read()
    writer.close()
    return answer


def _fail_to_append(files: RealFiles, name: str, chunk: bytes) -> None:
    raise StorageError(f'{name}: disk full')
