"""Tests of the feed that distributes entries and snapshots to hosts."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, Not

from snipejunction.components.control.const import FEED_FANOUT
from snipejunction.components.control.relay_tree import find_parent
from snipejunction.components.control.replication import feed_log
from snipejunction.components.control.replication.codec import (
    pack_documents,
    pack_snapshot,
)
from snipejunction.components.control.replication.messages import (
    FeedEntries,
    FeedEntry,
    HostSnapshot,
    SettingsEntry,
    SnapshotChunk,
)
from snipejunction.components.control.systems import feeding
from snipejunction.components.control.view import HostEntry, View, ViewTable
from snipejunction.core import Core
from snipejunction.helpers.wire import encode
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    VoterAddress,
)
from tests.components.control.harness import ControlRun


def _core() -> Core:
    identity = HostIdentity('h', '10.0.0.1', 1, 2, 'dc', 'r', 'i')
    voters = (VoterAddress('v', '10.0.0.2', 1),)
    core = Core(HostSettings(identity, voters), 1)
    core.start(0)
    core.advance(0.05)
    return core


def _feed(core: Core, pairs: Iterable[tuple[int, int]]) -> None:
    entries = [
        FeedEntry(revision, previous, encode(_settings(revision)))
        for revision, previous in pairs
    ]
    message = FeedEntries(entries, 0, 0)
    message.sender = 'v'
    core.process(message, 1)


def _settings(revision: int) -> SettingsEntry:
    path = f'/teams/a/services/s{revision}'
    written = pack_documents({path: {'deadline': 1}})
    return SettingsEntry(f'c{revision}', 'o', 'h', 0, 0, written)


class ApplyTest(TestCase):
    """Application of entries and snapshots at a follower."""

    def test_gap_is_not_applied(self) -> None:
        """An entry that does not follow the host's revision is skipped."""
        core = _core()
        _feed(core, [(3, 0), (9, 7)])
        self.assertThat(core.node.settings.revision, Equals(3))

    def test_old_entries_change_nothing(self) -> None:
        """Entries that were already applied are ignored."""
        core = _core()
        _feed(core, [(3, 0), (7, 3)])
        core.node.settings.documents['/teams/a/services/s3'] = {'deadline': 2}
        _feed(core, [(3, 0)])
        self.assertThat(core.node.settings.revision, Equals(7))
        kept = core.node.settings.documents['/teams/a/services/s3']
        self.assertThat(kept, Equals({'deadline': 2}))

    def test_old_snapshot_changes_nothing(self) -> None:
        """A snapshot of a lower revision is ignored."""
        core = _core()
        _feed(core, [(3, 0), (7, 3)])
        packed = pack_snapshot(HostSnapshot(5, 0, '{}', [], []))
        chunk = SnapshotChunk(5, 0, len(packed), packed)
        chunk.sender = 'v'
        core.process(chunk, 1)
        self.assertThat(core.node.settings.revision, Equals(7))
        self.assertThat(len(core.node.settings.documents), Equals(2))

    def test_broken_snapshot(self) -> None:
        """A malformed snapshot is rejected."""
        core = _core()
        chunk = SnapshotChunk(5, 0, 3, b'abc')
        chunk.sender = 'v'
        core.process(chunk, 1)
        self.assertThat(core.node.settings.revision, Equals(0))

    @given(st.lists(st.integers(0, 9), max_size=40))
    def test_entries_in_any_order(self, order: list[int]) -> None:
        """Entries that arrive in any order are applied in log order."""
        core = _core()
        for number in chain(order, range(10)):
            before = core.node.settings.revision
            _feed(core, [(number + 1, number)])
            self.assertThat(before, LessThan(core.node.settings.revision + 1))
        self.assertThat(core.node.settings.revision, Equals(10))
        self.assertThat(len(core.node.settings.documents), Equals(10))


