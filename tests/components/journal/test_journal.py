"""Tests of non-idempotent requests."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is, Not

from snipejunction.commands import SendPeer
from snipejunction.components.journal import state
from snipejunction.components.journal.const import (
    STATUS_EXPIRED,
    STATUS_RUNNING,
)
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalBeginRequest,
    JournalRedirect,
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
from snipejunction.handling import handle
from snipejunction.messages import PeerLost, StopRequested
from snipejunction.verdict import Verdict, not_run_refusal
from tests.components.consensus.harness import Host
from tests.components.journal.harness import (
    CALLER,
    SERVICE,
    JournalCluster,
    patch_dependencies,
)


class JournalTestCase(TestCase):
    """Base of tests on a cluster with an elected journal leader."""

    def setUp(self) -> None:
        """Start the cluster."""
        super().setUp()
        patch_dependencies(self)
        self.cluster = JournalCluster(seed=1)
        self.cluster.wait_leader()
        self.cluster.run(0.5)

    def request(self, name: str, request_id: str, **fields) -> RunResponse:
        """Send a request to a host and wait for the response."""
        return self.cluster.wait_response(
            self.cluster.start_request(name, request_id, **fields),
        )

    def assert_refusal(
        self,
        response: RunResponse,
        verdict: Verdict,
        code: str,
    ) -> None:
        """Check the verdict and the code of a refusal."""
        self.assertThat(response.refusal.verdict, Is(verdict))
        self.assertThat(response.refusal.code, Equals(code))


class ResendTest(JournalTestCase):
    """Resends of a request whose outcome is known."""

    def test_each_host_replays_the_outcome(self) -> None:
        """A request runs once; every host replays the recorded outcome."""
        first = self.request('h4', 'loan-1')
        self.assertThat(first.payload, Equals(b'ran 0'))
        self.assertThat(first.is_replay, Is(False))
        for name in self.cluster.hosts:
            again = self.request(name, 'loan-1')
            self.assertThat(again.payload, Equals(b'ran 0'))
            self.assertThat(again.is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_replay_without_a_lease(self) -> None:
        """A host without a lease replays outcomes and refuses new requests."""
        self.request('h2', 'loan-1')
        self.cluster.lose_lease('h4')
        self.assertThat(self.request('h4', 'loan-1').is_replay, Is(True))
        refused = self.request('h4', 'loan-2')
        self.assert_refusal(refused, Verdict.NOT_RUN, CODE_NO_LEASE)

    def test_two_hosts_at_the_same_time(self) -> None:
        """Concurrent requests run once; both get the outcome."""
        calls = [
            self.cluster.start_request(name, 'loan-1') for name in ('h2', 'h4')
        ]
        responses = [self.cluster.wait_response(call) for call in calls]
        self.assertThat(self.cluster.runs, Equals(['loan-1']))
        payloads = [response.payload for response in responses]
        self.assertThat(payloads, Equals([b'ran 0', b'ran 0']))

    def test_ids_belong_to_their_caller(self) -> None:
        """The same id from another caller is a different request."""
        self.request('h2', 'loan-1')
        other = self.request('h2', 'loan-1', caller='team/other')
        self.assertThat(other.payload, Equals(b'ran 1'))

    def test_id_with_another_body_is_refused(self) -> None:
        """An id is bound to its body, also after restarts of all voters."""
        self.request('h2', 'loan-1')
        for name in ('h1', 'h2', 'h3'):
            self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.wait_leader()
        reused = self.request('h4', 'loan-1', body=b'other')
        self.assert_refusal(reused, Verdict.NOT_RUN, CODE_ID_REUSED)
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_large_outcome_is_not_kept(self) -> None:
        """Only the first caller gets a large outcome; a resend gets *ran*."""
        self.patch(client, 'MAX_KEPT_PAYLOAD_BYTES', 3)
        first = self.request('h2', 'loan-1')
        self.assertThat(first.payload, Equals(b'ran 0'))
        again = self.request('h4', 'loan-1')
        self.assert_refusal(again, Verdict.RAN, CODE_OUTCOME_UNKNOWN)

    def test_proven_refusal_allows_a_fresh_attempt(self) -> None:
        """After *not run* the same id may run once."""
        self.cluster.refusal = not_run_refusal(CODE_SHED, 'busy')
        refused = self.request('h2', 'loan-1')
        self.assert_refusal(refused, Verdict.NOT_RUN, CODE_SHED)
        self.cluster.refusal = None
        self.assertThat(self.request('h4', 'loan-1').refusal, Is(None))
        self.assertThat(self.request('h2', 'loan-1').is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))


class UnknownOutcomeTest(JournalTestCase):
    """Requests that began and have no known outcome."""

    def test_root_crashes_between_begin_and_outcome(self) -> None:
        """A resend after the root crashed gets *may have run* and no run."""
        self.cluster.is_owner_silent = True
        self.cluster.start_request('h4', 'loan-1')
        self.cluster.run(0.2)
        self.cluster.crash('h4')
        waiting = self.request('h2', 'loan-1')
        self.assert_refusal(waiting, Verdict.MAY_HAVE_RUN, CODE_IN_PROGRESS)
        self.cluster.start('h4')
        self.cluster.is_owner_silent = False
        known = self.request('h4', 'loan-1')
        self.assert_refusal(known, Verdict.MAY_HAVE_RUN, CODE_OUTCOME_UNKNOWN)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_silent_owner(self) -> None:
        """Without an outcome the response and the record are *may have run*."""
        self.cluster.is_owner_silent = True
        response = self.request('h4', 'loan-1')
        self.assertThat(
            response.refusal.verdict,
            Is(Verdict.MAY_HAVE_RUN),
        )
        self.cluster.run(3)
        self.cluster.is_owner_silent = False
        again = self.request('h2', 'loan-1')
        self.assert_refusal(again, Verdict.MAY_HAVE_RUN, CODE_OUTCOME_UNKNOWN)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_owner_restarts(self) -> None:
        """A run ends early when the owner of its searcher restarts."""
        self.cluster.is_owner_silent = True
        call = self.cluster.start_request('h4', 'loan-1', deadline=30.0)
        self.cluster.run(0.2)
        self.cluster.crash('h5')
        self.cluster.start('h5')
        response = self.cluster.wait_response(call)
        self.assert_refusal(
            response,
            Verdict.MAY_HAVE_RUN,
            CODE_OUTCOME_UNKNOWN,
        )

    def test_late_outcome_is_recorded(self) -> None:
        """An outcome after the deadline is replayed to a resend."""
        self.cluster.is_owner_silent = True
        self.request('h4', 'loan-1', deadline=0.4)
        self.cluster.is_owner_silent = False
        self.cluster.run(1)
        self.assertThat(self.request('h2', 'loan-1').is_replay, Is(True))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_no_quorum(self) -> None:
        """Without a quorum nothing runs; the verdict is *may have run*."""
        self.cluster.crash('h2')
        self.cluster.crash('h3')
        response = self.request('h4', 'loan-1')
        self.assert_refusal(response, Verdict.MAY_HAVE_RUN, CODE_NO_LEADER)
        self.assertThat(self.cluster.runs, Equals([]))

    def test_lease_lost_while_it_begins(self) -> None:
        """The root does not dispatch, and the record allows a resend."""
        call = self.cluster.start_request('h4', 'loan-1')
        self.cluster.lose_lease('h4')
        refused = self.cluster.wait_response(call)
        self.assert_refusal(refused, Verdict.NOT_RUN, CODE_NO_LEASE)
        self.cluster.run(0.5)
        self.assertThat(self.request('h2', 'loan-1').payload, Equals(b'ran 0'))


class LostMessagesTest(JournalTestCase):
    """Message loss, duplication and leader changes."""

    def test_lost_and_duplicated_messages(self) -> None:
        """Every request runs at most once, and verdicts match the runs."""
        self.cluster.loss = 0.2
        self.cluster.duplication = 0.3
        self.cluster.delay = (0.001, 0.1)
        names = list(self.cluster.hosts)
        for number in range(60):
            request_id = f'loan-{number}'
            for attempt in range(3):
                name = names[(number + attempt) % len(names)]
                response = self.request(name, request_id)
                self._check(response, request_id)
        runs = self.cluster.runs
        self.assertThat(len(set(runs)), Equals(len(runs)))

    def test_leader_lost_while_it_begins(self) -> None:
        """The next leader begins the same attempt once."""
        leader = self.cluster.leader()
        call = self.cluster.start_request('h4', 'loan-1', deadline=5.0)
        self.cluster.run(0.002)
        self.cluster.crash(leader.name)
        self.cluster.wait_response(call)
        self.cluster.start(leader.name)
        self.assertThat(self.request('h2', 'loan-1').payload, Equals(b'ran 0'))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def test_known_leader_is_down(self) -> None:
        """A root whose known leader crashed soon tries the next host."""
        self.cluster.crash('h1')
        self.cluster.wait_leader()
        root = self.cluster.hosts['h4']
        root.node.journal.leader = 'h1'
        response = self.request('h4', 'r1', deadline=0.4)
        self.assertThat(response.refusal, Is(None))

    def test_loss_of_the_contacted_host_triggers_resend(self) -> None:
        """A lost peer connection makes a root try the next host at once."""
        self.cluster.crash('h1')
        self.cluster.wait_leader()
        root = self.cluster.hosts['h4']
        root.node.journal.leader = 'h1'
        call = self.cluster.start_request('h4', 'r1', deadline=0.15)
        self.cluster.process(root, PeerLost('h1'))
        response = self.cluster.wait_response(call)
        self.assertThat(response.refusal, Is(None))

    def test_late_response_after_the_outcome(self) -> None:
        """A late copy of the journal's response keeps the outcome."""
        self.request('h4', 'loan-1')
        self.cluster.resend_grant('loan-1')
        self.cluster.run(2)
        self.assertThat(self.cluster.runs, Equals(['loan-1']))
        self.assertThat(self.request('h2', 'loan-1').payload, Equals(b'ran 0'))

    def test_duplicate_response_reaches_no_second_owner(self) -> None:
        """A duplicate response dispatches nothing, even with new routes."""
        self.cluster.is_owner_silent = True
        self.cluster.start_request('h4', 'loan-1')
        self.cluster.run(0.1)
        self.cluster.route(self.cluster.hosts['h4'].node, 'near')
        self.cluster.resend_grant('loan-1')
        self.cluster.run(0.1)
        self.assertThat(self.cluster.dispatched_to, Equals(['h5']))

    def test_abandoned_attempt_may_run_later(self) -> None:
        """An attempt that was never dispatched does not block the id."""
        leader = self.cluster.leader()
        self.cluster.cuts.add((leader.name, 'h4'))
        response = self.request('h4', 'loan-1', deadline=0.3)
        self.assert_refusal(response, Verdict.MAY_HAVE_RUN, CODE_NO_LEADER)
        self.cluster.run(2)
        self.cluster.heal()
        self.cluster.run(2)
        self.assertThat(self.request('h2', 'loan-1').payload, Equals(b'ran 0'))

    def test_begin_after_the_attempt_ended(self) -> None:
        """A begin request that arrives late is recorded as not run."""
        self.cluster.cuts.add(('h4', 'h1'))
        self.cluster.cuts.add(('h4', 'h2'))
        self.cluster.cuts.add(('h4', 'h3'))
        call = self.cluster.start_request('h4', 'loan-1', deadline=0.3)
        journal = self.cluster.hosts['h4'].node.journal
        run = next(iter(journal.runs.values()))
        begin = JournalBeginRequest(
            run.run_id,
            run.key,
            run.digest,
            run.token,
            False,
        )
        self.cluster.wait_response(call)
        self.cluster.heal()
        self.cluster.run(2)
        begin.sender = 'h4'
        self.cluster.process(self.cluster.leader(), begin)
        self.cluster.run(1)
        self.assertThat(self.request('h2', 'loan-1').payload, Equals(b'ran 0'))

    def _check(self, response: RunResponse, request_id: str) -> None:
        has_run = request_id in self.cluster.runs
        if response.refusal is None:
            self.assertThat(has_run, Is(True))
        elif response.refusal.verdict is Verdict.NOT_RUN:
            self.assertThat(has_run, Is(False))


