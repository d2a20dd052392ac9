"""Views, regained leases and wiped disks on virtual time."""

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


def _deliver_but_feed(host, _sender, message) -> None:
    if not isinstance(message, FeedEntries):
        host.receive(message)


def _deliver_up_to(revision, host, _sender, message) -> None:
    if isinstance(message, FeedEntries):
        message.entries = [
            entry for entry in message.entries if entry.revision <= revision
        ]
    host.receive(message)


class ViewTest(TestCase):
    """Lost hosts and settled views."""

    def test_lost_host_leaves_view(self) -> None:
        """A host without a lease is removed and settled without it."""
        run = ControlRun(40, voters=3, others=3)
        run.begin()
        run.crash('h003')
        run.go(5)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.current.hosts, Not(Contains('h003')))
            self.assertThat(view.settled, Equals(view.revision))

    def test_settled_only_after_release(self) -> None:
        """A view waits for a host that has not released its work."""
        run = ControlRun(41, voters=3, others=3)
        run.begin()
        before = run.node(run.leader.name).view.revision
        original = renewals.released_revision
        held_back = {'h004': before}

        self.patch(
            renewals,
            'released_revision',
            lambda node: held_back.get(node.name, original(node)),
        )
        run.crash('h003')
        run.go(8)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.revision, GreaterThan(before))
            self.assertThat(view.settled, Equals(before))
        held_back.clear()
        run.go(0.3)
        for host in run.running:
            view = host.core.node.view
            self.assertThat(view.settled, Equals(view.revision))

    def test_lagging_host_gets_no_lease(self) -> None:
        """A host that cannot follow loses its lease and the change goes on."""
        run = ControlRun(42, voters=3, others=3)
        run.begin()
        # Renewals pass, but nothing of the feed does.
        run.network.attach(
            'h004',
            run.network.place_of('h004'),
            partial(_deliver_but_feed, run.hosts['h004']),
        )
        run.change('h003', 'ahead')
        run.go(6)
        self.assertThat(run.answers['ahead'].refusal, Equals(None))
        self.assertThat(run.held(), Not(Contains('h004')))

    def test_views_are_batched(self) -> None:
        """Hosts that start together join in a few entries."""
        run = ControlRun(43, voters=3, others=40)
        run.begin(3)
        proposed = [
            event
            for _, event in run.leader.events
            if event.event == EVENT_VIEW_PROPOSED
        ]
        self.assertThat(len(proposed), LessThan(10))
        self.assertThat(run.held(), HasLength(43))


class RegainedLeaseTest(TestCase):
    """Hosts that come back while a change waits for another host."""

    def test_lease_regained_before_acceptance(self) -> None:
        """A host that regains its lease with less is waited for again."""
        run = ControlRun(45, voters=3, others=3)
        run.begin()
        run.network.isolate('h003')
        run.go(2.5)
        self._hold_back(run, 'h003', run.node('h005').settings.revision)
        run.network.isolate('h004')
        # The watch fails if h003 holds a lease below the accepted revision.
        run.change('h005', 'one')
        run.go(0.7)
        self.assertThat(run.held(), Contains('h003'))
        run.go(8)
        self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_joined_before_acceptance(self) -> None:
        """A host that joins with less gets no lease before it caught up."""
        run = ControlRun(46, voters=3, others=3)
        run.begin()
        run.network.isolate('h003')
        run.go(6)
        self._hold_back(run, 'h003', run.node('h005').settings.revision)
        run.network.isolate('h004')
        run.change('h005', 'one')
        run.go(8)
        self.assertThat(run.answers['one'].refusal, Equals(None))
        self.assertThat(run.held(), Not(Contains('h003')))

    def test_no_grant_during_removal(self) -> None:
        """A host whose removal is on its way gets no lease."""
        run = ControlRun(47, voters=3, others=3)
        run.begin()
        leadership = run.node(run.leader.name).control.leadership
        leadership.proposed_index = 1000
        leadership.proposed_hosts = frozenset(('h003',))
        run.go(LEASE + MARGIN)
        self.assertThat(run.held(), Not(Contains('h003')))

    def _hold_back(self, run: ControlRun, name: str, revision: int) -> None:
        """Let nothing after ``revision`` reach a host by the feed."""
        run.network.rejoin(name)
        run.network.attach(
            name,
            run.network.place_of(name),
            partial(_deliver_up_to, revision, run.hosts[name]),
        )


class WipedDiskTest(TestCase):
    """A control host that comes back with an empty disk."""

    def test_serves_as_entry_host(self) -> None:
        """It follows the others and holds a lease, but grants none."""
        run = ControlRun(48, voters=3, others=2)
        run.begin()
        lost = run.leader.name
        run.crash(lost)
        run.wipe_disk(lost)
        run.change('h003', 'one')
        run.go(6)
        run.start_host(lost)
        run.go(6)
        self.assertThat(run.held(), Contains(lost))
        self.assertThat(run.leader.name, Not(Equals(lost)))
        self.assertThat(
            run.node(lost).settings.documents,
            Equals(run.node('h003').settings.documents),
        )
