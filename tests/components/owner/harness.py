"""Virtual hosts whose views, leases and settings are set by a test."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.bench.network import Place
from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.control.view import HostEntry, View
from snipejunction.components.owner.messages import (
    Announcement,
    RunOnce,
    RunOnceResult,
    SnapshotId,
    SubBatch,
    SubCancel,
    SubResult,
    SubResults,
)
from snipejunction.components.owner.searcher import Searcher, searcher_key
from snipejunction.components.owner.systems.release import released_revision
from snipejunction.components.owner.upstream_messages import ConnectionClosed
from snipejunction.const import HOST_ACTIVE, HOST_LEAVING
from snipejunction.messages import SettingsChanged, ViewChanged
from snipejunction.node import Node

SERVICE = 'toys/catalogue'
CALLER = 'toys/app'
DATA_CENTRE = 'lagos-1'
SNAPSHOT = SnapshotId(1, 'a')
LEASE_SECONDS = 2.0
BREAK_SECONDS = 0.0005
LEASE_RENEW_SECONDS = 0.2


class OwnerRun:
    """Hosts of one data centre, and a root that the test simulates."""

    def __init__(self, seed: int = 1, hosts: Iterable[str] = ('h1',)) -> None:
        """Start hosts that have a lease and one settled view."""
        self.run = VirtualRun(seed)
        place = Place(DATA_CENTRE, 'lagos')
        self.run.add_hosts({name: place for name in hosts}, voters=[])
        self.run.network.attach('root', place, self._receive)
        self.run.start_hosts()
        self.leased = set(self.run.hosts)
        self.answers: dict[int, list[SubResult]] = {}
        self.answered_at: dict[int, float] = {}
        self.outcomes: dict[int, list[RunOnceResult]] = {}
        self.batches: list[int] = []
        self.revision = 1
        self.root_incarnation = 'root'
        self.next_sub = 1
        self._renew()
        self.set_settings({'/teams/toys/services/catalogue': {}})
        self.set_view(hosts)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.run.now

    def node(self, name: str = 'h1') -> Node:
        """Return the node of a host."""
        return self.run.host(name).core.node

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.run.schedule.run_until(self.now + seconds)

    def at(self, delay: float, action: Callable[[], Any]) -> None:
        """Schedule an action after a delay."""
        self.run.schedule.after(delay, action)

    def set_view(
        self,
        active: Iterable[str],
        only: Iterable[str] | None = None,
        *,
        is_settled: bool = True,
    ) -> None:
        """Send a newer view to the hosts in ``only``, or to all.

        Hosts that receive it without being active in it are leaving.
        """
        self.revision += 1
        notified = [
            name
            for name in only or self.run.hosts
            if self.run.host(name).is_alive
        ]
        hosts = {name: self._entry(name, HOST_LEAVING) for name in notified}
        for name in active:
            hosts[name] = self._entry(name, HOST_ACTIVE)
        hosts['root'] = self._entry('root', HOST_LEAVING)
        view = View(self.revision, hosts)
        for name in notified:
            host = self.run.host(name)
            host.core.node.view.apply(view)
            host.receive(ViewChanged(view.revision))
        if is_settled:
            self.settle(only)

    def settle(self, only: Iterable[str] | None = None) -> None:
        """Notify hosts that the newest view is settled."""
        for name in self.run.hosts if only is None else only:
            host = self.run.host(name)
            if host.is_alive:
                host.core.node.view.settle(self.revision)
                host.receive(ViewChanged(self.revision))

    def set_settings(self, written: dict[str, Any]) -> None:
        """Apply settings at all hosts."""
        self.revision += 1
        for host in self.run.hosts.values():
            if host.is_alive:
                host.core.node.settings.apply(self.revision, dict(written))
                host.receive(SettingsChanged(self.revision, list(written)))

    def add_upstream(self, name: str, **options: Any) -> FakeUpstream:
        """Add a searcher that announces itself and holds two shards."""
        settings: dict[str, Any] = {
            'service_time': lambda random: random.uniform(0.004, 0.006),
            'data_centre': DATA_CENTRE,
        }
        settings.update(options)
        upstream = FakeUpstream(
            name,
            SERVICE,
            settings.pop('data_centre'),
            'lagos',
            self.run.schedule,
            self.run.recorder,
            Random(f'{name} {self.run.random.random()}'),
            **settings,
        )
        upstream.hold(SNAPSHOT, (0, 1), (10, 20))
        self.run.add_upstream(upstream)
        return upstream

    def searcher(self, name: str, host: str = 'h1') -> Searcher:
        """Return the state of a searcher at a host."""
        key = searcher_key(SERVICE, name)
        return self.node(host).owner.searchers[key]

    def released(self, host: str) -> int:
        """Return the view revision that a host conforms to."""
        return released_revision(self.node(host))

    def owner_of(self, name: str, data_centre: str = DATA_CENTRE) -> str:
        """Return the owner according to the newest view of any host."""
        nodes = [
            host.core.node for host in self.run.hosts.values() if host.is_alive
        ]
        node = max(nodes, key=lambda candidate: candidate.view.revision)
        key = searcher_key(SERVICE, name)
        return str(node.view.owner_of(key, data_centre))

    def send_batch(
        self,
        searchers: Iterable[str],
        host: str = 'h1',
        sender: str = 'root',
        **options: Any,
    ) -> list[int]:
        """Send a batch with one sub-request for each searcher."""
        batch = self.batch(searchers, **options)
        self.run.network.send(sender, host, batch)
        return batch.sub_ids

    def batch(
        self,
        searchers: Iterable[str],
        caller: str = CALLER,
        remaining: float = 0.5,
        snapshot: SnapshotId = SNAPSHOT,
    ) -> SubBatch:
        """Return a batch with one sub-request for each searcher."""
        names = list(searchers)
        sub_ids = list(range(self.next_sub, self.next_sub + len(names)))
        self.next_sub += len(names)
        batch = SubBatch(
            SERVICE,
            caller,
            snapshot,
            remaining,
            b'{}',
            '',
            sub_ids,
            names,
            [[0, 1] for _ in names],
        )
        batch.sender = 'root'
        return batch

    def send_sub(self, searcher: str, **options: Any) -> int:
        """Send a batch with one sub-request."""
        return self.send_batch([searcher], **options)[0]

    def cancel(self, sub_ids: list[int], host: str = 'h1') -> None:
        """Cancel sub-requests."""
        self.run.network.send('root', host, SubCancel(sub_ids))

    def run_once(
        self,
        run_id: int,
        searcher: str,
        host: str = 'h1',
        remaining: float = 0.5,
    ) -> None:
        """Send a non-idempotent request."""
        message = RunOnce(
            run_id,
            f'loan-{run_id}',
            SERVICE,
            CALLER,
            searcher,
            remaining,
            b'{}',
            '',
        )
        self.run.network.send('root', host, message)

    def restart_upstream(self, name: str) -> None:
        """Restart a searcher: it turns cold and its connections break."""
        upstream = self.run.upstreams[name]
        upstream.turn_cold()
        for place, searcher in list(self.run.connections.items()):
            if searcher == name:
                self.run.connections.pop(place)
                upstream.disconnect(*place)
                host = self.run.host(place[0])
                self._break(host, ConnectionClosed(place[1], 'reset'))

    def warm_up(self, name: str, host: str = 'h1') -> None:
        """Keep a searcher busy until its limit reaches its slots."""
        for _ in range(200):
            searcher = self.searcher(name, host)
            if searcher.warmth.limit >= searcher.slots:
                return
            for _ in range(2 * searcher.slots):
                self.send_batch([name], host)
            self.advance(0.05)
        raise AssertionError(f'{name} does not warm up')

    def code_of(self, sub_id: int) -> str:
        """Return the code of a refusal, or ``ok``."""
        refusal = self.answers[sub_id][0].refusal
        return 'ok' if refusal is None else refusal.code

    def _entry(self, name: str, state: str) -> HostEntry:
        incarnation = self.root_incarnation
        if name in self.run.hosts:
            host = self.run.host(name)
            incarnation = host.settings.identity.incarnation
        return HostEntry(
            name,
            '127.0.0.1',
            1,
            2,
            DATA_CENTRE,
            'lagos',
            incarnation,
            state,
        )

    def _break(self, host: VirtualHost, notice: ConnectionClosed) -> None:
        self.at(BREAK_SECONDS, lambda: host.receive(notice))

    def _renew(self) -> None:
        for name in self.leased:
            host = self.run.hosts[name]
            if host.is_alive:
                host.core.node.lease.extend(host.now + LEASE_SECONDS)
        self.at(LEASE_RENEW_SECONDS, self._renew)

    def _receive(self, sender: str, message: Any) -> None:
        if isinstance(message, SubResults):
            self.batches.append(len(message.results))
            for answer in message.results:
                self.answers.setdefault(answer.sub_id, []).append(answer)
                self.answered_at[answer.sub_id] = self.now
        elif isinstance(message, RunOnceResult):
            self.outcomes.setdefault(message.run_id, []).append(message)


def announcement(**changes: Any) -> Announcement:
    """Return an announcement with some fields changed."""
    options: dict[str, Any] = {
        'searcher': 's1',
        'service': SERVICE,
        'data_centre': DATA_CENTRE,
        'ip': '127.0.0.1',
        'port': 1,
        'boot_id': 's1#1',
        'sequence': 1,
        'snapshots': (),
        'slots': 3,
        'connections': 30,
        'cold_capacity': 1,
    }
    options.update(changes)
    return Announcement(**options)
