"""Tests of settings changes through the replicated log."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.messages import ChangeRequest
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_CONFLICT,
    CODE_FORBIDDEN,
    CODE_ID_REUSED,
    CODE_NO_LEADER,
    GROUP_SETTINGS,
)
from snipejunction.verdict import Verdict
from tests.components.control.harness import ControlRun, service

PATH = '/teams/desk/services/shelf'


class AcceptedTest(TestCase):
    """Accepted changes."""

    def test_in_force_at_every_host(self) -> None:
        """The answer is sent once each host has applied the change."""
        run = ControlRun(50, voters=3, others=8)
        run.start_and_wait()
        run.change('h005', 'one')
        while 'one' not in run.answers:
            run.run_for(0.001)
        revision = run.answers['one'].revision
        for host in run.running:
            settings = host.core.node.settings
            self.assertThat(settings.revision, Equals(revision))
            self.assertThat(settings.documents[PATH], Equals(service()))

    def test_waits_for_lease_of_silent_host(self) -> None:
        """An isolated host delays the answer until its lease expires."""
        run = ControlRun(51, voters=3, others=8)
        run.start_and_wait()
        asked_at = run.now
        run.network.isolate('h005')
        lost = run.hosts['h005']
        run.change('h006', 'one')
        while 'one' not in run.answers:
            run.run_for(0.001)
        self.assertThat(run.answers['one'].refusal, Equals(None))
        self.assertThat(lost.core.node.lease.is_held(lost.now), Equals(False))
        self.assertThat(run.now - asked_at, LessThan(3.0))

    def test_resend_after_lost_answer(self) -> None:
        """A resend through another host gets the original answer."""
        run = ControlRun(52, voters=3, others=3)
        run.start_and_wait()
        base = run.change('h003', 'one')
        run.run_for(2)
        first = run.answers.pop('one')
        run.change('h004', 'two')
        run.run_for(2)
        run.change('h005', 'one', base)
        run.run_for(2)
        self.assertThat(run.answers['one'].revision, Equals(first.revision))
        self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_resend_after_snapshot(self) -> None:
        """The answer to a change id is kept in log snapshots."""
        run = ControlRun(54, voters=3, others=2)
        run.start_and_wait()
        base = run.change('h003', 'one')
        run.run_for(2)
        first = run.answers.pop('one')
        for number in range(300):
            run.change('h004', f'c{number}', path='/teams/a/services/s')
            run.run_for(0.05)
        for name in run.hosts:
            run.crash(name)
        run.start_and_wait(8)
        replica = run.node('v1').consensus.replicas[GROUP_SETTINGS]
        self.assertThat(replica.snapshot.index, GreaterThan(first.revision))
        run.change('h004', 'one', base)
        run.run_for(3)
        self.assertThat(run.answers['one'].revision, Equals(first.revision))
        self.assertThat(run.answers['one'].refusal, Equals(None))

    def test_history(self) -> None:
        """Each host records the operator, host and paths of a change."""
        run = ControlRun(55, voters=3, others=2)
        run.start_and_wait()
        run.change('h003', 'one')
        run.run_for(2)
        for host in run.running:
            entry = host.core.node.control.history[-1]
            recorded = (
                entry.change_id,
                entry.operator,
                entry.host,
                entry.paths,
            )
            self.assertThat(
                recorded,
                Equals(('one', BOOTSTRAP_OPERATOR, 'h003', [PATH])),
            )

    def test_resend_after_restart_of_all(self) -> None:
        """The answer to a change id survives a restart of all hosts."""
        run = ControlRun(53, voters=3, others=2)
        run.start_and_wait()
        base = run.change('h003', 'one')
        run.run_for(2)
        first = run.answers.pop('one')
        for name in run.hosts:
            run.crash(name)
        run.start_and_wait(8)
        run.change('h004', 'one', base)
        run.run_for(3)
        self.assertThat(run.answers['one'].revision, Equals(first.revision))


class RaceTest(TestCase):
    """Concurrent changes with the same base revision."""

    def test_one_winner(self) -> None:
        """One change wins; the other is refused with the winner's revision."""
        run = ControlRun(60, voters=3, others=3)
        run.start_and_wait()
        run.change('h003', 'one', document={'deadline': 0.1})
        run.change('h004', 'two', document={'deadline': 0.2})
        run.run_for(3)
        by_outcome = sorted(
            run.answers.values(),
            key=lambda answer: answer.refusal is not None,
        )
        winner, loser = by_outcome
        self.assertThat(winner.refusal, Equals(None))
        self.assertThat(loser.refusal.code, Equals(CODE_CONFLICT))
        self.assertThat(loser.refusal.verdict, Equals(Verdict.NOT_RUN))
        self.assertThat(loser.revision, Equals(winner.revision))

    def test_race_through_change_of_leader(self) -> None:
        """After a leader crash and resends there is still one winner."""
        for seed in range(61, 69):
            self._race(seed)

    def test_other_subtrees_do_not_conflict(self) -> None:
        """Changes of different teams do not conflict."""
        run = ControlRun(70, voters=3, others=3)
        run.start_and_wait()
        run.change('h003', 'one', path='/teams/a/services/s')
        run.change('h004', 'two', path='/teams/b/services/s')
        run.run_for(3)
        refusals = [answer.refusal for answer in run.answers.values()]
        self.assertThat(refusals, Equals([None, None]))

    def _race(self, seed: int) -> None:
        run = ControlRun(seed, voters=3, others=3)
        run.start_and_wait()
        run.network.loss = 0.1
        leader = run.leader.name
        base = run.change('h003', 'one', document={'deadline': 0.1})
        run.change('h004', 'two', base, document={'deadline': 0.2})
        run.run_for(run.random.uniform(0, 0.06))
        run.crash(leader)
        # The operators lost their answers and resend to other hosts.
        run.answers.clear()
        run.change('h004', 'one', base, document={'deadline': 0.1})
        run.change('h005', 'two', base, document={'deadline': 0.2})
        run.run_for(15)
        first = dict(run.answers)
        run.answers.clear()
        run.start_host(leader)
        run.run_for(3)
        run.change('h005', 'one', base, document={'deadline': 0.1})
        run.change('h003', 'two', base, document={'deadline': 0.2})
        run.run_for(6)
        winners = {
            name
            for name, answer in run.answers.items()
            if answer.refusal is None
        }
        self.assertThat(len(winners), Equals(1))
        revisions = {answer.revision for answer in run.answers.values()}
        self.assertThat(len(revisions), Equals(1))
        for name, answer in first.items():
            is_winner = name in winners
            self.assertThat(answer.refusal is None, Equals(is_winner))
        wanted = 0.1 if 'one' in winners else 0.2
        for host in run.running:
            document = host.core.node.settings.documents[PATH]
            self.assertThat(document['deadline'], Equals(wanted))