class SkippedViewTest(TestCase):
    """Views that a snapshot skipped."""

    def test_not_exclusive_before_settled(self) -> None:
        """A host is no exclusive owner until the skipped views are settled.

        The skipped views may have had other owners, even if the host owns the
        key both before and after the snapshot.
        """
        core = _core()
        entry = HostEntry('h', '10.0.0.1', 1, 2, 'dc', 'r', 'i')
        node = core.node
        node.view.apply(View(2, {'h': entry}))
        node.view.settle(2)
        ownership = ('key', 'dc', 'h', 'i')
        self.assertThat(node.view.is_exclusive_owner(*ownership), Equals(True))
        packed = pack_snapshot(HostSnapshot(9, 8, '{}', [entry], []))
        chunk = SnapshotChunk(9, 0, len(packed), packed)
        chunk.sender = 'v'
        core.process(chunk, 1)
        self.assertThat(node.view.is_exclusive_owner(*ownership), Equals(False))
        node.view.settle(8)
        self.assertThat(node.view.is_exclusive_owner(*ownership), Equals(True))

    def test_settled_before_applied(self) -> None:
        """A view that is settled before it is applied replaces older ones."""
        table = ViewTable()
        table.settle(8)
        table.apply(View(8, {}))
        self.assertThat(
            [view.revision for view in table.views_since_settled],
            Equals([8]),
        )


class RelayTreeTest(TestCase):
    """Parents in the relay tree."""

    def test_fan_out_is_bounded(self) -> None:
        """No host exceeds the fan-out, and each one descends from a voter."""
        voters = ['v0', 'v1', 'v2']
        names = [*voters, *[f'h{number}' for number in range(2800)]]
        parents = {name: find_parent(name, names, voters) for name in names}
        children: dict[str, int] = {}
        for name, parent in parents.items():
            if parent is None:
                self.assertThat(voters, Contains(name))
                continue
            children[parent] = children.get(parent, 0) + 1
        self.assertThat(max(children.values()), Equals(FEED_FANOUT))
        for name in names:
            depth = 0
            while parents[name] is not None:
                name = parents[name]
                depth += 1
            self.assertThat(depth, LessThan(5))


class FeederTest(TestCase):
    """Feeders that stop responding or lag behind."""

    def test_relay_lost(self) -> None:
        """The children of a lost relay switch to another feeder."""
        run = ControlRun(95, voters=3, others=60)
        run.start_and_wait()
        feeders = {
            host.core.node.control.follower.feeder for host in run.running
        }
        relay = next(name for name in feeders if name.startswith('h'))
        run.network.isolate(relay)
        run.change('h062', 'one', path='/teams/a/services/s')
        run.run_for(8)
        self.assertThat(run.answers['one'].refusal, Equals(None))
        self.assertThat(run.lease_holders(), Not(Contains(relay)))
        self.assertThat(len(run.lease_holders()), Equals(62))

    def test_silent_relay_keeps_lease_of_others(self) -> None:
        """The children of a silent relay keep their leases."""
        run = ControlRun(96, voters=3, others=60)
        run.start_and_wait()
        below = {
            host.name: host.core.node.control.follower.feeder
            for host in run.running
        }
        for name, feeder in below.items():
            if feeder.startswith('h'):
                run.network.cut(feeder, name)
        for number in range(10):
            run.change(
                'h062', f'c{number}', path=f'/teams/t{number}/services/s'
            )
            run.run_for(0.5)
            self.assertThat(len(run.lease_holders()), Equals(63))
        run.run_for(3)
        self.assertThat(len(run.answers), Equals(10))


class ChunkedSnapshotTest(TestCase):
    """Snapshots in many chunks over a lossy network."""

    def test_lost_chunks(self) -> None:
        """A snapshot arrives despite lost, duplicated and late chunks."""
        self.patch(feed_log, 'FEED_LOG_ENTRIES', 5)
        self.patch(feeding, 'SNAPSHOT_CHUNK_BYTES', 300)
        run = ControlRun(97, voters=3, others=2)
        run.start_and_wait()
        run.crash('h003')
        for number in range(30):
            run.change(
                'h004', f'c{number}', path=f'/teams/t{number}/services/s'
            )
            run.run_for(0.1)
        run.run_for(5)
        run.network.loss = 0.2
        run.network.doubling = 0.2
        run.network.reordering = 0.5
        run.network.message_counts.clear()
        run.start_host('h003')
        run.run_for(20)
        chunks = run.network.message_counts['SnapshotChunk']
        self.assertThat(chunks, GreaterThan(5))
        node = run.node('h003')
        self.assertThat(len(node.settings.documents), Equals(30))
        self.assertThat(len(node.control.history), Equals(30))
