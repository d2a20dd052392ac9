"""Parts that another entry host gets and merges, as the asking host sees it."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
)

from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsFed,
)
from snipejunction.components.gateway.const import (
    PENALTY_SECONDS,
    REMOTE_RELAY_OVERHEAD_SECONDS,
)
from snipejunction.components.gateway.learning import update_hosts
from snipejunction.components.gateway.parts import SendAttempt, SendPartsToRelay
from snipejunction.components.gateway.relaying import relays_to_connect
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.run import RequestRun
from tests.components.gateway.stage import (
    NAME,
    install,
    make_record,
    make_route,
    make_table,
    tell,
)

SHARDS = ('s0', 's1', 's2', 's3')
RELAY = '10.0.0.9:7001'
FAR = '10.0.0.8:7001'


def merged(body: bytes, signature: str) -> Outcome:
    """Return the outcome of a part that a relay merged."""
    reply = Reply(200, [], body, signature, is_merged=True)
    return Outcome(OutcomeKind.ANSWERED, reply, seconds=0.01)


class RelayCase(TestCase):
    """Shards ``s0`` near, all others in the data centre beside."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        records = [
            EntryRecord(NAME, NAME, 'near', 'one'),
            EntryRecord(RELAY, RELAY, 'beside', 'one'),
        ]
        fed = HostsFed({'c1': 'near'}, records, False)
        fed.sender = 'c1'
        update_hosts(fed, self.table, 0)
        self.table.relays.connected_names.add(RELAY)
        route = make_route(shards=SHARDS, top=2, min_share=0.5)
        install(self.table, route)
        for shard in SHARDS:
            place = 'near' if shard == 's0' else 'beside'
            tell(self.table, make_record(f'{shard}-a', shard, place=place))
            tell(self.table, make_record(f'{shard}-b', shard, place='far'))
        self.route = route

    def begin(self, now: float = 10.0) -> None:
        self.served = RequestRun('id', self.route, self.table, now + 1, now)
        self.split(self.served.start(now))

    def split(self, commands) -> None:
        found = list(commands)
        self.direct = [
            one.attempt for one in found if isinstance(one, SendAttempt)
        ]
        self.asked = [one for one in found if isinstance(one, SendPartsToRelay)]


class GroupingTest(RelayCase):
    """Which parts go through a relay."""

    def test_those_of_another_data_centre(self) -> None:
        """Its parts go together, those nearby go directly."""
        self.begin()
        self.assertThat(self.direct, HasLength(1))
        self.assertThat(self.asked[0].relay, Equals(RELAY))
        self.assertThat(self.asked[0].attempts, HasLength(3))
        # What is there is here before hedges begin.
        wait = self.served.next_due - 10
        self.assertThat(self.asked[0].merge_after, LessThan(wait))

    def test_time_to_say_something(self) -> None:
        """Parts of a relay far away are not late before it can answer."""
        self.table.active[FAR] = EntryRecord(FAR, FAR, 'far', 'two')
        self.table.relays.connected_names.add(FAR)
        self.table.drained['beside'] = True
        # Hedges of fast parts begin sooner than the way there and back.
        for _ in range(16):
            self.table.latencies_of('r').add(0.004)
        self.begin()
        self.assertThat(self.asked[0].relay, Equals(FAR))
        self.split(self.served.advance(10.02))
        self.assertThat(self.table.relays.last_late_at, Equals({}))
        self.split(self.served.advance(10.02 + REMOTE_RELAY_OVERHEAD_SECONDS))
        self.assertThat(list(self.table.relays.last_late_at), Equals([FAR]))

    def test_no_stream(self) -> None:
        """Without a stream to it nothing waits for a relay."""
        self.table.relays.connected_names.clear()
        self.begin()
        self.assertThat(self.direct, HasLength(4))

    def test_single_part(self) -> None:
        """A single part goes there, too: the relay has open connections."""
        self.route.shards = SHARDS[:2]
        self.begin()
        self.assertThat(self.direct, HasLength(1))
        self.assertThat(self.asked[0].attempts, HasLength(1))

    def test_wanted_streams(self) -> None:
        """One stream to each other data centre, for a named host only."""
        self.assertThat(relays_to_connect(self.table), Equals({RELAY}))
        self.table.active.pop(NAME)
        self.assertThat(relays_to_connect(self.table), Equals(set()))


