"""Tests of relayed parts at the host that requests them."""

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
    HostsUpdate,
)
from snipejunction.components.gateway.const import (
    PENALTY_SECONDS,
    REMOTE_RELAY_OVERHEAD_SECONDS,
)
from snipejunction.components.gateway.parts import SendAttempt, SendPartsToRelay
from snipejunction.components.gateway.relaying import relays_to_connect
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.updates import update_hosts
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import RolloutRecord
from tests.components.gateway.stage import (
    NAME,
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)

SHARDS = ('s0', 's1', 's2', 's3')
RELAY = '10.0.0.9:7001'
FAR = '10.0.0.8:7001'


def merged(body: bytes, signature: str) -> Outcome:
    """Return the outcome of a part merged by a relay."""
    reply = Reply(200, [], body, signature, is_merged=True)
    return Outcome(OutcomeKind.ANSWERED, reply, seconds=0.01)


class RelayCase(TestCase):
    """Shard ``s0`` is local; the others are in the data centre ``beside``."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        records = [
            EntryRecord(NAME, NAME, 'near', 'one'),
            EntryRecord(RELAY, RELAY, 'beside', 'one'),
        ]
        update = HostsUpdate({'c1': 'near'}, records, False)
        update.sender = 'c1'
        update_hosts(update, self.table, 0)
        self.table.relays.connected_names.add(RELAY)
        route = make_route(shards=SHARDS, top=2, min_share=0.5)
        install_document(self.table, route)
        for shard in SHARDS:
            data_centre = 'near' if shard == 's0' else 'beside'
            report_searchers(
                self.table,
                make_record(f'{shard}-a', shard, data_centre=data_centre),
            )
            report_searchers(
                self.table, make_record(f'{shard}-b', shard, data_centre='far')
            )
        self.route = route

    def start_run(self, now: float = 10.0) -> None:
        self.request_run = RequestRun(
            'id', self.route, self.table, now + 1, now
        )
        self.collect_commands(self.request_run.start(now))

    def collect_commands(self, commands) -> None:
        found = list(commands)
        self.direct_attempts = [
            command.attempt
            for command in found
            if isinstance(command, SendAttempt)
        ]
        self.relay_requests = [
            command
            for command in found
            if isinstance(command, SendPartsToRelay)
        ]


class GroupingTest(RelayCase):
    """Selection of the parts that are sent through a relay."""

    def test_those_of_another_data_centre(self) -> None:
        """Remote parts are sent together, local ones directly."""
        self.start_run()
        self.assertThat(self.direct_attempts, HasLength(1))
        self.assertThat(self.relay_requests[0].relay, Equals(RELAY))
        self.assertThat(self.relay_requests[0].attempts, HasLength(3))
        # The first response arrives before hedges start.
        wait = self.request_run.next_due - 10
        self.assertThat(self.relay_requests[0].merge_after, LessThan(wait))

    def test_time_for_the_first_response(self) -> None:
        """A remote relay does not count as late before it can respond."""
        self.table.active[FAR] = EntryRecord(FAR, FAR, 'far', 'two')
        self.table.relays.connected_names.add(FAR)
        self.table.drained['beside'] = True
        # The hedge delay of fast parts is shorter than the round trip.
        for _ in range(16):
            self.table.latencies_of('r').add(0.004)
        self.start_run()
        self.assertThat(self.relay_requests[0].relay, Equals(FAR))
        self.collect_commands(self.request_run.advance(10.02))
        self.assertThat(self.table.relays.last_late_at, Equals({}))
        self.collect_commands(
            self.request_run.advance(10.02 + REMOTE_RELAY_OVERHEAD_SECONDS)
        )
        self.assertThat(list(self.table.relays.last_late_at), Equals([FAR]))

    def test_no_stream(self) -> None:
        """Without a stream to the relay all parts are sent directly."""
        self.table.relays.connected_names.clear()
        self.start_run()
        self.assertThat(self.direct_attempts, HasLength(4))

    def test_single_part(self) -> None:
        """A single part uses the relay, which has open connections."""
        self.route.shards = SHARDS[:2]
        self.start_run()
        self.assertThat(self.direct_attempts, HasLength(1))
        self.assertThat(self.relay_requests[0].attempts, HasLength(1))

    def test_wanted_streams(self) -> None:
        """An advertised host needs a stream to each other data centre."""
        self.assertThat(relays_to_connect(self.table), Equals({RELAY}))
        self.table.active.pop(NAME)
        self.assertThat(relays_to_connect(self.table), Equals(set()))


class MergingTest(RelayCase):
    """Handling of the responses of a relay."""

    def setUp(self) -> None:
        super().setUp()
        self.start_run()
        self.relayed = self.relay_requests[0].attempts

    def take_merged(self, *outcomes, now: float = 10.02) -> None:
        pairs = list(zip(self.relayed, outcomes, strict=False))
        self.collect_commands(self.request_run.handle_merged(RELAY, pairs, now))

    def take_near(self, body: bytes = b'') -> None:
        reply = Reply(200, [], body, 'p0')
        outcome = Outcome(OutcomeKind.ANSWERED, reply)
        self.collect_commands(
            self.request_run.handle_outcome(
                self.direct_attempts[0], outcome, 10.01
            )
        )

    def test_whole(self) -> None:
        """The answer merges relayed records with those of other parts."""
        self.take_near(b'5' * 16)
        self.take_merged(
            merged(b''.join((b'9' * 16, b'1' * 16)), 'p1'),
            merged(b'', 'p2'),
            merged(b'', 'p3'),
        )
        answer = self.request_run.answer
        self.assertThat(answer.body, Equals(b'9' * 16 + b'5' * 16))
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2', 'p3']))

    def test_replaces_a_hedge(self) -> None:
        """Records that arrive twice are in the answer once."""
        self.take_near()
        self.collect_commands(self.request_run.advance(10.1))
        hedge = next(
            attempt
            for attempt in self.direct_attempts
            if attempt.part.service == 's1'
        )
        reply = Reply(200, [], b'7' * 16, 'hedge')
        self.collect_commands(
            self.request_run.handle_outcome(
                hedge, Outcome(OutcomeKind.ANSWERED, reply), 10.11
            ),
        )
        self.take_merged(
            merged(b'7' * 16, 'p1'),
            merged(b'', 'p2'),
            merged(b'', 'p3'),
            now=10.12,
        )
        answer = self.request_run.answer
        self.assertThat(answer.body, Equals(b'7' * 16))
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2', 'p3']))

    def test_answer_in_one_step(self) -> None:
        """All parts of one response are applied before the answer."""
        self.take_near()
        # A partial answer is due before the relay responds.
        self.take_merged(
            merged(b'9' * 16, 'p1'),
            merged(b'', 'p2'),
            now=10.195,
        )
        answer = self.request_run.answer
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2']))
        self.assertThat(answer.missing, Equals(1))

    def test_relayed_hedge(self) -> None:
        """A hedge uses the relay of its data centre until the objective."""
        self.table.active[FAR] = EntryRecord(FAR, FAR, 'far', 'two')
        self.table.relays.connected_names.add(FAR)
        self.take_merged(merged(b'', 'p1'), merged(b'', 'p2'))
        self.collect_commands(self.request_run.advance(10.08))
        # Two parts are late: the local one and the last of the relay.
        self.assertThat(
            [request.relay for request in self.relay_requests],
            Equals([FAR, FAR]),
        )
        self.assertThat(self.relay_requests[0].merge_after, GreaterThan(0.05))

    def test_single_after_merged(self) -> None:
        """A late reply to a hedge does not replace a merged one."""
        self.take_near()
        self.collect_commands(self.request_run.advance(10.1))
        hedge = next(
            attempt
            for attempt in self.direct_attempts
            if attempt.part.service == 's1'
        )
        self.take_merged(
            merged(b'7' * 16, 'p1'),
            merged(b'', 'p2'),
            now=10.11,
        )
        reply = Reply(200, [], b'7' * 16, 'hedge')
        pairs = [(hedge, Outcome(OutcomeKind.ANSWERED, reply, seconds=0.01))]
        self.collect_commands(self.request_run.handle_merged(FAR, pairs, 10.12))
        self.collect_commands(self.request_run.advance(10.195))
        answer = self.request_run.answer
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2']))
        self.assertThat(answer.body, Equals(b'7' * 16))

    def test_held_back(self) -> None:
        """A part that the relay held back is sent again without budget."""
        budget = self.table.budget('s1')
        before = budget.remaining(1, 10.02)
        self.take_merged(Outcome(OutcomeKind.UNSENT), merged(b'', 'p2'))
        again = [
            attempt.upstream.searcher_id for attempt in self.direct_attempts
        ]
        self.assertThat(again, Equals(['s1-b']))
        self.assertThat(budget.remaining(1, 10.02), Equals(before))

    def test_late_parts_of_a_relay(self) -> None:
        """If the relay responded in time, late searchers are penalized."""
        self.take_merged()
        self.collect_commands(self.request_run.advance(10.1))
        late = self.relayed[0].upstream
        self.assertThat(late.is_stalled(10.1), Is(True))
        self.assertThat(self.table.relays.last_late_at, Equals({}))

    def test_silent_relay(self) -> None:
        """A relay without a response is avoided, its searchers are not."""
        self.collect_commands(self.request_run.advance(10.1))
        self.assertThat(self.direct_attempts, HasLength(4))
        late = self.relayed[0].upstream
        self.assertThat(late.is_stalled(10.1), Is(False))
        self.start_run(now=10.2)
        self.assertThat(self.relay_requests, Equals([]))
        self.start_run(now=10.2 + PENALTY_SECONDS)
        self.assertThat(self.relay_requests, HasLength(1))


class RolloutEvidenceTest(RelayCase):
    """Parts of a service with a roll-out that a relay sends."""

    def setUp(self) -> None:
        super().setUp()
        rollouts = self.table.rollouts
        rollouts.exposure = ExposureBounds(0.1, 50, 5)
        record = RolloutRecord('s1', 'v2', 2, 30, 0)
        list(rollouts.apply([record], {}, 2, 0, is_first=False))
        self.trial = rollouts.find_trial('s1')
        for _ in range(100):
            self.table.latencies_of('r').add(0.005)
        commands = RequestRun('q', self.route, self.table, 10, 1).start(1)
        self.attempt = next(
            attempt
            for command in commands
            if isinstance(command, SendPartsToRelay)
            for attempt in command.attempts
            if attempt.part.service == 's1'
        )

    def late(self, now: float) -> int:
        """Return how many attempts count as late at a time."""
        list(self.trial.count_late(lambda route: 0.005, now))
        counts = self.trial.evidence.routes.get('r')
        return 0 if counts is None else counts.current_bad

    def test_before_the_first_response(self) -> None:
        """Until the relay merges, nobody knows whether a part is late."""
        due = self.attempt.sent_at + self.attempt.min_hedge_delay
        self.assertThat(due, GreaterThan(1.02))
        self.assertThat(self.late(due - 0.001), Equals(0))
        self.assertThat(self.late(due + 0.02), Equals(1))
