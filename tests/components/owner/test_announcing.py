"""Tests of announcements: validation, forwarding, order and leaving."""

from __future__ import annotations

from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.owner.messages import (
    Announcement,
    AnnounceRequest,
    AnnounceResponse,
    SnapshotEntry,
)
from snipejunction.components.owner.systems.checking import (
    find_announcement_error,
)
from snipejunction.components.owner.systems.idle import is_idle
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_NO_LEASE,
    CODE_SEARCHER_GONE,
    CODE_SEARCHER_LEAVING,
    CODE_STOPPING,
    CODE_UNKNOWN_SERVICE,
    SEARCHER_LEAVING,
)
from snipejunction.verdict import Verdict
from tests.components.owner.harness import SNAPSHOT, OwnerRun, announcement

_HOSTS = ('h1', 'h2', 'h3')


class Announcer:
    """Sends announcements to hosts of a run and records the answers."""

    def __init__(self, run: OwnerRun) -> None:
        """Create an announcer without answers."""
        self.run = run
        self.answers: list[AnnounceResponse] = []
        self.answered_at: list[float] = []

    def announce(self, host: str, sent: Announcement) -> None:
        """Send an announcement to a host."""
        self.run.run.host(host).call(AnnounceRequest(0, sent), self._receive)

    def _receive(self, answer: AnnounceResponse) -> None:
        self.answers.append(answer)
        self.answered_at.append(self.run.now)


class ValidationTest(TestCase):
    """Errors name the field and the bound."""

    def assert_invalid(self, field: str, **changes: Any) -> None:
        """Check that an announcement is refused for ``field``."""
        error = find_announcement_error(announcement(**changes)) or ''
        self.assertThat(error.split(':')[0], Equals(field))

    def test_valid(self) -> None:
        """A valid announcement has no error."""
        self.assertThat(find_announcement_error(announcement()), Equals(None))

    def test_bounds_of_fields(self) -> None:
        """A value out of bounds is an error of its field."""
        self.assert_invalid('searcher', searcher='')
        self.assert_invalid('service', service='x' * 129)
        self.assert_invalid('ip', ip='searcher.example')
        self.assert_invalid('port', port=0)
        self.assert_invalid('slots', slots=0)
        self.assert_invalid('cold_capacity', cold_capacity=-1)
        self.assert_invalid('state', state='resting')

    def test_snapshots(self) -> None:
        """Shards must be in the layout and must not be repeated."""
        held = (SnapshotEntry(SNAPSHOT, (0, 2), (10, 20)),)
        self.assert_invalid('snapshots[0].shards', snapshots=held)
        doubled = (SnapshotEntry(SNAPSHOT, (1, 1), (10, 20)),)
        self.assert_invalid('snapshots[0].shards', snapshots=doubled)