class RefusedTest(TestCase):
    """Refused changes."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlRun(80, voters=3, others=2)
        self.cluster.start_and_wait()

    def test_reused_id(self) -> None:
        """A reused id with other content is refused."""
        base = self.cluster.change('h003', 'one')
        self.cluster.run_for(2)
        self.cluster.change('h003', 'one', base, document={'deadline': 9})
        outcome = self._refusal('one')
        self.assertThat(outcome, Equals((CODE_ID_REUSED, Verdict.NOT_RUN)))

    def test_bad_document(self) -> None:
        """The whole change is checked before it is proposed."""
        self.cluster.change('h003', 'bad', document={'deadline': 'soon'})
        outcome = self._refusal('bad')
        self.assertThat(outcome, Equals((CODE_BAD_REQUEST, Verdict.NOT_RUN)))

    def test_base_in_the_future(self) -> None:
        """A base above the last revision is refused."""
        self.cluster.change('h003', 'early', base=1000)
        outcome = self._refusal('early')
        self.assertThat(outcome, Equals((CODE_BAD_REQUEST, Verdict.NOT_RUN)))

    def test_foreign_subtree(self) -> None:
        """An operator may not write outside of its subtrees."""
        ann = {'token_sha256': '1' * 64, 'subtrees': ['/teams/a']}
        run = self.cluster
        run.change('h003', 'add', path='/operators/ann', document=ann)
        run.run_for(2)
        run.hosts['h004'].call(
            _change_request('ann', '/teams/ab/services/s'),
            lambda got: run._record_answer('ann', got),
        )
        outcome = self._refusal('ann')
        self.assertThat(outcome, Equals((CODE_FORBIDDEN, Verdict.NOT_RUN)))

    def test_no_quorum(self) -> None:
        """Without a quorum the verdict is that the change may have run."""
        self.cluster.crash('v0')
        self.cluster.crash('v1')
        self.cluster.change('h003', 'lost')
        self.cluster.run_for(25)
        refusal = self.cluster.answers['lost'].refusal
        self.assertThat(refusal.code, Equals(CODE_NO_LEADER))
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))

    def _refusal(self, change_id: str) -> tuple[str, Verdict]:
        self.cluster.run_for(2)
        refusal = self.cluster.answers.pop(change_id).refusal
        return refusal.code, refusal.verdict


class RevokedOperatorTest(TestCase):
    """An operator that is removed while its change is in flight."""

    def test_refused_by_the_log(self) -> None:
        """Permissions are checked again when the log entry is applied."""
        run = ControlRun(85, voters=3, others=2)
        run.start_and_wait()
        ann = {'token_sha256': '1' * 64, 'subtrees': ['/teams/a']}
        run.change('h003', 'add', path='/operators/ann', document=ann)
        run.run_for(2)
        run.change('h003', 'remove', path='/operators/ann', document=None)
        late = run.hosts['h004']
        late.call(
            _change_request('ann', '/teams/a/services/s'),
            lambda got: run._record_answer('late', got),
        )
        run.run_for(3)
        self.assertThat(run.answers['remove'].refusal, Equals(None))
        self.assertThat(
            run.answers['late'].refusal.code, Equals(CODE_FORBIDDEN)
        )


class CatchUpTest(TestCase):
    """Hosts that were down during many changes."""

    def test_diskless_host_five_hundred(self) -> None:
        """A diskless host has applied all 500 changes once it has a lease."""
        run = self._catch_up('h003', 500, 90)
        documents = run.node('h003').settings.documents
        self.assertThat(len(documents), Equals(50))

    def test_voter_five_hundred(self) -> None:
        """A voter catches up from the log."""
        run = self._catch_up('v1', 500, 91)
        documents = run.node('v1').settings.documents
        self.assertThat(len(documents), Equals(50))

    def test_snapshot_when_log_is_short(self) -> None:
        """A host too far behind gets a snapshot and its view settles."""
        run = self._catch_up('h003', 1100, 92)
        run.run_for(2)
        node = run.node('h003')
        self.assertThat(node.control.feed_log.start_revision, GreaterThan(0))
        self.assertThat(len(node.settings.documents), Equals(50))
        self.assertThat(node.view.settled, Equals(node.view.revision))
        self.assertThat(len(node.control.history), Equals(500))

    def _catch_up(self, down: str, changes: int, seed: int) -> ControlRun:
        run = ControlRun(seed, voters=3, others=3)
        run.start_and_wait()
        run.crash(down)
        for number in range(changes):
            team = number % 50
            path = f'/teams/t{team}/services/s'
            run.change('h005', f'c{number}', path=path)
            run.run_for(0.05)
        run.run_for(5)
        refused = [answer for answer in run.answers.values() if answer.refusal]
        self.assertThat(refused, Equals([]))
        started_at = run.now
        run.start_host(down)
        while down not in run.lease_holders():
            run.run_for(0.01)
            self.assertThat(run.now - started_at, LessThan(5.0))
        return run


def _change_request(operator: str, path: str) -> ChangeRequest:
    return ChangeRequest(0, operator, operator, 0, {path: service()})
