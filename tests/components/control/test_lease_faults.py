"""Tests that catch single faults of leases, revisions and addresses."""

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
    """A lease as its granter and its holder count it."""

    def test_margin_of_the_leader(self) -> None:
        """The granter counts each lease as longer by the margin."""
        run = ControlRun(31, voters=3, others=3)
        run.begin()
        run.network.isolate('h004')
        held_until = run.node('h004').lease.held_until
        clock = run.hosts['h004'].now - run.now
        leader = run.leader
        leadership = run.node(leader.name).control.leadership
        counted = leadership.leases['h004'].expires_at - (leader.now - run.now)
        self.assertThat(
            counted >= held_until - clock + MARGIN,
            Equals(True),
        )


class LowerRevisionTest(TestCase):
    """Revisions below the applied one."""

    def test_settings(self) -> None:
        """A late change is ignored by the table of settings."""
        table = SettingsTable()
        place = '/data-centres/kano'
        table.apply(7, {place: {'state': 'out'}})
        for revision in (6, 7):
            taken = table.apply(revision, {place: {'state': 'in'}})
            self.assertThat(taken, Equals(False))
        self.assertThat(table.is_out('kano'), Equals(True))
        self.assertThat(table.revision, Equals(7))

    def test_snapshot(self) -> None:
        """A snapshot below the applied revision has no effect at all."""
        run = ControlRun(33, voters=1)
        run.begin()
        run.change('v0', 'first')
        run.go(1)
        node = run.node('v0')
        history = list(node.control.history)
        floor = node.control.feed.start_revision
        older = HostSnapshot(node.settings.revision - 1, 0, '{}', [], [])
        commands = list(apply_snapshot(older, 'v1', node))
        self.assertThat(commands, Equals([]))
        self.assertThat(list(node.control.history), Equals(history))
        self.assertThat(node.control.feed.start_revision, Equals(floor))


class LeavingHostTest(TestCase):
    """Address answers while a host leaves."""

    def test_not_named_once_it_leaves(self) -> None:
        """A host whose entry says that it leaves is named to no caller."""
        run = ControlRun(32, voters=3, others=3)
        run.begin()
        run.hosts['h004'].stop()
        run.go(1.0)
        asked = run.hosts['h005']
        view = asked.core.node.view.current
        self.assertThat(view.hosts, Contains('h004'))
        answer = rank_addresses(asked.core.node, 'a/c', '', asked.now)
        names = [entry.name for entry in answer.hosts]
        self.assertThat(names, Not(Contains('h004')))
