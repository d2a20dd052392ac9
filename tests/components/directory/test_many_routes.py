"""Tests of large routing tables on a network that reorders messages."""

from __future__ import annotations

from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.directory import parts
from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.directory.reordering import (
    PartialTables,
    ReorderBuffer,
)
from snipejunction.components.directory.systems.finding import (
    find_registrars,
)
from snipejunction.components.directory.systems.subscribe import (
    subscribe_to_routes,
)
from tests.components.owner.harness import SERVICE, SNAPSHOT, OwnerRun

_HOSTS = ('h1', 'h2', 'h3', 'h4')
_SEARCHERS = 1000
_PART_BYTES = 40_000


class ManyRoutesTest(TestCase):
    """Routing tables with a thousand searchers."""

    def test_reordered(self) -> None:
        """A new root receives all routes and sizes; publications stay small."""
        run = _run_with(_SEARCHERS)
        sizes = tuple(range(_SEARCHERS))
        routes = _routes_of_new_root(run)
        self.assertThat(len(routes), Equals(_SEARCHERS))
        found = {entry.snapshots[0].documents for entry in routes.values()}
        self.assertThat(found, Equals({sizes}))
        published = run.run.network.message_bytes['PublishRoutes']
        self.assertThat(published, LessThan(8000 * _SEARCHERS))

    def test_reordered_parts(self) -> None:
        """A table in several parts takes effect only once it is complete."""
        with mock.patch.object(parts, 'MAX_PART_BYTES', _PART_BYTES):
            run = _run_with(_SEARCHERS)
            before = run.run.network.message_counts['RouteDelta']
            root = _new_root(run)
            host = run.run.host(root)
            host.perform(
                list(subscribe_to_routes(host.core.node, SERVICE, host.now)),
            )
            counts = set()
            for _ in range(50):
                run.advance(0.01)
                counts.add(len(host.core.node.routing.entries(SERVICE)))
        sent = run.run.network.message_counts['RouteDelta'] - before
        self.assertThat(sent, GreaterThan(_SEARCHERS * 700 // _PART_BYTES))
        self.assertThat(counts, Equals({0, _SEARCHERS}))


class ReorderingTest(TestCase):
    """Reassembly of parts and changes that arrive in any order."""

    def test_complete_table(self) -> None:
        """A table is complete with all its parts; duplicates count once."""
        tables = PartialTables()
        self.assertThat(tables.add(7, 1, 3, []), Equals(None))
        self.assertThat(tables.add(7, 1, 3, []), Equals(None))
        self.assertThat(tables.add(7, 0, 3, []), Equals(None))
        self.assertThat(tables.add(7, 2, 3, []), Equals([]))

    def test_tables_are_not_mixed(self) -> None:
        """Parts of two tables do not complete either of them."""
        tables = PartialTables()
        self.assertThat(tables.add(7, 0, 2, []), Equals(None))
        self.assertThat(tables.add(8, 1, 2, []), Equals(None))
        self.assertThat(tables.add(8, 0, 2, []), Equals([]))
        self.assertThat(tables.add(7, 1, 2, []), Equals(None))

    def test_buffer_is_bounded(self) -> None:
        """The oldest changes are dropped if there are too many."""
        out_of_order = ReorderBuffer()
        for number in range(1000):
            out_of_order.put(number, number)
        self.assertThat(out_of_order.pop(0), Equals(None))
        self.assertThat(out_of_order.pop(999), Equals(999))
        self.assertThat(out_of_order.pop(999), Equals(None))


def _run_with(searchers: int) -> OwnerRun:
    """Start hosts and searchers that hold one shard each."""
    run = OwnerRun(1, _HOSTS)
    run.run.network.reordering = 0.3
    run.run.network.doubling = 0.1
    sizes = tuple(range(searchers))
    for number in range(searchers):
        upstream = run.add_upstream(f's{number}', slots=4)
        upstream.hold(SNAPSHOT, (number,), sizes)
        run.run.announce(f's{number}')
    run.advance(3)
    return run


def _new_root(run: OwnerRun) -> str:
    """Return a host that is not a registrar of the service."""
    registrars = find_registrars(run.node('h1'), SERVICE)
    names = {name for name, _ in registrars}
    return next(name for name in _HOSTS if name not in names)


def _routes_of_new_root(run: OwnerRun) -> dict[str, RouteEntry]:
    """Subscribe a new root; return its routes half a second later."""
    host = run.run.host(_new_root(run))
    host.perform(list(subscribe_to_routes(host.core.node, SERVICE, host.now)))
    run.advance(0.5)
    return dict(host.core.node.routing.entries(SERVICE))
