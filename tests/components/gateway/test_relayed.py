"""Tests of parts that an entry host requests for another one."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from snipejunction.commands import SendPeer
from snipejunction.components.gateway.messages import (
    PartsRequest,
    PartsResponse,
)
from snipejunction.components.gateway.relayed import (
    RelayedCall,
    SendRelayedPart,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.registration.const import LEAVING
from snipejunction.timers import NEVER
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)

SHARDS = ('s0', 's1', 's2')


def answered(body: bytes, signature: str = 'sig') -> Outcome:
    """Return the outcome of a complete answer."""
    return Outcome(OutcomeKind.ANSWERED, Reply(200, [], body, signature))


class RelayedPartsTest(TestCase):
    """A call for three parts and the two greatest records."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install_document(self.table, make_route(shards=SHARDS))
        for shard in SHARDS:
            report_searchers(self.table, make_record(f'{shard}-a', shard))

    def start_call(self, limited: tuple[int, ...] = ()) -> None:
        searchers = [f'{shard}-a' for shard in SHARDS]
        request = PartsRequest(
            5, 'id', b'', b'', searchers, 2, 1, 0.05, limited
        )
        request.sender = 'asker'
        self.call = RelayedCall(request, self.table, 10)
        self.responses: list[PartsResponse] = []
        self.sent_parts = self.collect_commands(self.call.start(10))

    def collect_commands(self, commands) -> list[SendRelayedPart]:
        sent_parts = []
        for command in commands:
            if isinstance(command, SendRelayedPart):
                sent_parts.append(command)
            elif isinstance(command, SendPeer):
                self.responses.append(command.message)
        return sent_parts

    def handle_outcome(
        self, position: int, outcome: Outcome, now: float
    ) -> None:
        self.collect_commands(self.call.handle_outcome(position, outcome, now))

    def test_all_at_once(self) -> None:
        """One response contains the greatest records of all parts."""
        self.start_call()
        for position, record in enumerate((b'1', b'3', b'2')):
            self.handle_outcome(position, answered(record * 16), 10.01)
        self.assertThat(self.responses, HasLength(1))
        self.assertThat(
            self.responses[0].records, Equals(b'3' * 16 + b'2' * 16)
        )
        self.assertThat(self.responses[0].reports, HasLength(3))
        self.assertThat(self.call.is_done, Is(True))

    def test_late_part(self) -> None:
        """A late part does not delay the parts already received."""
        self.start_call()
        self.handle_outcome(0, answered(b'1' * 16), 10.01)
        self.assertThat(self.responses, Equals([]))
        self.assertThat(self.call.next_due, Equals(10.05))
        self.collect_commands(self.call.advance(10.05))
        self.assertThat(self.responses[0].records, Equals(b'1' * 16))
        self.handle_outcome(1, answered(b'2' * 16), 10.06)
        self.collect_commands(self.call.advance(self.call.next_due))
        self.assertThat(self.responses[1].records, Equals(b'2' * 16))
        self.assertThat(self.call.is_done, Is(False))

    def test_empty_first_response(self) -> None:
        """The first response is sent once, even without any part."""
        self.start_call()
        self.collect_commands(self.call.advance(10.05))
        self.collect_commands(self.call.advance(10.06))
        self.assertThat(self.responses, HasLength(1))
        self.assertThat(self.responses[0].reports, Equals([]))
        # No further response is due until a part arrives.
        self.assertThat(self.call.next_due, Equals(NEVER))

    def test_bad_answers_have_no_records(self) -> None:
        """A failure or an unsigned answer is reported without records."""
        self.start_call()
        self.handle_outcome(0, answered(b'9' * 16, signature=''), 10.01)
        failure = Reply(500, [], b'8' * 16, 'sig')
        self.handle_outcome(1, Outcome(OutcomeKind.ANSWERED, failure), 10.01)
        self.handle_outcome(2, Outcome(OutcomeKind.LOST), 10.01)
        self.assertThat(self.responses[0].records, Equals(b''))
        fates = [report.fate for report in self.responses[0].reports]
        self.assertThat(fates, Equals(['answered', 'answered', 'lost']))

    def test_leaving_searcher(self) -> None:
        """No part is sent to a searcher that is known to be leaving."""
        record = make_record('s1-a', 's1', state=LEAVING, sequence=2)
        report_searchers(self.table, record)
        self.start_call()
        self.assertThat(
            [part.position for part in self.sent_parts], Equals([0, 2])
        )
        for position in (0, 2):
            self.handle_outcome(position, answered(b''), 10.01)
        fates = {
            report.position: report.fate for report in self.responses[0].reports
        }
        self.assertThat(fates[1], Equals(OutcomeKind.UNSENT.value))

    def test_drained_data_centre(self) -> None:
        """No part is sent to a drained data centre."""
        self.table.drained['near'] = True
        self.start_call()
        self.assertThat(self.sent_parts, Equals([]))
        self.assertThat(self.responses, HasLength(1))

    def test_counts_what_is_in_flight(self) -> None:
        """Relayed parts count as in flight at their searchers."""
        self.start_call()
        upstream = self.table.upstreams['s0-a']
        self.assertThat(upstream.in_flight, Equals(1))
        self.handle_outcome(0, answered(b''), 10.01)
        self.assertThat(upstream.in_flight, Equals(0))

    def test_caller_host_does_not_know_the_limit(self) -> None:
        """A part beyond a limit is held back, and the limit reported."""
        self.table.upstreams['s1-a'].stated_limit = 3.0
        self.start_call()
        self.assertThat(
            [part.position for part in self.sent_parts], Equals([0, 2])
        )
        for position in (0, 2):
            self.handle_outcome(position, answered(b''), 10.01)
        held = [
            report
            for report in self.responses[0].reports
            if report.position == 1
        ]
        self.assertThat(held[0].fate, Equals(OutcomeKind.UNSENT.value))
        self.assertThat(held[0].stated_limit, Equals(3))

    def test_caller_host_observes_the_limit(self) -> None:
        """A part within the caller's share is sent."""
        self.table.upstreams['s1-a'].stated_limit = 3.0
        self.start_call(limited=(1,))
        self.assertThat(self.sent_parts, HasLength(3))
