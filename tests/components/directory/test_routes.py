"""Tests of the propagation of routes from owners to roots."""

from __future__ import annotations

from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, LessThan, NotEquals

from snipejunction.components.directory.layouts import (
    LayoutCache,
    extract_layouts,
)
from snipejunction.components.directory.messages import (
    RouteDelta,
    RouteEntry,
)
from snipejunction.components.directory.parts import split_entries
from snipejunction.components.directory.systems.finding import (
    find_registrars,
)
from snipejunction.components.directory.systems.subscribe import (
    subscribe_to_routes,
)
from snipejunction.components.owner.messages import SnapshotEntry
from snipejunction.const import SEARCHER_LEAVING
from snipejunction.helpers.wire import encode
from tests.components.owner.harness import SERVICE, SNAPSHOT, OwnerRun

_HOSTS = ('h1', 'h2', 'h3', 'h4')
_SEARCHERS = tuple(f's{number}' for number in range(12))


class RoutesRun(OwnerRun):
    """Hosts with searchers, one of which subscribes to their routes."""

    def __init__(self, seed: int = 1) -> None:
        """Start the hosts; the primary registrar is not the subscriber."""
        super().__init__(seed, _HOSTS)
        self.registrar = self.find_registrar()
        self.root = next(name for name in _HOSTS if name != self.registrar)
        for name in _SEARCHERS:
            self.add_upstream(name, slots=4)
        self.subscribe()

    def find_registrar(self) -> str:
        """Return the primary registrar in the newest view of a live host."""
        nodes = [
            host.core.node for host in self.run.hosts.values() if host.is_alive
        ]
        newest = max(nodes, key=lambda node: node.view.revision)
        found = find_registrars(newest, SERVICE)
        return found[0][0] if found else ''

    def subscribe(self) -> None:
        """Subscribe the root."""
        host = self.run.host(self.root)
        commands = subscribe_to_routes(host.core.node, SERVICE, host.now)
        host.perform(list(commands))

    def routes(self) -> dict[str, RouteEntry]:
        """Return the routes of the root."""
        return dict(self.node(self.root).routing.entries(SERVICE))

    def has_current_owners(self) -> bool:
        """Return whether the root has every searcher with its owner."""
        routes = self.routes()
        found = {name: entry.owner for name, entry in routes.items()}
        return found == {name: self.owner_of(name) for name in _SEARCHERS}


class RoutesTest(TestCase):
    """Propagation of routes, including changes of the view."""

    def test_all_searchers(self) -> None:
        """A root receives every searcher with its owner, layout and limit."""
        run = RoutesRun()
        run.advance(0.5)
        self.assertThat(run.has_current_owners(), Equals(True))
        entry = run.routes()['s0']
        self.assertThat(entry.snapshots[0].snapshot, Equals(SNAPSHOT))
        self.assertThat((entry.slots, entry.limit), Equals((4, 1)))

    def test_leaving_state_is_immediate(self) -> None:
        """Roots learn within 20 ms that a searcher is leaving."""
        run = RoutesRun()
        run.advance(0.5)
        run.run.upstreams['s3'].leave()
        run.run.announce('s3')
        run.advance(0.02)
        self.assertThat(run.routes()['s3'].state, Equals(SEARCHER_LEAVING))

    def test_limit_follows_warmth(self) -> None:
        """Roots receive the limit that grows during warm-up."""
        run = RoutesRun()
        run.advance(0.5)
        run.warm_up('s1', run.owner_of('s1'))
        run.advance(0.2)
        self.assertThat(run.routes()['s1'].limit, Equals(4))

    def test_lost_messages(self) -> None:
        """Routes recover from lost, reordered and duplicated messages."""
        for seed in range(3):
            run = RoutesRun(seed)
            run.run.network.loss = 0.3
            run.run.network.reordering = 0.3
            run.run.network.doubling = 0.3
            run.advance(5)
            run.run.network.loss = 0
            run.advance(3)
            self.assertThat(run.has_current_owners(), Equals(True))

    def test_owner_lost(self) -> None:
        """Entries of a lost owner are removed and return with new owners."""
        run = RoutesRun()
        run.advance(0.5)
        lost = _lose_host(run, keep=(run.registrar, run.root))
        run.advance(0.05)
        owners = {entry.owner for entry in run.routes().values()}
        self.assertThat(lost in owners, Equals(False))
        run.advance(2.5)
        self.assertThat(run.has_current_owners(), Equals(True))

    def test_registrar_lost(self) -> None:
        """Routes stay complete while another registrar takes over."""
        run = RoutesRun()
        run.advance(0.5)
        _lose_host(run, only=run.registrar)
        known = len(run.routes())
        for _ in range(20):
            run.advance(0.005)
            self.assertThat(len(run.routes()) < known, Equals(False))
        run.advance(4)
        self.assertThat(run.has_current_owners(), Equals(True))

    def test_subscription_without_primary_registrar(self) -> None:
        """A new root gets its routes while the primary registrar is down."""
        run = RoutesRun()
        run.advance(0.5)
        run.run.host(run.registrar).kill()
        second = find_registrars(run.node(run.root), SERVICE)[1][0]
        run.root = next(
            name
            for name in _HOSTS
            if name not in {run.registrar, second, run.root}
        )
        self.assertThat(run.routes(), Equals({}))
        run.subscribe()
        run.advance(0.3)
        self.assertThat(run.has_current_owners(), Equals(True))

    def test_switch_to_secondary_registrar(self) -> None:
        """Changes reach the root after the primary registrar was lost."""
        run = RoutesRun()
        run.advance(0.5)
        run.run.host(run.registrar).kill()
        run.advance(0.1)
        owners = {name: run.owner_of(name) for name in _SEARCHERS}
        leaving = next(
            name for name in _SEARCHERS if owners[name] != run.registrar
        )
        run.run.upstreams[leaving].leave()
        run.run.announce(leaving)
        run.advance(0.05)
        self.assertThat(run.routes()[leaving].state, Equals(SEARCHER_LEAVING))

    def test_owner_returns(self) -> None:
        """Routes of an owner that had none for a while are accepted again."""
        run = RoutesRun()
        run.advance(4.5)
        owner = _remove_owner_from_view(run)
        run.set_view(_HOSTS)
        run.advance(0.5)
        self.assertThat(run.owner_of('s0'), Equals(owner))
        self.assertThat(run.has_current_owners(), Equals(True))

    def test_registrar_restarted(self) -> None:
        """A restarted registrar receives all entries again."""
        run = RoutesRun()
        run.advance(0.5)
        run.run.host(run.registrar).kill()
        run.run.start_host(run.registrar)
        run.set_settings({'/teams/toys/services/catalogue': {}})
        run.set_view(_HOSTS)
        run.advance(5)
        self.assertThat(run.has_current_owners(), Equals(True))

    def test_searcher_gone(self) -> None:
        """An expired searcher is removed from the routes."""
        run = RoutesRun()
        run.advance(0.5)
        run.run.lose_upstream('s5')
        run.advance(12)
        self.assertThat('s5' in run.routes(), Equals(False))
        self.assertThat(len(run.routes()), Equals(len(_SEARCHERS) - 1))

    def test_load_is_coalesced(self) -> None:
        """Steady load causes a few publications a second, not one per query."""
        run = RoutesRun()
        run.advance(1)
        before = run.run.network.message_counts['PublishRoutes']
        owner = run.owner_of('s1')
        for _ in range(200):
            run.send_batch(['s1'], owner)
            run.advance(0.01)
        sent = run.run.network.message_counts['PublishRoutes'] - before
        self.assertThat(sent, LessThan(40))