class AnnounceTest(TestCase):
    """Forwarding and registration of announcements."""

    def test_any_host_forwards_it(self) -> None:
        """Whichever host is called, the owner registers the searcher."""
        for host in _HOSTS:
            run = OwnerRun(hosts=_HOSTS)
            announcer = Announcer(run)
            announcer.announce(host, announcement())
            run.advance(0.1)
            self.assertThat(announcer.answers[0].refusal, Equals(None))
            owner = run.owner_of('s1')
            self.assertThat(run.searcher('s1', owner).boot_id, Equals('s1#1'))

    def test_invalid_one_is_refused(self) -> None:
        """An invalid announcement is refused at once."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(port=0))
        refusal = announcer.answers[0].refusal
        self.assertThat(refusal.code, Equals(CODE_BAD_REQUEST))

    def test_unknown_service(self) -> None:
        """A service without settings is refused."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(service='toys/none'))
        refusal = announcer.answers[0].refusal
        self.assertThat(refusal.code, Equals(CODE_UNKNOWN_SERVICE))

    def test_lost_messages(self) -> None:
        """Lost messages are resent."""
        run = OwnerRun(hosts=_HOSTS)
        run.run.network.loss = 0.5
        announcer = Announcer(run)
        for host in _HOSTS:
            announcer.announce(host, announcement())
        run.advance(2)
        refusals = [answer.refusal for answer in announcer.answers]
        self.assertThat(refusals, Equals([None, None, None]))

    def test_owner_does_not_answer(self) -> None:
        """The wait for the owner is bounded and ends in a refusal."""
        run = OwnerRun(hosts=_HOSTS)
        owner = run.owner_of('s1')
        run.run.network.isolate(owner)
        announcer = Announcer(run)
        announcer.announce(_another_host(owner), announcement())
        run.advance(2.2)
        refusal = announcer.answers[0].refusal
        self.assertThat(refusal.code, Equals(CODE_NO_LEASE))
        self.assertThat(refusal.retry_after, GreaterThan(0))

    def test_forwarded_to_the_new_owner(self) -> None:
        """A pending announcement is forwarded to the owner of a newer view."""
        run = OwnerRun(hosts=_HOSTS)
        owner = run.owner_of('s1')
        others = [name for name in _HOSTS if name != owner]
        run.run.network.isolate(owner)
        announcer = Announcer(run)
        announcer.announce(others[0], announcement())
        run.advance(0.1)
        run.set_view(others, only=others)
        run.advance(0.01)
        self.assertThat(announcer.answers[0].refusal, Equals(None))

    def test_late_announcement(self) -> None:
        """An older announcement changes nothing."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(sequence=5, slots=4))
        announcer.announce('h1', announcement(sequence=4, slots=9))
        self.assertThat(run.searcher('s1').slots, Equals(4))

    def test_late_announcement_of_a_replaced_boot(self) -> None:
        """A late announcement of a replaced boot changes nothing."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(boot_id='a', sequence=7))
        announcer.announce('h1', announcement(boot_id='b'))
        announcer.announce('h1', announcement(boot_id='a', sequence=8))
        self.assertThat(run.searcher('s1').boot_id, Equals('b'))

    def test_expiry(self) -> None:
        """A searcher whose announcement expires is removed."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        run.run.lose_upstream('s1')
        run.advance(11)
        self.assertThat(run.node().owner.searchers, Equals({}))

    def test_work_after_expiry_is_refused(self) -> None:
        """A searcher gets no work once its announcement has expired."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        searcher = run.searcher('s1')
        searcher.expires_at = run.run.host('h1').now
        sub_id = run.send_sub('s1')
        run.advance(0.01)
        self.assertThat(run.code_of(sub_id), Equals(CODE_SEARCHER_GONE))


class StoppingTest(TestCase):
    """A stopping host does not wait for announcements to be registered."""

    def test_new_announcement_is_refused(self) -> None:
        """It is refused at once and may be retried at another host."""
        run = OwnerRun(hosts=_HOSTS)
        run.node('h1').lifecycle.enter_phase(Phase.LEAVING)
        announcer = Announcer(run)
        announcer.announce('h1', announcement())
        refusal = announcer.answers[0].refusal
        self.assertThat(refusal.code, Equals(CODE_STOPPING))
        self.assertThat(refusal.verdict, Equals(Verdict.NOT_RUN))
        self.assertThat(refusal.retry_after, GreaterThan(0))
        self.assertThat(is_idle(run.node('h1')), Equals(True))

    def test_pending_without_owner(self) -> None:
        """Without an owner, pending announcements are refused soon."""
        run = OwnerRun()
        run.set_view([])
        announcer = Announcer(run)
        announcer.announce('h1', announcement())
        announcer.announce('h1', announcement(state=SEARCHER_LEAVING))
        run.advance(0.1)
        self.assertThat(announcer.answers, Equals([]))
        run.node().lifecycle.enter_phase(Phase.LEAVING)
        run.advance(0.1)
        codes = [answer.refusal.code for answer in announcer.answers]
        self.assertThat(codes, Equals([CODE_NO_LEASE, CODE_NO_LEASE]))
        self.assertThat(is_idle(run.node()), Equals(True))

    def test_pending_with_an_owner(self) -> None:
        """With an owner, pending announcements still wait for its answer."""
        run = OwnerRun(hosts=_HOSTS)
        owner = run.owner_of('s1')
        called_host = _another_host(owner)
        run.run.network.isolate(owner)
        announcer = Announcer(run)
        announcer.announce(called_host, announcement())
        run.node(called_host).lifecycle.enter_phase(Phase.LEAVING)
        run.advance(0.3)
        self.assertThat(announcer.answers, Equals([]))
        run.run.network.rejoin(owner)
        run.advance(0.5)
        self.assertThat(announcer.answers[0].refusal, Equals(None))


