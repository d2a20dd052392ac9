"""Tests of single faults in leases, revisions and address answers."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from snipejunction.components.control.replication.messages import (
    HostSnapshot,
)
from snipejunction.components.control.settings_table import SettingsTable
from snipejunction.components.control.systems.addresses import rank_addresses
from snipejunction.components.control.systems.applying import apply_snapshot
from tests.components.control.harness import ControlRun

MARGIN = 0.1


class GrantedLeaseTest(TestCase):
    """Expiry of a lease at its holder and at the leader."""

    def test_margin_of_the_leader(self) -> None:
        """The leader adds the drift margin to each lease."""
        run = ControlRun(31, voters=3, others=3)
        run.start_and_wait()
        run.network.isolate('h004')
        held_until = run.node('h004').lease.held_until
        clock_offset = run.hosts['h004'].now - run.now
        leader = run.leader
        leadership = run.node(leader.name).control.leadership
        expires_at = leadership.leases['h004'].expires_at - (
            leader.now - run.now
        )
        self.assertThat(
            expires_at >= held_until - clock_offset + MARGIN,
            Equals(True),
        )


class LowerRevisionTest(TestCase):
    """Changes and snapshots at or below the applied revision."""

    def test_settings(self) -> None:
        """The settings table ignores a late change."""
        table = SettingsTable()
        path = '/data-centres/kano'
        table.apply(7, {path: {'state': 'out'}})
        for revision in (6, 7):
            is_applied = table.apply(revision, {path: {'state': 'in'}})
            self.assertThat(is_applied, Equals(False))
        self.assertThat(table.is_out('kano'), Equals(True))
        self.assertThat(table.revision, Equals(7))

    def test_snapshot(self) -> None:
        """A snapshot below the applied revision has no effect."""
        run = ControlRun(33, voters=1)
        run.start_and_wait()
        run.change('v0', 'first')
        run.run_for(1)
        node = run.node('v0')
        history = list(node.control.history)
        start_revision = node.control.feed_log.start_revision
        older = HostSnapshot(node.settings.revision - 1, 0, '{}', [], [])
        commands = list(apply_snapshot(older, 'v1', node))
        self.assertThat(commands, Equals([]))
        self.assertThat(list(node.control.history), Equals(history))
        self.assertThat(
            node.control.feed_log.start_revision, Equals(start_revision)
        )


class LeavingHostTest(TestCase):
    """Address answers while a host leaves."""

    def test_not_named_once_it_leaves(self) -> None:
        """A host that the view marks as leaving is not returned."""
        run = ControlRun(32, voters=3, others=3)
        run.start_and_wait()
        run.hosts['h004'].stop()
        run.run_for(1.0)
        other = run.hosts['h005']
        view = other.core.node.view.current
        self.assertThat(view.hosts, Contains('h004'))
        answer = rank_addresses(other.core.node, 'a/c', '', other.now)
        names = [entry.name for entry in answer.hosts]
        self.assertThat(names, Not(Contains('h004')))
