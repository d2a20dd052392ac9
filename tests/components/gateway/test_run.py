"""Tests of the control of one request."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.parts import SendAttempt
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.run import RequestRun
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
    set_entries,
)

SHARDS = ('s0', 's1', 's2', 's3')


def answered(body: bytes = b'', status: int = 200, signature: str = 'x'):
    """Return the outcome of a complete answer."""
    return Outcome(OutcomeKind.ANSWERED, Reply(status, [], body, signature))


class RunCase(TestCase):
    """A request with a local and a remote searcher per service."""

    def start_run(
        self, route, *, now: float = 10.0, ratio: float = 0.2
    ) -> None:
        self.table = make_table(ratio=ratio)
        self.route = route
        install_document(self.table, route)
        services = route.shards or ('s',)
        for service in services:
            for data_centre in ('near', 'far'):
                record = make_record(
                    f'{service}-{data_centre}', service, data_centre=data_centre
                )
                report_searchers(self.table, record)
        self.request_run = RequestRun('id', route, self.table, now + 1, now)
        self.sent = self.collect_sends(self.request_run.start(now))

    def collect_sends(self, commands) -> list:
        self.events = []
        found = []
        for command in commands:
            if isinstance(command, SendAttempt):
                found.append(command.attempt)
            elif isinstance(command, LogEvent):
                self.events.append(command.event.number)
        return found

    def handle_outcome(self, attempt, outcome, now: float = 10.01) -> list:
        return self.collect_sends(
            self.request_run.handle_outcome(attempt, outcome, now)
        )

    def advance(self, now: float) -> list:
        return self.collect_sends(self.request_run.advance(now))


class MergedAnswerTest(RunCase):
    """Requests to a sharded route."""

    def setUp(self) -> None:
        super().setUp()
        self.start_run(make_route(shards=SHARDS, top=2, min_share=0.7))

    def answer_all_but(self, count: int) -> None:
        for attempt in self.sent[: len(self.sent) - count]:
            self.handle_outcome(
                attempt, answered(signature=attempt.part.service)
            )

    def test_near_searchers_first(self) -> None:
        """Each part is sent once, to a local searcher."""
        names = [attempt.upstream.searcher_id for attempt in self.sent]
        expected = [f'{shard}-near' for shard in SHARDS]
        self.assertThat(names, Equals(expected))

    def test_whole_answer(self) -> None:
        """A complete answer contains the greatest records of all parts."""
        records = [bytes([number]) * 16 for number in range(8)]
        for number, attempt in enumerate(self.sent):
            body = b''.join((records[number], records[number + 4], b'rest'))
            self.handle_outcome(attempt, answered(body, signature=f'p{number}'))
        answer = self.request_run.answer
        self.assertThat(answer.body, Equals(records[7] + records[6]))
        self.assertThat(answer.signatures, Equals(['p0', 'p1', 'p2', 'p3']))
        self.assertThat(answer.missing, Equals(0))

    def test_waits_for_the_last_part(self) -> None:
        """No partial answer is sent before the objective is near."""
        self.answer_all_but(1)
        self.assertThat(self.request_run.answer, Is(None))

    def test_partial_answer_in_time(self) -> None:
        """A partial answer with enough parts is sent near the objective."""
        self.answer_all_but(1)
        self.advance(10.19)
        self.assertThat(self.request_run.answer.status, Equals(200))
        self.assertThat(self.request_run.answer.missing, Equals(1))
        self.assertThat(self.request_run.answer.signatures, HasLength(3))

    def test_too_few_parts(self) -> None:
        """Too few parts lead to a timeout without a retry-after."""
        self.answer_all_but(2)
        self.advance(10.19)
        self.assertThat(self.request_run.answer, Is(None))
        self.advance(11.0)
        self.assertThat(self.request_run.answer.status, Equals(504))
        self.assertThat(self.request_run.answer.retry_after, Equals(0))

    def test_hedge_elsewhere(self) -> None:
        """A late part is hedged once, at another searcher."""
        due = self.request_run.next_due
        self.assertThat(due, GreaterThan(10.0))
        self.assertThat(due, LessThan(10.1))
        hedges = self.advance(due)
        names = [attempt.upstream.searcher_id for attempt in hedges]
        self.assertThat(names, Equals([f'{shard}-far' for shard in SHARDS]))
        self.assertThat(self.advance(due + 0.05), HasLength(0))

    def test_first_reply_counts(self) -> None:
        """Only the first reply to a hedged part is used."""
        hedges = self.advance(self.request_run.next_due)
        for attempt in hedges:
            self.handle_outcome(attempt, answered(signature='second'))
        for attempt in self.sent:
            self.handle_outcome(attempt, answered(signature='first'))
        self.assertThat(
            set(self.request_run.answer.signatures), Equals({'second'})
        )

    def test_failure_is_no_part(self) -> None:
        """A failed part is retried at another searcher and not merged."""
        second = self.handle_outcome(self.sent[0], answered(status=500))
        self.assertThat(second, HasLength(1))
        self.handle_outcome(second[0], answered(status=500))
        for attempt in self.sent[1:]:
            self.handle_outcome(attempt, answered())
        self.assertThat(self.request_run.answer.missing, Equals(1))

    def test_answer_without_signature_is_no_part(self) -> None:
        """An unsigned reply is retried at another searcher."""
        second = self.handle_outcome(self.sent[0], answered(signature=''))
        self.assertThat(second, HasLength(1))


class RefusalTest(RunCase):
    """Requests that cannot be served."""

    def test_too_few_searchers(self) -> None:
        """Without enough searchers the request is refused as not run."""
        table = make_table()
        route = make_route(shards=SHARDS, min_share=0.7)
        install_document(table, route)
        report_searchers(table, make_record('a', 's0'), make_record('b', 's1'))
        run = RequestRun('id', route, table, 11, 10)
        self.assertThat(self.collect_sends(run.start(10)), HasLength(0))
        self.assertThat(run.answer.status, Equals(503))
        self.assertThat(run.answer.retry_after, GreaterThan(0))

    def test_refused_everywhere(self) -> None:
        """A request shed by all searchers is refused as not run."""
        self.start_run(make_route())
        second = self.handle_outcome(self.sent[0], Outcome(OutcomeKind.SHED))
        self.handle_outcome(second[0], Outcome(OutcomeKind.SHED))
        self.assertThat(self.request_run.answer.status, Equals(503))

    def test_lost_is_not_refused(self) -> None:
        """A request that may have run is not refused as not run."""
        self.start_run(make_route(attempts=1))
        self.handle_outcome(self.sent[0], Outcome(OutcomeKind.LOST))
        self.assertThat(self.request_run.answer.status, Equals(502))


class AtMostOnceTest(RunCase):
    """Requests that are not idempotent."""

    def setUp(self) -> None:
        super().setUp()
        self.start_run(make_route(is_idempotent=False))

    def test_never_hedged(self) -> None:
        """A late request is not hedged."""
        self.assertThat(self.request_run.next_due, GreaterThan(10.9))
        self.assertThat(self.advance(10.5), HasLength(0))

    def test_lost_is_not_repeated(self) -> None:
        """A request that may have run is not retried."""
        repeats = self.handle_outcome(self.sent[0], Outcome(OutcomeKind.LOST))
        self.assertThat(repeats, HasLength(0))
        self.assertThat(self.request_run.answer.status, Equals(502))

    def test_failure_is_passed_on(self) -> None:
        """A signed failure is forwarded to the caller unchanged."""
        self.handle_outcome(self.sent[0], answered(b'why', status=500))
        self.assertThat(self.request_run.answer.status, Equals(500))
        self.assertThat(self.request_run.answer.body, Equals(b'why'))

    def test_shed_is_repeated(self) -> None:
        """A shed request is retried at another searcher."""
        repeats = self.handle_outcome(self.sent[0], Outcome(OutcomeKind.SHED))
        self.assertThat(repeats, HasLength(1))
        self.handle_outcome(repeats[0], Outcome(OutcomeKind.LOST))
        self.assertThat(self.request_run.answer.status, Equals(502))


class CancelledTest(RunCase):
    """Requests whose answer nobody waits for any more."""

    def setUp(self) -> None:
        super().setUp()
        self.start_run(make_route(attempts=2))

    def test_cancelled_is_not_repeated(self) -> None:
        """What this host cancelled is not sent to another searcher."""
        cancelled = Outcome(OutcomeKind.CANCELLED)
        self.assertThat(
            self.handle_outcome(self.sent[0], cancelled), Equals([])
        )
        upstream = self.sent[0].upstream
        self.assertThat(upstream.failure_rate(10.01), Equals(0))

    def test_nothing_is_sent_after_the_caller_left(self) -> None:
        """Neither a failure nor a late searcher causes another attempt."""
        for kind in OutcomeKind:
            if kind is OutcomeKind.ANSWERED:
                continue
            self.start_run(make_route(attempts=2))
            self.request_run.is_abandoned = True
            self.assertThat(self.advance(10.9), Equals([]))
            sent = self.handle_outcome(self.sent[0], Outcome(kind))
            self.assertThat(sent, Equals([]))

    def test_slower_than_the_answer(self) -> None:
        """An attempt that is cancelled behind the answer counts as failed."""
        hedge = self.advance(10.9)[0]
        self.handle_outcome(hedge, answered(), 10.91)
        cancelled = Outcome(OutcomeKind.CANCELLED)
        self.handle_outcome(self.sent[0], cancelled, 10.95)
        upstream = self.sent[0].upstream
        self.assertThat(upstream.failure_rate(10.95), GreaterThan(0))

    def test_end(self) -> None:
        """A request that may have run is not answered as not run."""
        self.request_run.end(10.5)
        self.assertThat(self.request_run.answer.status, Equals(502))
        self.assertThat(self.request_run.answer.retry_after, Equals(0))


class BudgetTest(RunCase):
    """The repeat budget."""

    def test_no_budget(self) -> None:
        """Without budget a late part is not hedged."""
        self.start_run(make_route(), ratio=0)
        budget = self.table.budget('s')
        for _ in range(60):
            budget.record_repeat(10)
        self.assertThat(self.advance(self.request_run.next_due), HasLength(0))
        self.assertThat(self.events, Equals([947, 948]))

    def test_slack_after_a_start(self) -> None:
        """The slack grows from zero over one window after a start."""
        table = make_table(started=100.0)
        budget = table.budget('s')
        self.assertThat(budget.remaining(1, 100), Equals(0))
        self.assertThat(budget.remaining(1, 105), LessThan(60 / 2))
        self.assertThat(budget.remaining(1, 111), GreaterThan(60 * 0.8))

    def test_share_of_each_host(self) -> None:
        """The budgets of all hosts together keep the limits."""
        names = [f'10.0.0.{number}:7001' for number in range(1, 11)]
        total = 0.0
        for name in names:
            table = make_table(name)
            set_entries(table, names)
            budget = table.budget('s')
            for _ in range(100):
                budget.record_request(10)
            total += budget.remaining(table.slack_share, 10)
        self.assertThat(total, LessThan(1000 * 0.2 + 60))
        self.assertThat(total, GreaterThan(1000 * 0.2 * 0.7))

    def test_requests_expire(self) -> None:
        """Requests older than the window no longer count."""
        table = make_table()
        budget = table.budget('s')
        for _ in range(100):
            budget.record_request(10)
        before = budget.remaining(table.slack_share, 10)
        after = budget.remaining(table.slack_share, 21)
        self.assertThat(after, LessThan(before))


class HedgeTimeTest(RunCase):
    """Delay of hedges."""

    def test_slow_searchers_do_not_delay_hedges(self) -> None:
        """A share of ten percent slow answers hardly raises the delay."""
        self.start_run(make_route(objective=0.4))
        times = self.table.latencies_of('r')
        for number in range(64):
            times.add(0.2 if number % 10 == 0 else 0.008)
        run = RequestRun('id', self.route, self.table, 11, 10.0)
        list(run.start(10.0))
        wait = run.next_due - 10.0
        self.assertThat(wait, LessThan(0.021))


class DeadSearchersTest(RunCase):
    """Searchers that refuse connections."""

    def test_refused_connections_cost_no_budget(self) -> None:
        """Refused sends are repeated without budget until one is reached."""
        self.start_run(make_route(is_idempotent=False), ratio=0)
        for number in range(6):
            report_searchers(self.table, make_record(f'dead-{number}'))
        for _ in range(60):
            self.table.budget('s').record_repeat(10)
        sent = self.sent
        while sent and sent[0].upstream.searcher_id != 's-far':
            sent = self.handle_outcome(
                sent[0], Outcome(OutcomeKind.REFUSED), 10.001
            )
        self.assertThat(sent, HasLength(1))
        self.handle_outcome(sent[0], answered())
        self.assertThat(self.request_run.answer.status, Equals(200))

    def test_pause_grows(self) -> None:
        """The backoff doubles with each refusal up to a maximum."""
        self.start_run(make_route())
        upstream = self.sent[0].upstream
        upstream.record_outcome(Outcome(OutcomeKind.REFUSED), 10)
        first = upstream.refused_until - 10
        for _ in range(9):
            upstream.record_outcome(Outcome(OutcomeKind.REFUSED), 20)
        self.assertThat(upstream.refused_until - 20, GreaterThan(first * 4))
        self.assertThat(upstream.refused_until - 20, LessThan(5))


class TimerTest(RunCase):
    """Due times of a run."""

    def test_due_times(self) -> None:
        """Hedges first, then the objective, then the deadline."""
        self.start_run(make_route(shards=SHARDS, min_share=0.9))
        first = self.request_run.next_due
        self.assertThat(first, LessThan(10.1))
        self.advance(first)
        objective = self.request_run.next_due
        self.assertThat(objective, GreaterThan(10.18))
        self.assertThat(objective, LessThan(10.2))
        self.advance(objective)
        self.assertThat(
            self.request_run.next_due, Equals(self.request_run.deadline)
        )

    def test_retry_moves_the_hedge(self) -> None:
        """The hedge delay starts again with a second attempt."""
        self.start_run(make_route(attempts=3))
        before = self.request_run.next_due
        self.handle_outcome(self.sent[0], Outcome(OutcomeKind.SHED), 10.03)
        self.assertThat(self.request_run.next_due, GreaterThan(before))