class LeavingTest(TestCase):
    """A leaving searcher is answered once no new work can reach it."""

    def test_leaving_stops_work(self) -> None:
        """Queued and new work is refused, running work completes."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', service_time=lambda _random: 0.1)
        run.advance(0.1)
        running = run.send_sub('s1')
        queued = run.send_sub('s1')
        run.advance(0.01)
        announcer = Announcer(run)
        upstream.leave()
        announcer.announce('h1', upstream.announcement())
        late = run.send_sub('s1')
        run.advance(0.3)
        self.assertThat(announcer.answers[0].refusal, Equals(None))
        codes = sorted(run.code_of(sub_id) for sub_id in (running, queued))
        self.assertThat(codes, Equals(['ok', CODE_SEARCHER_LEAVING]))
        self.assertThat(run.code_of(late), Equals(CODE_SEARCHER_LEAVING))
        runs = run.run.recorder.of_kind('upstream_run')
        self.assertThat(len(runs), Equals(1))

    def test_never_undone_within_a_boot(self) -> None:
        """Neither a late nor a newer announcement of the boot undoes it."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(sequence=3))
        leaving = announcement(sequence=2, state=SEARCHER_LEAVING)
        announcer.announce('h1', leaving)
        announcer.announce('h1', announcement(sequence=1))
        announcer.announce('h1', announcement(sequence=4))
        self.assertThat(run.searcher('s1').is_leaving, Equals(True))

    def test_new_boot_may_return(self) -> None:
        """A new boot of a searcher that left is ready again."""
        run = OwnerRun()
        announcer = Announcer(run)
        announcer.announce('h1', announcement(state=SEARCHER_LEAVING))
        announcer.announce('h1', announcement(boot_id='s1#2'))
        self.assertThat(run.searcher('s1').is_leaving, Equals(False))

    def test_not_answered_before_the_view_is_settled(self) -> None:
        """There is no answer while an earlier owner may still dispatch."""
        run = OwnerRun(hosts=_HOSTS)
        first = run.owner_of('s1')
        others = [name for name in _HOSTS if name != first]
        run.set_view(others, only=others, is_settled=False)
        announcer = Announcer(run)
        sent = announcement(state=SEARCHER_LEAVING)
        announcer.announce(others[0], sent)
        run.advance(1)
        self.assertThat(announcer.answers, Equals([]))
        run.settle(others)
        settled_at = run.now
        run.advance(0.5)
        self.assertThat(announcer.answers[0].refusal, Equals(None))
        delay = announcer.answered_at[0] - settled_at
        self.assertThat(delay, LessThan(0.3))

    def test_known_to_the_next_owner_after_a_crash(self) -> None:
        """A late ready announcement at the next owner does not undo it."""
        run = OwnerRun(hosts=_HOSTS)
        first = run.owner_of('s1')
        others = [name for name in _HOSTS if name != first]
        announcer = Announcer(run)
        leaving = announcement(sequence=2, state=SEARCHER_LEAVING)
        announcer.announce(others[0], leaving)
        run.advance(0.1)
        self.assertThat(len(announcer.answers), Equals(1))
        run.run.host(first).kill()
        run.set_view(others, only=others)
        announcer.announce(others[0], announcement(sequence=1))
        run.advance(0.1)
        searcher = run.searcher('s1', run.owner_of('s1'))
        self.assertThat(searcher.is_leaving, Equals(True))

    def test_known_after_a_restart_of_all(self) -> None:
        """A late ready announcement after a restart of all does not undo it.

        Guards against departures that are held in memory only.
        """
        run = OwnerRun(hosts=_HOSTS)
        announcer = Announcer(run)
        announcer.announce(
            'h1', announcement(sequence=2, state=SEARCHER_LEAVING)
        )
        run.advance(0.1)
        self.assertThat(len(announcer.answers), Equals(1))
        for name in _HOSTS:
            run.run.host(name).kill()
        for name in _HOSTS:
            run.run.host(name).start()
        run.advance(0.1)
        run.set_settings({'/teams/toys/services/catalogue': {}})
        run.set_view(_HOSTS)
        announcer.announce('h1', announcement(sequence=1))
        run.advance(0.5)
        searcher = run.searcher('s1', run.owner_of('s1'))
        self.assertThat(searcher.is_leaving, Equals(True))


def _another_host(owner: str) -> str:
    return next(name for name in _HOSTS if name != owner)