class PlannedStopTest(JournalTestCase):
    """Requests while the leader of the journal hands over and stops."""

    def test_root_that_led(self) -> None:
        """A stopping leader asks its successor in time."""
        self._check_stop(self.cluster.leader().name, delay=0.03)

    def test_root_without_a_vote(self) -> None:
        """A root with many open requests finds the next leader in time."""
        self._check_stop('h4', delay=0.02)

    def test_request_during_the_transfer(self) -> None:
        """A leader that rejects proposals says so at once."""
        leader = self.cluster.leader()
        self.cluster.isolate(leader.name)
        self.cluster.process(leader, StopRequested())
        key = RequestKey(CALLER, SERVICE, 'loan-1')
        begin = JournalBeginRequest(1, key, b'', 'h4/i1/1', False)
        begin.sender = 'h4'
        answers = list(handle(begin, leader.node, self.cluster.now))
        redirect = SendPeer('h4', JournalRedirect(1, begin.token, ''))
        self.assertThat(answers, Equals([redirect]))

    def test_request_before_the_leader_is_ready(self) -> None:
        """An elected leader keeps a request until its first commit."""
        self.cluster.delay = (0.02, 0.02)
        self.cluster.run(1)
        self.cluster.process(self.cluster.leader(), StopRequested())
        while not any(host.replica.is_leader for host in self._successors()):
            self.cluster.run(0.002)
        successor = next(
            host for host in self._successors() if host.replica.is_leader
        )
        root = self.cluster.hosts['h4'].node
        root.journal.leader = successor.name
        call = self.cluster.start_request('h4', 'loan-1', deadline=0.2)
        self.cluster.run(0.021)
        self.assertThat(successor.replica.is_ready, Is(False))
        response = self.cluster.wait_response(call)
        self.assertThat(response.refusal, Is(None))
        self.assertThat(self.cluster.runs, Equals(['loan-1']))

    def _successors(self) -> list[Host]:
        return [
            host
            for host in self.cluster.running_hosts
            if not _is_stopping(host)
        ]

    def _check_stop(self, root: str, delay: float) -> None:
        self.cluster.delay = (delay, delay)
        self.cluster.run(1)
        leader = self.cluster.leader()
        calls = self._send_for(0.2, root)
        self.cluster.process(leader, StopRequested())
        calls += self._send_for(0.6, root)
        responses = [self.cluster.wait_response(call) for call in calls]
        refusals = [response.refusal for response in responses]
        self.assertThat(list(filter(None, refusals)), Equals([]))
        self.assertThat(self.cluster.leader(), Not(Is(leader)))
        self.assertThat(len(self.cluster.runs), Equals(len(calls)))
        self.assertThat(len(set(self.cluster.runs)), Equals(len(calls)))

    def _send_for(self, seconds: float, root: str) -> list[int]:
        calls = []
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            request_id = f'loan-{self.cluster.now}'
            calls.append(
                self.cluster.start_request(root, request_id, deadline=0.5)
            )
            self.cluster.run(0.02)
        return calls


