"""Tests of searcher updates between control hosts."""

from __future__ import annotations

from collections.abc import Iterable

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from snipejunction.commands import Command, SendPeer
from snipejunction.components.deployment.messages import (
    EntryHeartbeat,
    HostsUpdate,
)
from snipejunction.components.registration.const import (
    GONE,
    LEAVING,
    MAX_UPDATE_RECORDS,
    READY,
    SILENT,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
    SearcherUpdate,
)
from snipejunction.components.registration.systems.announcing import (
    run_searcher_updates,
    send_searchers_to_entry,
)
from snipejunction.handling import handle
from snipejunction.helpers.wire import decode, encode
from snipejunction.messages import PeerConnected, PeerLost
from tests.components.deployment.harness import SEEDS, ControlCluster
from tests.components.gateway.stage import make_record

# Longer than the time after which a searcher counts as silent, in seconds.
SILENCE = 6.0
SUBSCRIBERS = 33
SEARCHERS = 200


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


class LeavingTest(RelayCase):
    """Searchers that leave stay so until they start again."""

    def told_states(self, name: str) -> list[int]:
        """Return what an entry host is told of the searcher."""
        node = self.cluster.hosts[name].node
        updates = send_searchers_to_entry('e', node, self.cluster.now)
        return [
            record.state
            for update in updates
            for record in update.message.searchers
        ]

    def report(self, sender: str, state: int) -> None:
        """Let a control host tell the first one of the searcher."""
        update = SearcherUpdate([make_record('a', sequence=5, state=state)])
        update.sender = sender
        self.cluster.process(self.cluster.hosts['h1'], update)

    def test_ready_afterwards(self) -> None:
        """A heartbeat of the same start does not make it ready again."""
        self.announce('h1', 5, LEAVING)
        for name, sequence in (('h1', 4), ('h2', 6)):
            self.announce(name, sequence)
            self.cluster.run(1)
            self.assertThat(self.told_states(name), Equals([LEAVING]))

    def test_first_heard_as_silent(self) -> None:
        """A searcher first heard of as silent still leaves.

        Guards against a leaving state that is dropped as it comes with the
        sequence number of the silent record.
        """
        self.report('h2', SILENT)
        self.report('h3', LEAVING)
        self.assertThat(self.told_states('h1'), Equals([LEAVING]))

    def test_silent(self) -> None:
        """A leaving searcher that is silent everywhere has ended.

        Guards against restarted entry hosts that use a silent searcher.
        """
        self.announce('h1', 5, LEAVING)
        self.report('h2', LEAVING)
        for name in ('h2', 'h3'):
            self.cluster.crash(name)
        self.cluster.run(SILENCE)
        self.assertThat(self.told_states('h1'), Equals([LEAVING]))
        self.report('h2', SILENT)
        self.assertThat(self.told_states('h1'), Equals([GONE]))


class NotifyingTest(RelayCase):
    """Number of updates that a control host sends."""

    def notified_hosts(self, sequence: int, state: int = READY) -> list[str]:
        """Return the hosts that are sent an announcement to the first host."""
        record = make_record('a', sequence=sequence, state=state)
        node = self.cluster.hosts['h1'].node
        now = self.cluster.now
        commands = [
            *handle(SearcherAnnounced(record), node, now),
            *run_searcher_updates(node, now),
        ]
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


class JoiningTest(RelayCase):
    """Control hosts that connect before they are members."""

    def test_replaced_disk(self) -> None:
        """A host that joins reports what it received before it was a member.

        Guards against searchers that count as silent at the other hosts.
        """
        self.cluster.wipe('h3')
        self.cluster.isolate('h3')
        self.cluster.start('h3')
        for name, other in (('h3', 'h1'), ('h1', 'h3')):
            self.connect(name, other)
        self.announce('h3', 1)
        self.cluster.run(1)
        self.cluster.heal()
        self.cluster.run(2.5)
        self.announce('h3', 2)
        self.cluster.run(1)
        self.assertThat(self.cluster.voter_names(), Equals(set(SEEDS)))
        self.assertThat(self.states(), Equals([READY, READY, READY]))

    def test_new_host(self) -> None:
        """A host at a new address learns of the searchers of the others."""
        self.announce('h1', 1)
        self.cluster.add_host('h4', 'dc1')
        self.connect('h1', 'h4')
        self.cluster.run(3)
        self.assertThat(self.known('h4').is_silent, Is(False))


