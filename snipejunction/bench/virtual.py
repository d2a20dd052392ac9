"""Simulation of hosts and searchers on virtual time."""

from __future__ import annotations

from random import Random
from typing import Final

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.bench.network import Delays, Network, Place
from snipejunction.bench.recorder import Recorder
from snipejunction.bench.schedule import Schedule
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.owner.messages import (
    AnnounceResponse,
    AnnounceRequest,
)
from snipejunction.components.owner.upstream_messages import ConnectionClosed
from snipejunction.const import (
    GROUP_JOURNAL,
    GROUP_SETTINGS,
    SEARCHER_LEAVING,
)
from snipejunction.edge.disk import DataFolder
from snipejunction.edge.disk_memory import MemoryFiles
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    LeaseTimings,
    VoterAddress,
)

MAX_OFFSET_SECONDS: Final = 10000
ANNOUNCE_RETRY_SECONDS: Final = 0.5
# Time after which a stream to a silent peer is closed.
STREAM_SILENCE_SECONDS: Final = 1.5
FIRST_PORT: Final = 7000
SEED_BITS: Final = 32
GROUPS: Final = (GROUP_SETTINGS, GROUP_JOURNAL)


class VirtualRun:
    """A simulation run that is determined by its seed."""

    __slots__ = (
        '_delays',
        '_files',
        '_hosts',
        '_upstreams',
        'connections',
        'dispatches',
        'folders',
        'network',
        'random',
        'recorder',
        'schedule',
    )

    def __init__(self, seed: int, delays: Delays | None = None) -> None:
        """Create a run without hosts and searchers."""
        self.random: Final = Random(seed)
        self.schedule: Final = Schedule()
        self.recorder: Final = Recorder()
        self._delays = Delays() if delays is None else delays
        self.network: Final = Network(
            self.schedule,
            self._delays,
            Random(self.random.getrandbits(SEED_BITS)),
        )
        self.connections: dict[tuple[str, int], str] = {}
        self.dispatches: dict[tuple[str, int], str] = {}
        self._hosts: dict[str, VirtualHost] = {}
        self._upstreams: dict[str, FakeUpstream] = {}
        self._files: dict[str, MemoryFiles] = {}
        self.folders: dict[str, DataFolder] = {}

    @property
    def hosts(self) -> dict[str, VirtualHost]:
        """Return the hosts by name."""
        return self._hosts

    @property
    def upstreams(self) -> dict[str, FakeUpstream]:
        """Return the running searchers by name."""
        return self._upstreams

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.schedule.now

    def host(self, name: str) -> VirtualHost:
        """Return a host."""
        return self._hosts[name]

    def upstream(self, name: str) -> FakeUpstream | None:
        """Return a searcher, or None if it is dead or unknown."""
        return self._upstreams.get(name)

    def add_hosts(
        self,
        places: dict[str, Place],
        voters: list[str],
        lease: LeaseTimings | None = None,
        operator_token_sha256: str | None = None,
        drift: float = 0,
    ) -> None:
        """Add hosts at their locations; those in ``voters`` have a disk."""
        ports = {name: FIRST_PORT + index for index, name in enumerate(places)}
        addresses = tuple(
            VoterAddress(name, '127.0.0.1', ports[name]) for name in voters
        )
        for name, place in places.items():
            identity = HostIdentity(
                name,
                '127.0.0.1',
                ports[name],
                ports[name] + len(places),
                place.data_centre,
                place.region,
                name,
            )
            settings = HostSettings(
                identity,
                addresses,
                data_folder=name if name in voters else None,
                lease=lease,
                operator_token_sha256=operator_token_sha256,
            )
            self.add_host(settings, drift * self.random.uniform(-1, 1))

    def add_host(self, settings: HostSettings, drift: float = 0) -> None:
        """Add a host without starting it."""
        offset = self.random.uniform(0, MAX_OFFSET_SECONDS)
        host = VirtualHost(self, settings, offset, drift)
        self._hosts[host.name] = host
        place = Place(settings.identity.data_centre, settings.identity.region)
        self.network.attach(
            host.name,
            place,
            lambda _sender, message: host.receive(message),
        )

    def start_hosts(self) -> None:
        """Start all hosts that are not running."""
        for host in self._hosts.values():
            if not host.is_alive:
                self.start_host(host.name)

    def start_host(self, name: str) -> None:
        """Start a host and open its streams to all running hosts."""
        host = self._hosts[name]
        host.start()
        for other in self._hosts.values():
            if other is not host and other.is_alive:
                other.peer_connected(name)
                host.peer_connected(other.name)

    def drop_process_state(self, host: VirtualHost) -> None:
        """Drop connections, requests and unsynced writes of a dead process."""
        files = self._files.get(host.name)
        if files is not None:
            files.crash(self.random)
        for upstream in self._upstreams.values():
            upstream.drop_source(host.name)
        self.connections = {
            place: searcher
            for place, searcher in self.connections.items()
            if place[0] != host.name
        }
        self.schedule.after(
            self._delays.region,
            lambda: self._report_lost_host(host),
        )

    def isolate(self, name: str) -> None:
        """Cut a host off; its streams are closed after the silence timeout."""
        self.network.isolate(name)
        self.schedule.after(
            STREAM_SILENCE_SECONDS,
            lambda: self._close_silent_streams(name),
        )

    def load_disk(self, host: VirtualHost) -> None:
        """Load the stored state of a control host from its disk."""
        if not host.settings.is_voter:
            return
        files = self._files.setdefault(host.name, MemoryFiles())
        folder = DataFolder(files)
        new_id = f'{host.name}-{self.random.getrandbits(SEED_BITS):x}'
        stored = folder.open(new_id, GROUPS)
        host.core.node.consensus.load(folder.voter_id, stored)
        self.folders[host.name] = folder

    def wipe_disk(self, name: str) -> None:
        """Erase the disk of a host that is not running."""
        files = self._files.get(name)
        if files is not None:
            files.wipe()

    def add_upstream(self, upstream: FakeUpstream) -> None:
        """Add a searcher; it announces itself once a host runs."""
        self._upstreams[upstream.name] = upstream
        upstream.on_reset = self._reset_connection
        self.announce(upstream.name)

    def lose_upstream(self, name: str) -> FakeUpstream | None:
        """Remove a searcher without closing its connections; return it."""
        return self._upstreams.pop(name, None)

    def announce(self, name: str) -> None:
        """Announce a searcher to a running host, and again periodically."""
        upstream = self._upstreams.get(name)
        if upstream is None:
            return
        same_region = [
            host
            for host in self._hosts.values()
            if host.is_alive
            and host.settings.identity.region == upstream.region
        ]
        alive_hosts = [host for host in self._hosts.values() if host.is_alive]
        candidates = same_region or alive_hosts
        if not candidates:
            self._announce_later(name, ANNOUNCE_RETRY_SECONDS)
            return
        host = self.random.choice(candidates)
        exchange = _AnnouncementExchange(self, upstream, host)
        self.schedule.after(self._delays.data_centre, exchange.send)

    def delay_to(self, host: VirtualHost, searcher: str) -> float:
        """Return the one-way delay from a host to a searcher."""
        upstream = self._upstreams.get(searcher)
        identity = host.settings.identity
        if upstream is None or upstream.region == identity.region:
            return self._delays.data_centre
        return self._delays.region

    def _announce_later(self, name: str, delay: float) -> None:
        self.schedule.after(delay, lambda: self.announce(name))

    def _reset_connection(self, source: str, connection_id: int) -> None:
        searcher = self.connections.pop((source, connection_id), '')
        host = self._hosts[source]
        if connection_id in host.silent_connections:
            return
        incarnation = host.incarnation
        closed = ConnectionClosed(connection_id, 'reset')
        self.schedule.after(
            self.delay_to(host, searcher),
            lambda: host.receive_as(incarnation, closed),
        )

    def _report_lost_host(self, host: VirtualHost) -> None:
        for other in self._hosts.values():
            if other is not host and other.is_alive:
                other.peer_lost(host.name)

    def _close_silent_streams(self, name: str) -> None:
        host = self._hosts[name]
        for other in self._hosts.values():
            if not self.network.is_cut(name, other.name):
                continue
            if other.is_alive and host.is_alive:
                other.peer_lost(name)
                host.peer_lost(other.name)


