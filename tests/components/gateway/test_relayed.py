"""Parts that an entry host gets for another one."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from snipejunction.commands import SendPeer
from snipejunction.components.gateway.messages import (
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.relayed import (
    RelayedParts,
    SendRelayedPart,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.registration.const import LEAVING
from snipejunction.timers import NEVER
from tests.components.gateway.stage import (
    install,
    make_record,
    make_route,
    make_table,
    tell,
)

SHARDS = ('s0', 's1', 's2')


def answered(body: bytes, signature: str = 'sig') -> Outcome:
    """Return the outcome of a complete answer."""
    return Outcome(OutcomeKind.ANSWERED, Reply(200, [], body, signature))


class RelayedPartsTest(TestCase):
    """A call for three parts of which two records are needed."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install(self.table, make_route(shards=SHARDS))
        for shard in SHARDS:
            tell(self.table, make_record(f'{shard}-a', shard))

    def begin(self) -> None:
        searchers = [f'{shard}-a' for shard in SHARDS]
        asked = PartsRequest(5, 'id', b'', b'', searchers, 2, 1, 0.05)
        asked.sender = 'asker'
        self.job = RelayedParts(asked, self.table, 10)
        self.told: list[PartsResponse] = []
        self.sent = self.split(self.job.start(10))

    def split(self, commands) -> list[SendRelayedPart]:
        sent = []
        for command in commands:
            if isinstance(command, SendRelayedPart):
                sent.append(command)
            elif isinstance(command, SendPeer):
                self.told.append(command.message)
        return sent

    def take(self, position: int, outcome: Outcome, now: float) -> None:
        self.split(self.job.handle_outcome(position, outcome, now))

    def test_all_at_once(self) -> None:
        """One answer with the greatest records of all parts."""
        self.begin()
        for position, record in enumerate((b'1', b'3', b'2')):
            self.take(position, answered(record * 16), 10.01)
        self.assertThat(self.told, HasLength(1))
        self.assertThat(self.told[0].records, Equals(b'3' * 16 + b'2' * 16))
        self.assertThat(self.told[0].reports, HasLength(3))
        self.assertThat(self.job.is_done, Is(True))

    def test_late_part(self) -> None:
        """What is there does not wait for a late part."""
        self.begin()
        self.take(0, answered(b'1' * 16), 10.01)
        self.assertThat(self.told, Equals([]))
        self.assertThat(self.job.next_due, Equals(10.05))
        self.split(self.job.advance(10.05))
        self.assertThat(self.told[0].records, Equals(b'1' * 16))
        self.take(1, answered(b'2' * 16), 10.06)
        self.split(self.job.advance(self.job.next_due))
        self.assertThat(self.told[1].records, Equals(b'2' * 16))
        self.assertThat(self.job.is_done, Is(False))

    def test_sign_of_life(self) -> None:
        """The first answer goes out in time without any part, and once."""
        self.begin()
        self.split(self.job.advance(10.05))
        self.split(self.job.advance(10.06))
        self.assertThat(self.told, HasLength(1))
        self.assertThat(self.told[0].reports, Equals([]))
        # Without news there is nothing to look at.
        self.assertThat(self.job.next_due, Equals(NEVER))

    def test_bad_answers_have_no_records(self) -> None:
        """A failure, or an answer without proof, is told without records."""
        self.begin()
        self.take(0, answered(b'9' * 16, signature=''), 10.01)
        failure = Reply(500, [], b'8' * 16, 'sig')
        self.take(1, Outcome(OutcomeKind.ANSWERED, failure), 10.01)
        self.take(2, Outcome(OutcomeKind.LOST), 10.01)
        self.assertThat(self.told[0].records, Equals(b''))
        fates = [one.fate for one in self.told[0].reports]
        self.assertThat(fates, Equals(['answered', 'answered', 'lost']))

    def test_leaving_searcher(self) -> None:
        """A searcher of which this host knows that it leaves is not asked."""
        record = make_record('s1-a', 's1', state=LEAVING, sequence=2)
        tell(self.table, record)
        self.begin()
        self.assertThat([one.position for one in self.sent], Equals([0, 2]))
        for position in (0, 2):
            self.take(position, answered(b''), 10.01)
        fates = {one.position: one.fate for one in self.told[0].reports}
        self.assertThat(fates[1], Equals(OutcomeKind.UNSENT.value))

    def test_drained_data_centre(self) -> None:
        """Nothing is sent to a data centre that is out."""
        self.table.drained['near'] = True
        self.begin()
        self.assertThat(self.sent, Equals([]))
        self.assertThat(self.told, HasLength(1))

    def test_counts_what_is_in_flight(self) -> None:
        """Relayed parts count as load of their searchers."""
        self.begin()
        upstream = self.table.upstreams['s0-a']
        self.assertThat(upstream.in_flight, Equals(1))
        self.take(0, answered(b''), 10.01)
        self.assertThat(upstream.in_flight, Equals(0))