class LayoutCacheTest(TestCase):
    """Deduplication of equal shard sizes."""

    def test_equal_sizes_are_shared(self) -> None:
        """Only entries with equal sizes share a tuple."""
        sizes = ([10, 20], [10, 20], [30, 40])
        entries = [
            _entry('s', SnapshotEntry(SNAPSHOT, (0,), tuple(documents)))
            for documents in sizes
        ]
        cache = LayoutCache()
        restored = cache.restore_layouts(*extract_layouts(entries))
        kept = {id(entry.snapshots[0].documents) for entry in restored}
        self.assertThat(len(kept), Equals(2))
        found = [list(entry.snapshots[0].documents) for entry in restored]
        self.assertThat(found, Equals(list(sizes)))

    def test_sizes_are_sent_once(self) -> None:
        """A message contains the sizes of a layout once."""
        held = SnapshotEntry(SNAPSHOT, (0,), tuple(range(1000, 2000)))
        entries = [_entry(f's{number}', held) for number in range(1000)]
        stripped, layouts = extract_layouts(entries)
        self.assertThat(
            layouts, Equals([SnapshotEntry(SNAPSHOT, (), held.documents)])
        )
        frame = encode(RouteDelta(SERVICE, 0, 1, stripped, [], [], layouts))
        self.assertThat(len(frame), LessThan(150_000))


class PartsTest(TestCase):
    """Splitting of large tables into parts that fit into a frame."""

    def test_parts(self) -> None:
        """Every entry is in one part, and each part fits into a frame."""
        documents = tuple(range(10**9, 10**9 + 4096))
        held = SnapshotEntry(SNAPSHOT, tuple(range(4096)), documents)
        entries = [_entry(f's{number}', held) for number in range(400)]
        parts = split_entries(entries)
        self.assertThat(len(parts), NotEquals(1))
        self.assertThat(sum(map(len, parts)), Equals(400))
        for part in parts:
            stripped, layouts = extract_layouts(part)
            delta = RouteDelta(SERVICE, 0, 1, stripped, [], [], layouts)
            frame = encode(delta)
            self.assertThat(len(frame), LessThan(2_200_000))

    def test_empty(self) -> None:
        """An empty table has one empty part."""
        self.assertThat(split_entries([]), Equals([[]]))


def _entry(name: str, held: SnapshotEntry) -> RouteEntry:
    return RouteEntry(
        name,
        SERVICE,
        'lagos-1',
        'h1',
        (held,),
        3,
        1,
        0,
        0.01,
        'ready',
    )


def _lose_host(run: RoutesRun, **which: Any) -> str:
    """Kill a host and publish a view without it."""
    kept = which.get('keep', ())
    lost = which.get('only') or next(
        name for name in _HOSTS if name not in kept
    )
    run.run.host(lost).kill()
    run.leased.discard(lost)
    run.set_view([name for name in _HOSTS if name != lost])
    return lost


def _remove_owner_from_view(run: RoutesRun) -> str:
    """Publish a view without the owner of a searcher; return the owner."""
    owner = run.owner_of('s0')
    run.set_view([name for name in _HOSTS if name != owner])
    run.advance(3)
    return owner
