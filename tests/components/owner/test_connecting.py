"""Tests of connections: opening, loss, missing answers and the limit."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.owner.const import ENDED_LOST, ENDED_OK
from snipejunction.components.owner.messages import AnnounceRequest
from snipejunction.components.owner.pool import ConnectionPool
from snipejunction.components.owner.upstream_messages import (
    ConnectionClosed,
    DispatchEnded,
)
from snipejunction.const import CODE_NO_CONNECTION, CODE_OVERLOAD
from snipejunction.verdict import Verdict
from tests.components.owner.harness import OwnerRun


class OpeningTest(TestCase):
    """Connections are opened ahead of demand, within the limit."""

    def test_opened_on_announcement(self) -> None:
        """A connection is open before the first request arrives."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        self.assertThat(upstream.open_connections, GreaterThan(0))

    def test_follows_recent_concurrency(self) -> None:
        """A busy searcher has one more connection than slots."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        run.send_batch(['s1' for _ in range(8)])
        run.advance(0.05)
        self.assertThat(upstream.open_connections, Equals(5))

    def test_limit_of_connections(self) -> None:
        """Connections being opened count towards the announced limit."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4, connections=2)
        run.advance(0.1)
        for _ in range(60):
            run.send_batch(['s1' for _ in range(6)])
            run.advance(0.02)
        self.assertThat(upstream.open_connections, Equals(2))
        self.assertThat(upstream.violations.total(), Equals(0))

    def test_unused_connections_are_closed(self) -> None:
        """Idle connections above the recent demand are closed."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        run.advance(25)
        self.assertThat(upstream.open_connections, LessThan(3))

    def test_refused_connections(self) -> None:
        """Work for a searcher that refuses connections is refused."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        upstream = run.run.lose_upstream('s1')
        _break_all(run, 's1')
        run.advance(0.5)
        self.assertThat(run.searcher('s1').health.is_down, Equals(True))
        sub_id = run.send_sub('s1')
        run.advance(0.01)
        self.assertThat(run.code_of(sub_id), Equals(CODE_NO_CONNECTION))
        run.run.add_upstream(upstream)
        run.advance(2)
        late = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(late), Equals('ok'))
        self.assertThat(run.searcher('s1').warmth.effective_limit, Equals(1))