class _AnnouncementExchange:
    """An announcement of a searcher and the response of the host."""

    __slots__ = ('_host', '_is_answered', '_run', '_upstream')

    def __init__(
        self,
        run: VirtualRun,
        upstream: FakeUpstream,
        host: VirtualHost,
    ) -> None:
        self._run = run
        self._upstream = upstream
        self._host = host
        self._is_answered = False

    def send(self) -> None:
        """Send the announcement; announce again if no answer arrives."""
        announcement = self._upstream.announcement()
        is_leaving = announcement.state == SEARCHER_LEAVING
        self._host.call(
            AnnounceRequest(0, announcement),
            lambda answer: self._handle_answer(answer, is_leaving),
        )
        self._run.schedule.after(STREAM_SILENCE_SECONDS, self._handle_timeout)

    def _handle_answer(
        self,
        answer: AnnounceResponse,
        is_leaving: bool,
    ) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        if is_leaving and answer.refusal is None:
            self._run.recorder.record(
                self._run.now,
                'leave_answered',
                searcher=self._upstream.name,
            )
            return
        delay = answer.renew_after
        if answer.refusal is not None:
            delay = max(answer.refusal.retry_after, ANNOUNCE_RETRY_SECONDS)
        self._schedule_next(delay)

    def _handle_timeout(self) -> None:
        if not self._is_answered:
            self._is_answered = True
            self._schedule_next(0)

    def _schedule_next(self, delay: float) -> None:
        self._run.schedule.after(
            delay,
            lambda: self._run.announce(self._upstream.name),
        )
