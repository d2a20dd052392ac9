"""Tests of the selection of control hosts."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is, LessThan

from snipejunction.components.deployment.messages import HostsUpdate
from snipejunction.components.gateway.const import (
    CONTROL_SEARCH_STEP_SECONDS,
    LOCAL_CONTROL_WAIT_SECONDS,
)
from snipejunction.components.gateway.control_selection import (
    controls_to_connect,
    controls_to_disconnect,
    controls_to_notify,
    controls_to_subscribe,
    update_control_search,
)
from snipejunction.components.gateway.updates import update_hosts
from tests.components.gateway.stage import make_table

CONTROLS = ('c1', 'c2', 'c3', 'c4')
SEEDS = ('c1', 'c9')
HOSTS = 200
# Time after which a search includes all control hosts of this test.
WHOLE_SEARCH = 2 * CONTROL_SEARCH_STEP_SECONDS


class _Controls(TestCase):
    """Four control hosts; the first is in the data centre of the host."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table(started=0)
        self.data_centres = dict(
            zip(CONTROLS, ('near', 'far', 'x', 'y'), strict=True)
        )

    def send_hosts(self, sender: str, *, is_cut_off: bool = False) -> None:
        update = HostsUpdate(self.data_centres, [], is_cut_off)
        update.sender = sender
        update_hosts(update, self.table, 0)


class AttachingTest(_Controls):
    """Control hosts to connect to, to notify and to disconnect."""

    def wanted(self, *connected: str, now: float = 0) -> set[str]:
        update_control_search(self.table, connected, 0)
        return controls_to_connect(self.table, connected, SEEDS, now)

    def test_start(self) -> None:
        """A host without any list of hosts tries one seed, then all."""
        self.table.hosts_by_sender.clear()
        self.assertThat(self.wanted(), HasLength(1))
        self.assertThat(self.wanted() <= set(SEEDS), Equals(True))
        late = self.wanted(now=CONTROL_SEARCH_STEP_SECONDS)
        self.assertThat(late, Equals(set(SEEDS)))

    def test_search_keeps_open_streams(self) -> None:
        """A widening search uses open streams before it dials others."""
        self.send_hosts('c4', is_cut_off=True)
        self.assertThat(self.wanted('c4'), Equals({'c1', 'c4'}))

    def test_search_ends_and_starts_again(self) -> None:
        """A later loss of the control host starts with one again."""
        self.send_hosts('c1')
        self.wanted('c1')
        self.assertThat(self.table.control_search.since, Is(None))
        wanted = controls_to_connect(self.table, (), SEEDS, 9)
        self.assertThat(wanted - {'c1'}, HasLength(1))

    def test_nearby(self) -> None:
        """One local control host is enough; other streams are closed."""
        for name in CONTROLS:
            self.send_hosts(name)
        self.assertThat(self.wanted('c1', 'c2'), Equals({'c1'}))
        unneeded = controls_to_disconnect(self.table, ('c1', 'c2'), SEEDS, 0)
        self.assertThat(unneeded, Equals({'c2'}))

    def test_open_streams_are_notified(self) -> None:
        """A control host with an open stream is always notified.

        It would otherwise keep listing this host while it stops.
        """
        for name in CONTROLS:
            self.send_hosts(name)
        notified = controls_to_notify(self.table, ('c1', 'c2'), SEEDS, 0)
        self.assertThat(notified, Equals({'c1', 'c2'}))

    def test_nearby_lost(self) -> None:
        """All hosts are tried until two remote ones are connected."""
        self.send_hosts('c1')
        wanted = self.wanted(now=WHOLE_SEARCH)
        self.assertThat(wanted, Equals({*CONTROLS, *SEEDS}))
        for name in CONTROLS[1:]:
            self.send_hosts(name)
        wanted = self.wanted('c2', 'c3', 'c4')
        self.assertThat(wanted - {'c1'}, HasLength(2))
        # Reconnecting to the local one is still attempted.
        self.assertThat('c1' in wanted, Equals(True))

    def test_nearby_cut_off(self) -> None:
        """A local control host without a leader is not enough."""
        self.send_hosts('c1', is_cut_off=True)
        wanted = self.wanted('c1', now=WHOLE_SEARCH)
        self.assertThat(wanted, Equals({*CONTROLS, *SEEDS}))

    def test_last_streams_stay_open(self) -> None:
        """The last streams stay open, even to unknown hosts."""
        self.send_hosts('c2', is_cut_off=True)
        self.assertThat(
            controls_to_disconnect(self.table, ('c9',), (), 0),
            Equals(set()),
        )


class PowerReturnTest(TestCase):
    """All entry hosts of a large deployment start at the same moment."""

    def test_first_dials_are_spread(self) -> None:
        """No seed gets the handshakes of all hosts before the election.

        When every host dials every seed, the seeds spend the time in which
        they would elect a leader on handshakes.
        """
        seeds = ('s1', 's2', 's3')
        dialed: Counter[str] = Counter()
        for number in range(HOSTS):
            table = make_table(f'h{number}', started=0)
            table.hosts_by_sender.clear()
            update_control_search(table, (), 0)
            dialed.update(controls_to_connect(table, (), seeds, 0))
        self.assertThat(sum(dialed.values()), Equals(HOSTS))
        self.assertThat(max(dialed.values()), LessThan(HOSTS / 2))


class SubscribingTest(_Controls):
    """Control hosts to request updates from."""

    def subscribed(self, *connected: str, now: float = 0) -> set[str]:
        return controls_to_subscribe(self.table, connected, now)

    def test_waits_for_nearby(self) -> None:
        """A host that just started waits before using remote hosts."""
        for name in CONTROLS[1:]:
            self.send_hosts(name)
        self.assertThat(self.subscribed('c2', 'c3', 'c4'), Equals(set()))
        late = self.subscribed('c2', 'c3', 'c4', now=LOCAL_CONTROL_WAIT_SECONDS)
        self.assertThat(late, HasLength(2))

    def test_nearby_only(self) -> None:
        """No updates are requested over other open streams."""
        for name in CONTROLS:
            self.send_hosts(name)
        self.assertThat(self.subscribed(*CONTROLS), Equals({'c1'}))

    def test_nearby_cut_off_later(self) -> None:
        """Two remote hosts are added; the local one still sends searchers."""
        for name in CONTROLS:
            self.send_hosts(name)
        self.send_hosts('c1', is_cut_off=True)
        subscribed = self.subscribed(*CONTROLS, now=10)
        self.assertThat(subscribed, HasLength(3))
        self.assertThat('c1' in subscribed, Equals(True))

    def test_none_nearby(self) -> None:
        """Without a local control host there is no wait."""
        self.table.hosts_by_sender.clear()
        self.data_centres = {'c2': 'far', 'c3': 'x'}
        for name in self.data_centres:
            self.send_hosts(name)
        self.assertThat(self.subscribed('c2', 'c3'), Equals({'c2', 'c3'}))