class WindowTest(JournalTestCase):
    """Ids that the journal has retired."""

    def test_forgotten_ids_are_not_run_again(self) -> None:
        """Retired ids are refused by hash or, if ordered, by number."""
        self.patch(state, 'MAX_RECORDS', 2)
        self.patch(state, 'MAX_RETIRED_IDS', 2)
        ids = [f't{number}-loan' for number in range(10, 20)]
        for request_id in ids:
            self.request('h2', request_id)
        for name in ('h1', 'h2', 'h3'):
            self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.wait_leader()
        for old in ids[:8]:
            expired = self.request('h4', old)
            self.assert_refusal(
                expired,
                Verdict.MAY_HAVE_RUN,
                CODE_ID_EXPIRED,
            )
        self.assertThat(self.request('h4', ids[9]).is_replay, Is(True))
        self.assertThat(self.request('h4', 't20-loan').refusal, Is(None))
        self.assertThat(len(self.cluster.runs), Equals(11))

    def test_state_survives_its_snapshot(self) -> None:
        """Records, retired ids and floors are restored; payloads bounded."""
        self.patch(state, 'MAX_RECORDS', 2)
        self.patch(state, 'MAX_RETIRED_IDS', 2)
        self.patch(state, 'MAX_KEPT_BYTES', 6)
        for number in range(8):
            self.request('h2', f't{number}-loan')
        journal_state = self.cluster.leader().replica.machine.state
        again = state.JournalState.unpack(journal_state.pack())
        self.assertThat(again.pack(), Equals(journal_state.pack()))
        oldest = RequestKey(CALLER, SERVICE, 't0-loan')
        self.assertThat(
            again.status(oldest, b'', ''),
            Equals(STATUS_EXPIRED),
        )
        old = self.request('h4', 't6-loan')
        self.assert_refusal(old, Verdict.RAN, CODE_OUTCOME_UNKNOWN)

    def test_outcome_of_an_earlier_attempt_is_ignored(self) -> None:
        """Only the outcome of the last attempt is recorded."""
        journal_state = state.JournalState()
        key = RequestKey(CALLER, SERVICE, 'loan-1')
        journal_state.begin(BeginEntry(key, b'', 'first'))
        refusal = not_run_refusal(CODE_SHED, 'busy')
        journal_state.finish(FinishEntry(key, 'first', refusal, b''))
        journal_state.begin(BeginEntry(key, b'', 'second'))
        journal_state.finish(FinishEntry(key, 'first', refusal, b''))
        status = journal_state.status(key, b'', 'third')
        self.assertThat(status, Equals(STATUS_RUNNING))


def _is_stopping(host: Host) -> bool:
    return host.node.consensus.is_stopping
