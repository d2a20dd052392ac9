"""Tests of searcher updates between control hosts."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.commands import SendPeer
from snipejunction.components.registration.const import (
    GONE,
    LEAVING,
    READY,
    SILENT,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
)
from snipejunction.handling import handle
from snipejunction.messages import PeerConnected, PeerLost
from tests.components.deployment.harness import SEEDS, ControlCluster
from tests.components.gateway.stage import make_record

# Longer than the time after which a searcher counts as silent, in seconds.
SILENCE = 6.0


class RelayCase(TestCase):
    """Three control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlCluster(21)

    def announce(self, name: str, sequence: int, state: int = READY) -> None:
        record = make_record('a', sequence=sequence, state=state)
        host = self.cluster.hosts[name]
        self.cluster.process(host, SearcherAnnounced(record))

    def known(self, name: str):
        node = self.cluster.hosts[name].node
        return node.registration.searchers['a']

    def states(self) -> list[int]:
        return [
            SILENT if known.is_silent else known.record.state
            for known in map(self.known, SEEDS)
        ]

    def connect(self, name: str, other: str) -> None:
        host = self.cluster.hosts[name]
        self.cluster.process(host, PeerConnected(other))


class RelayingTest(RelayCase):
    """Updates that reach all control hosts."""

    def test_all_control_hosts_know(self) -> None:
        """An announcement to one control host reaches all of them."""
        self.announce('h1', 1)
        self.cluster.run(1)
        self.assertThat(self.states(), Equals([READY, READY, READY]))

    def test_alternating_announcements(self) -> None:
        """A searcher that alternates between control hosts is never silent."""
        for sequence in range(1, 20):
            self.announce(SEEDS[sequence % 2], sequence)
            self.cluster.run(1.2)
            self.assertThat(self.known('h3').is_silent, Is(False))

    def test_moved_announcements(self) -> None:
        """Silence at the previous control host alone does not count."""
        self.announce('h1', 1)
        for sequence in range(2, 12):
            self.announce('h2', sequence)
            self.cluster.run(1.2)
        self.assertThat(self.states(), Equals([READY, READY, READY]))

    def test_silent_everywhere(self) -> None:
        """A searcher without announcements is silent at all control hosts."""
        self.announce('h1', 1)
        self.announce('h2', 2)
        self.cluster.run(SILENCE)
        self.assertThat(self.states(), Equals([SILENT, SILENT, SILENT]))
        self.announce('h3', 3)
        self.cluster.run(1)
        self.assertThat(self.states(), Equals([READY, READY, READY]))

    def test_leaving_and_silent_is_gone(self) -> None:
        """A leaving searcher without announcements is gone."""
        self.announce('h1', 1, LEAVING)
        self.cluster.run(SILENCE)
        self.assertThat(self.states(), Equals([GONE, GONE, GONE]))

    def test_left_at_another_control_host(self) -> None:
        """A searcher that leaves at another control host is gone everywhere."""
        self.announce('h1', 1)
        self.cluster.run(1)
        host = self.cluster.hosts['h3']
        self.cluster.process(host, SearcherLeft('a'))
        self.cluster.run(1)
        self.assertThat(self.states(), Equals([GONE, GONE, GONE]))
        self.announce('h2', 2)
        self.cluster.run(1)
        self.assertThat(self.states(), Equals([GONE, GONE, GONE]))


class NotifyingTest(RelayCase):
    """Number of updates that a control host sends."""

    def notified_hosts(self, sequence: int, state: int = READY) -> list[str]:
        """Return the hosts that are sent an announcement to the first host."""
        record = make_record('a', sequence=sequence, state=state)
        node = self.cluster.hosts['h1'].node
        commands = handle(SearcherAnnounced(record), node, self.cluster.now)
        return [one.host for one in commands if isinstance(one, SendPeer)]

    def test_once_to_each_control_host(self) -> None:
        """Only a new searcher and changes are sent, once to each host."""
        self.assertThat(self.notified_hosts(1), Equals(['h2', 'h3']))
        self.assertThat(self.notified_hosts(2), Equals([]))
        self.assertThat(self.notified_hosts(3, LEAVING), Equals(['h2', 'h3']))


class LostControlTest(RelayCase):
    """Control hosts that are lost or restart."""

    def test_taken_over(self) -> None:
        """Searchers that announced only to a lost host are still monitored."""
        self.announce('h1', 1)
        self.cluster.run(1)
        self.cluster.crash('h1')
        node = self.cluster.hosts['h2']
        self.cluster.process(node, PeerLost('h1'))
        self.assertThat(self.known('h2').is_silent, Is(False))
        self.cluster.run(SILENCE)
        self.assertThat(self.known('h2').is_silent, Is(True))

    def test_restarted(self) -> None:
        """A restarted control host receives the searchers of the others."""
        self.announce('h1', 1)
        self.cluster.run(1)
        self.cluster.crash('h3')
        self.cluster.start('h3')
        self.cluster.run(2)
        self.connect('h1', 'h3')
        self.cluster.run(1)
        self.assertThat(self.known('h3').is_silent, Is(False))
