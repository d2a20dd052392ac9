"""Tests of views, regained leases and wiped disks."""

from __future__ import annotations

from functools import partial

from testtools import TestCase
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from snipejunction.components.control.const import EVENT_VIEW_PROPOSED
from snipejunction.components.control.replication.messages import (
    FeedEntries,
)
from snipejunction.components.control.systems import renewals
from tests.components.control.harness import ControlRun

LEASE = 2.0
MARGIN = 0.1


def _deliver_except_feed(host, _sender, message) -> None:
    if not isinstance(message, FeedEntries):
        host.receive(message)


def _deliver_up_to(revision, host, _sender, message) -> None:
    if isinstance(message, FeedEntries):
        message.entries = [
            entry for entry in message.entries if entry.revision <= revision
        ]
    host.receive(message)


class ViewTest(TestCase):
    """Removal of lost hosts and settling of views."""

    def test_lost_host_leaves_view(self) -> None:
        """A crashed host is removed, and the view settles without it."""
        run = ControlRun(40, voters=3, others=3)
        run.start_and_wait()
        run.crash('h003')
        run.run_for(5)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.current.hosts, Not(Contains('h003')))
            self.assertThat(view.settled, Equals(view.revision))

    def test_settled_only_after_release(self) -> None:
        """A view is not settled until all hosts released their work."""
        run = ControlRun(41, voters=3, others=3)
        run.start_and_wait()
        before = run.node(run.leader.name).view.revision
        original = renewals.released_revision
        held_back = {'h004': before}

        self.patch(
            renewals,
            'released_revision',
            lambda node: held_back.get(node.name, original(node)),
        )
        run.crash('h003')
        run.run_for(8)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.revision, GreaterThan(before))
            self.assertThat(view.settled, Equals(before))
        held_back.clear()
        run.run_for(0.3)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.settled, Equals(view.revision))

    def test_lagging_host_gets_no_lease(self) -> None:
        """A host that does not apply entries loses its lease.

        A change is then accepted without it.
        """
        run = ControlRun(42, voters=3, others=3)
        run.start_and_wait()
        # Renewals are delivered, but feed messages are dropped.
        run.network.attach(
            'h004',
            run.network.place_of('h004'),
            partial(_deliver_except_feed, run.hosts['h004']),
        )
        run.change('h003', 'ahead')
        run.run_for(6)
        self.assertThat(run.answers['ahead'].refusal, Equals(None))
        self.assertThat(run.lease_holders(), Not(Contains('h004')))

    def test_views_are_batched(self) -> None:
        """Hosts that start together join in a few log entries."""
        run = ControlRun(43, voters=3, others=40)
        run.start_and_wait(3)
        proposed = [
            event
            for _, event in run.leader.events
            if event.event == EVENT_VIEW_PROPOSED
        ]
        self.assertThat(len(proposed), LessThan(10))
        self.assertThat(run.lease_holders(), HasLength(43))


class RegainedLeaseTest(TestCase):
    """Hosts that return while a change waits for another host."""

    def test_lease_regained_before_acceptance(self) -> None:
        """A change waits again for a host that regains its lease.

        The host holds a lease, but has not applied the change yet.
        """
        run = ControlRun(45, voters=3, others=3)
        run.start_and_wait()
        run.network.isolate('h003')
        run.run_for(2.5)
        self._hold_back(run, 'h003', run.node('h005').settings.revision)
        run.network.isolate('h004')
        # The checker fails if h003 holds a lease below the accepted revision.
        run.change('h005', 'one')
        run.run_for(0.7)
        self.assertThat(run.lease_holders(), Contains('h003'))
        run.run_for(8)
        self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_joined_before_acceptance(self) -> None:
        """A host that joins gets no lease until it has caught up."""
        run = ControlRun(46, voters=3, others=3)
        run.start_and_wait()
        run.network.isolate('h003')
        run.run_for(6)
        self._hold_back(run, 'h003', run.node('h005').settings.revision)
        run.network.isolate('h004')
        run.change('h005', 'one')
        run.run_for(8)
        self.assertThat(run.answers['one'].refusal, Equals(None))
        self.assertThat(run.lease_holders(), Not(Contains('h003')))

    def test_no_grant_during_removal(self) -> None:
        """A host whose removal is in flight gets no lease."""
        run = ControlRun(47, voters=3, others=3)
        run.start_and_wait()
        leadership = run.node(run.leader.name).control.leadership
        leadership.proposed_index = 1000
        leadership.proposed_hosts = frozenset(('h003',))
        run.run_for(LEASE + MARGIN)
        self.assertThat(run.lease_holders(), Not(Contains('h003')))

    def _hold_back(self, run: ControlRun, name: str, revision: int) -> None:
        """Drop feed entries after ``revision`` on their way to a host."""
        run.network.rejoin(name)
        run.network.attach(
            name,
            run.network.place_of(name),
            partial(_deliver_up_to, revision, run.hosts[name]),
        )


class WipedDiskTest(TestCase):
    """A control host that restarts with an empty disk."""

    def test_serves_as_entry_host(self) -> None:
        """It follows a feeder and holds a lease, but grants none."""
        run = ControlRun(48, voters=3, others=2)
        run.start_and_wait()
        lost = run.leader.name
        run.crash(lost)
        run.wipe_disk(lost)
        run.change('h003', 'one')
        run.run_for(6)
        run.start_host(lost)
        run.run_for(6)
        self.assertThat(run.lease_holders(), Contains(lost))
        self.assertThat(run.leader.name, Not(Equals(lost)))
        self.assertThat(
            run.node(lost).settings.documents,
            Equals(run.node('h003').settings.documents),
        )