class PowerReturnTest(RelayCase):
    """All searchers of a large deployment announce themselves at once."""

    def setUp(self) -> None:
        super().setUp()
        self.node = self.cluster.hosts['h1'].node
        for number in range(SUBSCRIBERS):
            heartbeat = EntryHeartbeat('dc0', 'r', f'e{number}', True, 0, True)
            heartbeat.sender = f'e{number}'
            self.updates(handle(heartbeat, self.node, self.cluster.now))

    def updates(self, commands: Iterable[Command]) -> list[SendPeer]:
        return [
            command
            for command in commands
            if isinstance(command, SendPeer)
            and isinstance(command.message, SearcherUpdate)
        ]

    def announce_to_node(self, name: str, sequence: int, state: int = READY):
        record = make_record(name, sequence=sequence, state=state)
        announced = SearcherAnnounced(record)
        return self.updates(handle(announced, self.node, self.cluster.now))

    def test_one_message_a_tick(self) -> None:
        """The number of messages does not grow with that of searchers.

        One message for each searcher to each host kept a control host busy
        for so long that elections timed out.
        """
        at_once = [
            self.announce_to_node(f's{number}', 1)
            for number in range(SEARCHERS)
        ]
        self.assertThat([sent for sent in at_once if sent], Equals([]))
        sent = self.updates(run_searcher_updates(self.node, self.cluster.now))
        self.assertThat(sent, HasLength(SUBSCRIBERS + len(SEEDS) - 1))
        for update in sent:
            self.assertThat(update.message.searchers, HasLength(SEARCHERS))
        again = self.updates(run_searcher_updates(self.node, self.cluster.now))
        self.assertThat(again, Equals([]))

    def test_long_records_fit_into_frames(self) -> None:
        """Searchers with long names do not make a list too large to send."""
        count = 2 * MAX_UPDATE_RECORDS
        text = '\U0001f9f8' * 255
        for number in range(count):
            record = make_record(f'{number:0255}', text, data_centre=text)
            self.updates(
                handle(SearcherAnnounced(record), self.node, self.cluster.now)
            )
        sent = self.updates(run_searcher_updates(self.node, self.cluster.now))
        received = [
            record.searcher_id
            for update in sent
            if update.host == 'e0'
            for record in decode(encode(update.message)).searchers
        ]
        self.assertThat(set(received), HasLength(count))

    def test_ends_are_sent_at_once(self) -> None:
        """A leaving searcher is reported before the next tick."""
        self.announce_to_node('s', 1)
        sent = self.announce_to_node('s', 2, LEAVING)
        self.assertThat(sent, HasLength(SUBSCRIBERS + len(SEEDS) - 1))
        late = self.updates(run_searcher_updates(self.node, self.cluster.now))
        states = {
            record.state for one in late for record in one.message.searchers
        }
        self.assertThat(states, Equals({LEAVING}))


class HostsUpdateTest(RelayCase):
    """Updates of the known hosts while entry hosts connect."""

    def heartbeat(self, name: str, *, wants_news: bool) -> list[SendPeer]:
        message = EntryHeartbeat('dc0', 'r', name, True, 0, wants_news)
        message.sender = name
        node = self.cluster.hosts['h1'].node
        return [
            command
            for command in handle(message, node, self.cluster.now)
            if isinstance(command, SendPeer)
            and isinstance(command.message, HostsUpdate)
        ]

    def test_shared_by_all_hosts(self) -> None:
        """Hosts get the same object, so that it is encoded once."""
        first = self.heartbeat('e1', wants_news=False)
        second = self.heartbeat('e2', wants_news=False)
        self.assertThat(second[0].message, Is(first[0].message))

    def test_not_sent_again(self) -> None:
        """A host that has the newest update gets none."""
        self.heartbeat('e1', wants_news=True)
        self.assertThat(self.heartbeat('e1', wants_news=True), Equals([]))
