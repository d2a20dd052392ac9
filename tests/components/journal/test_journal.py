"""Tests of requests that are not idempotent."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.journal import state
from snipejunction.components.journal.const import (
    STATUS_EXPIRED,
    STATUS_RUNNING,
)
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalBegin,
    RequestKey,
    RunResponse,
)
from snipejunction.components.journal.systems import client
from snipejunction.const import (
    CODE_ID_EXPIRED,
    CODE_ID_REUSED,
    CODE_IN_PROGRESS,
    CODE_NO_LEADER,
    CODE_NO_LEASE,
    CODE_OUTCOME_UNKNOWN,
    CODE_SHED,
)
from snipejunction.messages import PeerLost
from snipejunction.verdict import Verdict, not_run
from tests.components.journal.harness import (
    CALLER,
    SERVICE,
    JournalCluster,
    patch_neighbours,
)


class JournalTestCase(TestCase):
    """A cluster with a leader of the journal."""

    def setUp(self) -> None:
        """Start the cluster."""
        super().setUp()
        patch_neighbours(self)
        self.cluster = JournalCluster(seed=1)
        self.cluster.wait_leader()
        self.cluster.run(0.5)

    def ask(self, name: str, request_id: str, **fields) -> RunResponse:
        """Ask at a host and wait for the answer."""
        return self.cluster.settle(
            self.cluster.ask(name, request_id, **fields),
        )

    def assert_verdict(
        self,
        answered: RunResponse,
        verdict: Verdict,
        code: str,
    ) -> None:
        """Check the verdict and the code of a refusal."""
        self.assertThat(answered.refusal.verdict, Is(verdict))
        self.assertThat(answered.refusal.code, Equals(code))


class ResendTest(JournalTestCase):
    """Resends of a request whose outcome is known."""

    def test_each_host_replays_the_outcome(self) -> None:
        """One run; every host gives the recorded outcome."""
        first = self.ask('h4', 'loan-1')
        self.assertThat(first.payload, Equals(b'ran 0'))
        self.assertThat(first.is_replay, Is(False))
        for name in self.cluster.hosts:
            again = self.ask(name, 'loan-1')
            self.assertThat(again.payload, Equals(b'ran 0'))
            self.assertThat(again.is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_replay_without_a_lease(self) -> None:
        """A host that may take no work still knows what ran."""
        self.ask('h2', 'loan-1')
        self.cluster.lose_lease('h4')
        self.assertThat(self.ask('h4', 'loan-1').is_replay, Is(True))
        refused = self.ask('h4', 'loan-2')
        self.assert_verdict(refused, Verdict.NOT_RUN, CODE_NO_LEASE)

    def test_two_hosts_at_the_same_time(self) -> None:
        """Concurrent sends run once; the later one gets the outcome."""
        calls = [self.cluster.ask(name, 'loan-1') for name in ('h2', 'h4')]
        answers = [self.cluster.settle(call) for call in calls]
        self.assertThat(self.cluster.runs, Equals(['loan-1']))
        payloads = [answered.payload for answered in answers]
        self.assertThat(payloads, Equals([b'ran 0', b'ran 0']))

    def test_ids_belong_to_their_caller(self) -> None:
        """The same id of another caller is another request."""
        self.ask('h2', 'loan-1')
        other = self.ask('h2', 'loan-1', caller='team/other')
        self.assertThat(other.payload, Equals(b'ran 1'))

    def test_id_with_another_body_is_refused(self) -> None:
        """An id names one body, also after a new leader and a restart."""
        self.ask('h2', 'loan-1')
        for name in ('h1', 'h2', 'h3'):
            self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.wait_leader()
        reused = self.ask('h4', 'loan-1', body=b'other')
        self.assert_verdict(reused, Verdict.NOT_RUN, CODE_ID_REUSED)
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_large_outcome_is_not_kept(self) -> None:
        """The first caller gets it whole; a resend learns that it ran."""
        self.patch(client, 'MAX_KEPT_PAYLOAD_BYTES', 3)
        first = self.ask('h2', 'loan-1')
        self.assertThat(first.payload, Equals(b'ran 0'))
        again = self.ask('h4', 'loan-1')
        self.assert_verdict(again, Verdict.RAN, CODE_OUTCOME_UNKNOWN)

    def test_proven_refusal_allows_a_fresh_attempt(self) -> None:
        """After *not run* the same id runs, once."""
        self.cluster.refusal = not_run(CODE_SHED, 'busy')
        refused = self.ask('h2', 'loan-1')
        self.assert_verdict(refused, Verdict.NOT_RUN, CODE_SHED)
        self.cluster.refusal = None
        self.assertThat(self.ask('h4', 'loan-1').refusal, Is(None))
        self.assertThat(self.ask('h2', 'loan-1').is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))


class UnknownOutcomeTest(JournalTestCase):
    """Requests that began and whose outcome is not known."""

    def test_root_dies_between_begun_and_outcome(self) -> None:
        """A resend is told the truth and is not run again."""
        self.cluster.is_owner_silent = True
        self.cluster.ask('h4', 'loan-1')
        self.cluster.run(0.2)
        self.cluster.crash('h4')
        waiting = self.ask('h2', 'loan-1')
        self.assert_verdict(waiting, Verdict.MAY_HAVE_RUN, CODE_IN_PROGRESS)
        self.cluster.start('h4')
        self.cluster.is_owner_silent = False
        known = self.ask('h4', 'loan-1')
        self.assert_verdict(known, Verdict.MAY_HAVE_RUN, CODE_OUTCOME_UNKNOWN)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_silent_owner(self) -> None:
        """Without an outcome the answer and the record say so."""
        self.cluster.is_owner_silent = True
        answered = self.ask('h4', 'loan-1')
        self.assertThat(
            answered.refusal.verdict,
            Is(Verdict.MAY_HAVE_RUN),
        )
        self.cluster.run(3)
        self.cluster.is_owner_silent = False
        again = self.ask('h2', 'loan-1')
        self.assert_verdict(again, Verdict.MAY_HAVE_RUN, CODE_OUTCOME_UNKNOWN)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_owner_restarts(self) -> None:
        """The outcome of an owner that is gone is not waited for."""
        self.cluster.is_owner_silent = True
        call = self.cluster.ask('h4', 'loan-1', deadline=30.0)
        self.cluster.run(0.2)
        self.cluster.crash('h5')
        self.cluster.start('h5')
        answered = self.cluster.settle(call)
        self.assert_verdict(
            answered,
            Verdict.MAY_HAVE_RUN,
            CODE_OUTCOME_UNKNOWN,
        )

    def test_late_outcome_is_recorded(self) -> None:
        """An outcome after the deadline serves the resend."""
        self.cluster.is_owner_silent = True
        self.ask('h4', 'loan-1', deadline=0.4)
        self.cluster.is_owner_silent = False
        self.cluster.run(1)
        self.assertThat(self.ask('h2', 'loan-1').is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_no_quorum(self) -> None:
        """Without the journal nothing runs and nothing is claimed."""
        self.cluster.crash('h2')
        self.cluster.crash('h3')
        answered = self.ask('h4', 'loan-1')
        self.assert_verdict(answered, Verdict.MAY_HAVE_RUN, CODE_NO_LEADER)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_lease_lost_while_it_begins(self) -> None:
        """The root dispatches nothing, and the record allows a resend."""
        call = self.cluster.ask('h4', 'loan-1')
        self.cluster.lose_lease('h4')
        refused = self.cluster.settle(call)
        self.assert_verdict(refused, Verdict.NOT_RUN, CODE_NO_LEASE)
        self.cluster.run(0.5)
        self.assertThat(self.ask('h2', 'loan-1').payload, Equals(b'ran 0'))


class LostMessagesTest(JournalTestCase):
    """Loss, doubling and changes of the leader."""

    def test_lost_and_doubled_messages(self) -> None:
        """Every request runs at most once, and answers say what ran."""
        self.cluster.loss = 0.2
        self.cluster.duplication = 0.3
        self.cluster.delay = (0.001, 0.1)
        names = list(self.cluster.hosts)
        for number in range(60):
            request_id = f'loan-{number}'
            for attempt in range(3):
                name = names[(number + attempt) % len(names)]
                answered = self.ask(name, request_id)
                self._check(answered, request_id)
        runs = self.cluster.runs
        self.assertThat(len(set(runs)), Equals(len(runs)))

    def test_leader_lost_while_it_begins(self) -> None:
        """The next leader begins the same attempt, once."""
        leader = self.cluster.leader()
        call = self.cluster.ask('h4', 'loan-1', deadline=5.0)
        self.cluster.run(0.002)
        self.cluster.crash(leader.name)
        self.cluster.settle(call)
        self.cluster.start(leader.name)
        self.assertThat(self.ask('h2', 'loan-1').payload, Equals(b'ran 0'))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_leader_of_the_last_request_is_gone(self) -> None:
        """A root that believes in a dead leader soon asks the next host."""
        self.cluster.crash('h1')
        self.cluster.wait_leader()
        root = self.cluster.hosts['h4']
        root.node.journal.leader = 'h1'
        answered = self.ask('h4', 'r1', deadline=0.4)
        self.assertThat(answered.refusal, Is(None))

    def test_loss_of_the_asked_host_is_noticed(self) -> None:
        """A lost stream turns a root to the next host at once."""
        self.cluster.crash('h1')
        self.cluster.wait_leader()
        root = self.cluster.hosts['h4']
        root.node.journal.leader = 'h1'
        call = self.cluster.ask('h4', 'r1', deadline=0.15)
        self.cluster.process(root, PeerLost('h1'))
        answered = self.cluster.settle(call)
        self.assertThat(answered.refusal, Is(None))

    def test_late_answer_after_the_outcome(self) -> None:
        """A copy of the journal's answer leaves the outcome as it is."""
        self.ask('h4', 'loan-1')
        self.cluster.repeat_grant('loan-1')
        self.cluster.run(2)
        self.assertThat(self.cluster.runs, Equals(['loan-1']))
        self.assertThat(self.ask('h2', 'loan-1').payload, Equals(b'ran 0'))

    def test_doubled_answer_reaches_no_second_owner(self) -> None:
        """A copy dispatches nothing, also when routes changed since."""
        self.cluster.is_owner_silent = True
        self.cluster.ask('h4', 'loan-1')
        self.cluster.run(0.1)
        self.cluster.route(self.cluster.hosts['h4'].node, 'near')
        self.cluster.repeat_grant('loan-1')
        self.cluster.run(0.1)
        self.assertThat(self.cluster.received, Equals(['h5']))

    def test_given_up_attempt_runs_later(self) -> None:
        """An attempt that was never dispatched does not block the id."""
        leader = self.cluster.leader()
        self.cluster.cuts.add((leader.name, 'h4'))
        answered = self.ask('h4', 'loan-1', deadline=0.3)
        self.assert_verdict(answered, Verdict.MAY_HAVE_RUN, CODE_NO_LEADER)
        self.cluster.run(2)
        self.cluster.heal()
        self.cluster.run(2)
        self.assertThat(self.ask('h2', 'loan-1').payload, Equals(b'ran 0'))

    def test_answer_to_an_attempt_that_is_over(self) -> None:
        """A begin that comes after all is declined."""
        self.cluster.cuts.add(('h4', 'h1'))
        self.cluster.cuts.add(('h4', 'h2'))
        self.cluster.cuts.add(('h4', 'h3'))
        call = self.cluster.ask('h4', 'loan-1', deadline=0.3)
        journal = self.cluster.hosts['h4'].node.journal
        run = next(iter(journal.runs.values()))
        begin = JournalBegin(
            run.run_id,
            run.key,
            run.digest,
            run.token,
            False,
        )
        self.cluster.settle(call)
        self.cluster.heal()
        self.cluster.run(2)
        begin.sender = 'h4'
        self.cluster.process(self.cluster.leader(), begin)
        self.cluster.run(1)
        self.assertThat(self.ask('h2', 'loan-1').payload, Equals(b'ran 0'))

    def _check(self, answered: RunResponse, request_id: str) -> None:
        has_run = request_id in self.cluster.runs
        if answered.refusal is None:
            self.assertThat(has_run, Is(True))
        elif answered.refusal.verdict is Verdict.NOT_RUN:
            self.assertThat(has_run, Is(False))