class MergingTest(RelayCase):
    """What a relay answers."""

    def setUp(self) -> None:
        super().setUp()
        self.begin()
        self.relayed = self.asked[0].attempts

    def take_merged(self, *outcomes, now: float = 10.02) -> None:
        pairs = list(zip(self.relayed, outcomes, strict=False))
        self.split(self.served.handle_merged(RELAY, pairs, now))

    def take_near(self, body: bytes = b'') -> None:
        reply = Reply(200, [], body, 'p0')
        outcome = Outcome(OutcomeKind.ANSWERED, reply)
        self.split(self.served.handle_outcome(self.direct[0], outcome, 10.01))

    def test_whole(self) -> None:
        """Merged records and those of other parts make the answer."""
        self.take_near(b'5' * 16)
        self.take_merged(
            merged(b''.join((b'9' * 16, b'1' * 16)), 'p1'),
            merged(b'', 'p2'),
            merged(b'', 'p3'),
        )
        answer = self.served.answer
        self.assertThat(answer.body, Equals(b'9' * 16 + b'5' * 16))
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2', 'p3']))

    def test_replaces_a_hedge(self) -> None:
        """Records that came twice are in the answer once."""
        self.take_near()
        self.split(self.served.advance(10.1))
        hedge = next(one for one in self.direct if one.part.service == 's1')
        reply = Reply(200, [], b'7' * 16, 'hedge')
        self.split(
            self.served.handle_outcome(
                hedge, Outcome(OutcomeKind.ANSWERED, reply), 10.11
            ),
        )
        self.take_merged(
            merged(b'7' * 16, 'p1'),
            merged(b'', 'p2'),
            merged(b'', 'p3'),
            now=10.12,
        )
        answer = self.served.answer
        self.assertThat(answer.body, Equals(b'7' * 16))
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2', 'p3']))

    def test_answer_in_one_step(self) -> None:
        """No answer is made of a part of what a relay merged."""
        self.take_near()
        # The time for a partial answer has come before the relay answers.
        self.take_merged(
            merged(b'9' * 16, 'p1'),
            merged(b'', 'p2'),
            now=10.195,
        )
        answer = self.served.answer
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2']))
        self.assertThat(answer.missing, Equals(1))

    def test_relayed_hedge(self) -> None:
        """A hedge uses the relay of its data centre, and waits to the end."""
        self.table.active[FAR] = EntryRecord(FAR, FAR, 'far', 'two')
        self.table.relays.connected_names.add(FAR)
        self.take_merged(merged(b'', 'p1'), merged(b'', 'p2'))
        self.split(self.served.advance(10.08))
        # Two parts are late: the one nearby and the last of the relay.
        self.assertThat([one.relay for one in self.asked], Equals([FAR, FAR]))
        self.assertThat(self.asked[0].merge_after, GreaterThan(0.05))

    def test_single_after_merged(self) -> None:
        """A late answer to a hedge does not take the place of merged ones."""
        self.take_near()
        self.split(self.served.advance(10.1))
        hedge = next(one for one in self.direct if one.part.service == 's1')
        self.take_merged(
            merged(b'7' * 16, 'p1'),
            merged(b'', 'p2'),
            now=10.11,
        )
        reply = Reply(200, [], b'7' * 16, 'hedge')
        pairs = [(hedge, Outcome(OutcomeKind.ANSWERED, reply, seconds=0.01))]
        self.split(self.served.handle_merged(FAR, pairs, 10.12))
        self.split(self.served.advance(10.195))
        answer = self.served.answer
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2']))
        self.assertThat(answer.body, Equals(b'7' * 16))

    def test_held_back(self) -> None:
        """A part that the relay did not send goes elsewhere, for free."""
        budget = self.table.budget('s1')
        before = budget.remaining(1, 10.02)
        self.take_merged(Outcome(OutcomeKind.UNSENT), merged(b'', 'p2'))
        again = [one.upstream.searcher_id for one in self.direct]
        self.assertThat(again, Equals(['s1-b']))
        self.assertThat(budget.remaining(1, 10.02), Equals(before))

    def test_late_parts_of_a_relay(self) -> None:
        """A relay that said something is not blamed, but searchers are."""
        self.take_merged()
        self.split(self.served.advance(10.1))
        late = self.relayed[0].upstream
        self.assertThat(late.is_stalled(10.1), Is(True))
        self.assertThat(self.table.relays.last_late_at, Equals({}))

    def test_silent_relay(self) -> None:
        """A silent one is passed over for a while; searchers are not blamed."""
        self.split(self.served.advance(10.1))
        self.assertThat(self.direct, HasLength(4))
        late = self.relayed[0].upstream
        self.assertThat(late.is_stalled(10.1), Is(False))
        self.begin(now=10.2)
        self.assertThat(self.asked, Equals([]))
        self.begin(now=10.2 + PENALTY_SECONDS)
        self.assertThat(self.asked, HasLength(1))
