"""Which control hosts an entry host keeps a stream to."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from snipejunction.components.deployment.messages import HostsFed
from snipejunction.components.gateway.attaching import (
    controls_to_connect,
    controls_to_disconnect,
    controls_to_notify,
    controls_to_subscribe,
)
from snipejunction.components.gateway.const import LOCAL_CONTROL_WAIT_SECONDS
from snipejunction.components.gateway.learning import update_hosts
from tests.components.gateway.stage import make_table

CONTROLS = ('c1', 'c2', 'c3', 'c4')
SEEDS = ('c1', 'c9')


class _Controls(TestCase):
    """Four control hosts, the first one nearby."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.places = dict(
            zip(CONTROLS, ('near', 'far', 'x', 'y'), strict=True)
        )

    def tell(self, sender: str, *, is_cut_off: bool = False) -> None:
        fed = HostsFed(self.places, [], is_cut_off)
        fed.sender = sender
        update_hosts(fed, self.table, 0)


class AttachingTest(_Controls):
    """Which control hosts an entry host keeps a stream to."""

    def wanted(self, *connected: str) -> set[str]:
        return controls_to_connect(self.table, connected, SEEDS)

    def test_start(self) -> None:
        """A host that knows nobody tries the seeds."""
        self.assertThat(self.wanted(), Equals(set(SEEDS)))

    def test_nearby(self) -> None:
        """One control host nearby suffices; other streams can go."""
        for name in CONTROLS:
            self.tell(name)
        self.assertThat(self.wanted('c1', 'c2'), Equals({'c1'}))
        needless = controls_to_disconnect(self.table, ('c1', 'c2'), SEEDS)
        self.assertThat(needless, Equals({'c2'}))

    def test_open_streams_hear_of_a_stop(self) -> None:
        """A control host whose stream is still open is told as well."""
        for name in CONTROLS:
            self.tell(name)
        told = controls_to_notify(self.table, ('c1', 'c2'), SEEDS)
        self.assertThat(told, Equals({'c1', 'c2'}))

    def test_nearby_lost(self) -> None:
        """Without it all are tried, then two stand in for it."""
        self.tell('c1')
        self.assertThat(self.wanted(), Equals({*CONTROLS, *SEEDS}))
        for name in CONTROLS[1:]:
            self.tell(name)
        wanted = self.wanted('c2', 'c3', 'c4')
        self.assertThat(wanted - {'c1'}, HasLength(2))
        # The one nearby is still looked for.
        self.assertThat('c1' in wanted, Equals(True))

    def test_nearby_cut_off(self) -> None:
        """A control host that hears no leader does not suffice."""
        self.tell('c1', is_cut_off=True)
        self.assertThat(self.wanted('c1'), Equals({*CONTROLS, *SEEDS}))

    def test_nothing_needless_without_a_wanted_one(self) -> None:
        """The last streams stay, whatever is known of them."""
        self.tell('c2', is_cut_off=True)
        self.assertThat(
            controls_to_disconnect(self.table, ('c9',), ()),
            Equals(set()),
        )


class FeedingTest(_Controls):
    """Which control hosts are asked for news."""

    def feeding(self, *connected: str, now: float = 0) -> set[str]:
        return controls_to_subscribe(self.table, connected, now)

    def test_waits_for_nearby(self) -> None:
        """A host that just started asks nobody far away at first."""
        for name in CONTROLS[1:]:
            self.tell(name)
        self.assertThat(self.feeding('c2', 'c3', 'c4'), Equals(set()))
        late = self.feeding('c2', 'c3', 'c4', now=LOCAL_CONTROL_WAIT_SECONDS)
        self.assertThat(late, HasLength(2))

    def test_nearby_only(self) -> None:
        """Open streams to others carry no news."""
        for name in CONTROLS:
            self.tell(name)
        self.assertThat(self.feeding(*CONTROLS), Equals({'c1'}))

    def test_nearby_cut_off_later(self) -> None:
        """Two stand in for it, and it still tells what it hears."""
        for name in CONTROLS:
            self.tell(name)
        self.tell('c1', is_cut_off=True)
        feeding = self.feeding(*CONTROLS, now=10)
        self.assertThat(feeding, HasLength(3))
        self.assertThat('c1' in feeding, Equals(True))

    def test_none_nearby(self) -> None:
        """Without a control host in the data centre nobody waits."""
        self.table.hosts_by_sender.clear()
        self.places = {'c2': 'far', 'c3': 'x'}
        for name in self.places:
            self.tell(name)
        self.assertThat(self.feeding('c2', 'c3'), Equals({'c2', 'c3'}))