class WindowTest(JournalTestCase):
    """Ids that are older than the journal remembers."""

    def test_forgotten_ids_are_not_run_again(self) -> None:
        """Hashes and, for ordered ids, numbers outlive the records."""
        self.patch(state, 'MAX_RECORDS', 2)
        self.patch(state, 'MAX_PAST', 2)
        ids = [f't{number}-loan' for number in range(10, 20)]
        for request_id in ids:
            self.ask('h2', request_id)
        for name in ('h1', 'h2', 'h3'):
            self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.wait_leader()
        for old in ids[:8]:
            expired = self.ask('h4', old)
            self.assert_verdict(
                expired,
                Verdict.MAY_HAVE_RUN,
                CODE_ID_EXPIRED,
            )
        self.assertThat(self.ask('h4', ids[9]).is_replay, Is(True))
        self.assertThat(self.ask('h4', 't20-loan').refusal, Is(None))
        self.assertThat(len(self.cluster.runs), Equals(11))

    def test_state_survives_its_snapshot(self) -> None:
        """Records, past ids and floors come back, payloads bounded."""
        self.patch(state, 'MAX_RECORDS', 2)
        self.patch(state, 'MAX_PAST', 2)
        self.patch(state, 'MAX_KEPT_BYTES', 6)
        for number in range(8):
            self.ask('h2', f't{number}-loan')
        kept = self.cluster.leader().replica.machine.state
        again = state.JournalState.unpack(kept.pack())
        self.assertThat(again.pack(), Equals(kept.pack()))
        oldest = RequestKey(CALLER, SERVICE, 't0-loan')
        self.assertThat(
            again.status(oldest, b'', ''),
            Equals(STATUS_EXPIRED),
        )
        old = self.ask('h4', 't6-loan')
        self.assert_verdict(old, Verdict.RAN, CODE_OUTCOME_UNKNOWN)

    def test_outcome_of_an_earlier_attempt_is_void(self) -> None:
        """Only the last attempt's outcome counts."""
        kept = state.JournalState()
        key = RequestKey(CALLER, SERVICE, 'loan-1')
        kept.begin(BeginEntry(key, b'', 'first'))
        refusal = not_run(CODE_SHED, 'busy')
        kept.finish(FinishEntry(key, 'first', refusal, b''))
        kept.begin(BeginEntry(key, b'', 'second'))
        kept.finish(FinishEntry(key, 'first', refusal, b''))
        status = kept.status(key, b'', 'third')
        self.assertThat(status, Equals(STATUS_RUNNING))