class ResetTest(TestCase):
    """A lost connection may mean that the searcher restarted."""

    def test_cold_until_the_boot_is_confirmed(self) -> None:
        """After a reset the limit is the cold capacity until an answer."""
        run = OwnerRun()
        run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        _break_all(run, 's1')
        run.advance(0.001)
        self.assertThat(run.searcher('s1').warmth.effective_limit, Equals(1))
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals('ok'))
        self.assertThat(run.searcher('s1').warmth.effective_limit, Equals(4))

    def test_restart_under_load(self) -> None:
        """After a restart under load the cold capacity is not exceeded."""
        for seed in range(10):
            run = OwnerRun(seed)
            upstream = run.add_upstream('s1', slots=4)
            run.advance(0.1)
            run.warm_up('s1')
            run.send_batch(['s1' for _ in range(20)])
            run.advance(0.003)
            run.restart_upstream('s1')
            for _ in range(50):
                run.send_batch(['s1' for _ in range(4)])
                run.advance(0.02)
            self.assertThat(upstream.violations.total(), Equals(0))
            self.assertThat(run.searcher('s1').boot_id, Equals('s1#2'))

    def test_late_answer_of_an_earlier_boot(self) -> None:
        """A late answer of an earlier boot does not change the boot id."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', service_time=lambda _random: 0.4)
        run.advance(0.1)
        run.send_sub('s1')
        run.advance(0.01)
        host = run.run.host('h1')
        upstream.turn_cold()
        call = AnnounceRequest(0, upstream.announcement())
        host.call(call, lambda _answer: None)
        dispatch_id = max(run.node().owner.dispatches)
        late = DispatchEnded(dispatch_id, ENDED_OK, boot_id='s1#1')
        host.receive(late)
        self.assertThat(run.searcher('s1').boot_id, Equals('s1#2'))


class PoolTest(TestCase):
    """Counting and selection of connections."""

    def test_opening_and_closing_count(self) -> None:
        """A connection counts from its opening until it is closed."""
        pool = ConnectionPool()
        opened = pool.add(1, 0)
        self.assertThat(len(pool), Equals(1))
        pool.release(opened, 1)
        pool.mark_closing(opened)
        self.assertThat((len(pool), pool.count_usable()), Equals((1, 0)))
        self.assertThat(pool.acquire(), Equals(None))
        pool.remove(1)
        self.assertThat(len(pool), Equals(0))

    def test_most_recently_active_first(self) -> None:
        """The most recently active connection is used first."""
        pool = ConnectionPool()
        connections = [pool.add(number, 0) for number in (1, 2, 3)]
        for connection in connections:
            pool.release(connection, 1)
        self.assertThat(pool.acquire(), Equals(connections[-1]))


class SilenceTest(TestCase):
    """Open connections that stop answering while new ones work."""

    def test_repeated_over_a_new_connection(self) -> None:
        """A request on a silent connection is repeated over a fresh one."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        _silence_all(run)
        silent = run.send_sub('s1', remaining=1)
        run.advance(0.2)
        later = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(silent), Equals('ok'))
        self.assertThat(run.code_of(later), Equals('ok'))
        run.advance(1)
        self.assertThat(len(run.answers[silent]), Equals(1))
        self.assertThat(upstream.violations.total(), Equals(0))
        self.assertThat(run.searcher('s1').health.is_down, Equals(False))

    def test_repeats_are_bounded(self) -> None:
        """Few requests are repeated to a searcher that never answers."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        upstream.is_silent = True
        sub_ids = []
        for _ in range(40):
            sub_ids += run.send_batch(['s1'], remaining=0.2)
            run.advance(0.1)
        run.advance(1)
        requested = len(sub_ids)
        before = len(run.run.recorder.of_kind('upstream_run'))
        self.assertThat(len(run.answers) >= requested, Equals(True))
        silent_runs = before - run.next_sub + 1 + requested
        self.assertThat(silent_runs, LessThan(requested + 4))
        verdicts = {
            run.answers[sub_id][0].refusal.verdict for sub_id in sub_ids
        }
        self.assertThat(Verdict.RAN in verdicts, Equals(False))

    def test_stale_connections_are_replaced(self) -> None:
        """Idle connections that broke without notice are replaced."""
        run = OwnerRun()
        run.add_upstream('s1')
        run.advance(0.1)
        _silence_all(run)
        run.advance(4)
        sub_id = run.send_sub('s1')
        run.advance(0.02)
        self.assertThat(run.code_of(sub_id), Equals('ok'))

    def test_silent_connections_count_towards_the_limit(self) -> None:
        """Silent connections count until they are closed."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=3, connections=3)
        run.advance(0.1)
        run.warm_up('s1')
        for _ in range(5):
            _silence_all(run)
            for _ in range(20):
                run.send_batch(['s1' for _ in range(3)])
                run.advance(0.05)
        self.assertThat(upstream.violations.total(), Equals(0))
        late = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(late), Equals('ok'))

    def test_slot_is_kept_until_the_deadline(self) -> None:
        """A request on a broken connection may still run until then."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.4)
        run.advance(0.1)
        run.send_sub('s1')
        run.advance(0.01)
        _break_all(run, 's1')
        run.advance(0.2)
        self.assertThat(run.searcher('s1').in_flight, Equals(1))
        run.advance(0.5)
        self.assertThat(run.searcher('s1').in_flight, Equals(0))

    def test_work_moves_on_while_slots_are_lost(self) -> None:
        """Work that would wait for the slot of a lost request is refused."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.4)
        run.advance(0.1)
        run.send_sub('s1')
        run.advance(0.01)
        _break_all(run, 's1')
        run.advance(0.02)
        host = run.run.host('h1')
        dispatch_id = max(run.node().owner.dispatches)
        host.receive(DispatchEnded(dispatch_id, ENDED_LOST))
        sub_id = run.send_sub('s1', remaining=0.3)
        run.advance(0.01)
        self.assertThat(run.code_of(sub_id), Equals(CODE_OVERLOAD))

    def test_new_boot_frees_lost_slots(self) -> None:
        """Requests of a boot have ended once the next boot is known."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', service_time=lambda _random: 1)
        run.advance(0.1)
        run.send_sub('s1', remaining=1.5)
        run.advance(0.01)
        host = run.run.host('h1')
        dispatch_id = max(run.node().owner.dispatches)
        host.receive(DispatchEnded(dispatch_id, ENDED_LOST))
        run.restart_upstream('s1')
        self.assertThat(run.searcher('s1').in_flight, Equals(1))
        call = AnnounceRequest(0, upstream.announcement())
        host.call(call, lambda _answer: None)
        self.assertThat(run.searcher('s1').in_flight, Equals(0))

    def test_slow_answer_is_used(self) -> None:
        """A slow answer over a suspect connection is still used."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        for _ in range(50):
            run.send_sub('s1')
            run.advance(0.02)
        upstream.slowness = 60
        slow = run.send_sub('s1')
        run.advance(0.2)
        upstream.slowness = 1
        run.advance(0.3)
        self.assertThat(run.code_of(slow), Equals('ok'))

    def test_unresponsive_searcher_is_reset_to_cold(self) -> None:
        """The limit is reset when new connections do not answer either."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        upstream.is_silent = True
        for _ in range(30):
            run.send_batch(['s1'], remaining=0.2)
            run.advance(0.1)
        self.assertThat(run.searcher('s1').warmth.limit, Equals(1))


def _silence_all(run: OwnerRun) -> None:
    host = run.run.host('h1')
    ids = [connection_id for _, connection_id in run.run.connections]
    host.silent_connections.update(ids)


def _break_all(run: OwnerRun, searcher: str) -> None:
    """Break all connections to a searcher at once."""
    host = run.run.host('h1')
    for place, name in list(run.run.connections.items()):
        if name == searcher:
            run.run.connections.pop(place)
            for upstream in run.run.upstreams.values():
                upstream.disconnect(*place)
            host.receive(ConnectionClosed(place[1], 'reset'))
