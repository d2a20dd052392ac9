"""Tests of leases, owner changes, drains and hand-overs."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.owner.systems.idle import is_idle
from snipejunction.const import (
    CODE_DATA_CENTRE_OUT,
    CODE_NO_LEASE,
    CODE_NOT_OWNER,
)
from snipejunction.messages import LeaseLost
from snipejunction.verdict import Verdict
from tests.components.owner.harness import DATA_CENTRE, OwnerRun

_HOSTS = ('h1', 'h2', 'h3')
_DATA_CENTRE_PATH = f'/data-centres/{DATA_CENTRE}'


class LeaseTest(TestCase):
    """An owner dispatches only while it holds a lease."""

    def test_no_work_without_a_lease(self) -> None:
        """An owner without a lease refuses work and closes connections."""
        run = OwnerRun()
        upstream = run.add_upstream('s1')
        run.advance(0.1)
        run.leased.clear()
        run.advance(2.5)
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals(CODE_NO_LEASE))
        self.assertThat(upstream.open_connections, Equals(0))

    def test_dispatch_ends_with_the_lease(self) -> None:
        """No dispatch may run longer than the lease."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 5)
        run.advance(0.1)
        run.leased.clear()
        sub_id = run.send_sub('s1', remaining=9)
        run.advance(2)
        held_until = run.node().lease.held_until
        dispatches = run.node().owner.dispatches.values()
        over_at = max(
            [held_until, *[dispatch.deadline for dispatch in dispatches]]
        )
        self.assertThat(over_at, Equals(held_until))
        run.advance(0.3)
        run.run.host('h1').receive(LeaseLost())
        run.advance(0.01)
        refusal = run.answers[sub_id][0].refusal
        self.assertThat(refusal.verdict, Equals(Verdict.MAY_HAVE_RUN))

    def test_queued_work_is_refused_with_the_lease(self) -> None:
        """Queued work is refused when the lease is lost."""
        run = OwnerRun()
        run.add_upstream('s1', service_time=lambda _random: 0.3)
        run.advance(0.1)
        sub_ids = [run.send_sub('s1') for _ in range(2)]
        run.advance(0.01)
        run.leased.clear()
        run.node().lease.give_up()
        run.run.host('h1').receive(LeaseLost())
        run.advance(0.02)
        codes = [
            run.code_of(sub_id) for sub_id in sub_ids if sub_id in run.answers
        ]
        self.assertThat(codes, Equals([CODE_NO_LEASE]))


class DrainTest(TestCase):
    """A data centre that is taken out of service and put back."""

    def test_queued_work_moves_on(self) -> None:
        """Queued and new work is refused at once, running work completes."""
        run = OwnerRun()
        upstream = run.add_upstream('s1', service_time=lambda _random: 0.1)
        run.advance(0.1)
        first, second = run.send_batch(['s1', 's1'])
        run.advance(0.01)
        run.set_settings({_DATA_CENTRE_PATH: {'state': 'out'}})
        run.advance(0.01)
        self.assertThat(run.code_of(second), Equals(CODE_DATA_CENTRE_OUT))
        late = run.send_sub('s1')
        run.advance(0.2)
        self.assertThat(run.code_of(first), Equals('ok'))
        self.assertThat(run.code_of(late), Equals(CODE_DATA_CENTRE_OUT))
        self.assertThat(upstream.open_connections, Equals(0))

    def test_cold_after_return(self) -> None:
        """After its return every searcher in it is cold."""
        run = OwnerRun()
        run.add_upstream('s1', slots=4)
        run.advance(0.1)
        run.warm_up('s1')
        run.set_settings({_DATA_CENTRE_PATH: {'state': 'out'}})
        run.advance(1)
        run.set_settings({_DATA_CENTRE_PATH: {'state': 'in'}})
        self.assertThat(run.searcher('s1').warmth.effective_limit, Equals(1))
        sub_id = run.send_sub('s1')
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals('ok'))


class OwnerChangeTest(TestCase):
    """Two hosts never act as the owner of a searcher at once."""

    def test_hand_over(self) -> None:
        """The next owner restores the limit of the previous one."""
        run, first, others = _warm_run()
        run.set_view(others, is_settled=False)
        run.advance(0.1)
        self.assertThat(run.released(first), Equals(run.revision))
        run.settle()
        searcher = run.searcher('s1', run.owner_of('s1'))
        self.assertThat(searcher.warmth.limit, Equals(4))

    def test_takeover_starts_cold(self) -> None:
        """After a crash the next owner starts with the cold capacity."""
        run, first, others = _warm_run()
        run.run.host(first).kill()
        run.leased.discard(first)
        run.set_view(others)
        run.advance(2.5)
        searcher = run.searcher('s1', run.owner_of('s1'))
        self.assertThat(searcher.warmth.effective_limit, Equals(1))

    def test_hand_over_of_another_boot(self) -> None:
        """The state of an earlier boot is not restored."""
        run, first, others = _warm_run()
        run.run.network.isolate(first)
        run.set_view(others, is_settled=False)
        run.advance(0.5)
        run.run.upstreams['s1'].turn_cold()
        run.run.announce('s1')
        run.advance(0.5)
        run.run.network.heal_all()
        run.advance(0.5)
        run.settle()
        searcher = run.searcher('s1', run.owner_of('s1'))
        self.assertThat(searcher.boot_id, Equals('s1#2'))
        self.assertThat(searcher.warmth.effective_limit, Equals(1))

    def test_not_released_while_work_runs(self) -> None:
        """A host does not conform to a view while lost work is in flight."""
        run = OwnerRun(hosts=_HOSTS)
        run.add_upstream('s1', service_time=lambda _random: 0.2)
        run.advance(0.1)
        first = run.owner_of('s1')
        sub_ids = run.send_batch(['s1', 's1'], first)
        run.advance(0.02)
        others = [name for name in _HOSTS if name != first]
        run.set_view(others, is_settled=False)
        self.assertThat(run.released(first), LessThan(run.revision))
        self.assertThat(is_idle(run.node(first)), Equals(False))
        run.advance(0.3)
        self.assertThat(run.released(first), Equals(run.revision))
        self.assertThat(is_idle(run.node(first)), Equals(True))
        codes = [run.code_of(sub_id) for sub_id in sub_ids]
        self.assertThat(codes, Equals(['ok', CODE_NOT_OWNER]))

    def test_new_owner_waits_for_the_settled_view(self) -> None:
        """Work at the new owner waits until the view is settled."""
        run = OwnerRun(hosts=_HOSTS)
        run.add_upstream('s1')
        run.advance(0.1)
        first = run.owner_of('s1')
        others = [name for name in _HOSTS if name != first]
        run.set_view(others, is_settled=False)
        run.advance(0.1)
        second = run.owner_of('s1')
        sub_id = run.send_sub('s1', host=second)
        run.advance(0.1)
        self.assertThat(run.run.recorder.of_kind('upstream_run'), Equals([]))
        run.settle()
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals('ok'))

    def test_regained_before_release(self) -> None:
        """An owner that regains a searcher before release keeps its state."""
        run, first, others = _warm_run()
        run.send_batch(['s1' for _ in range(4)], first)
        run.advance(0.002)
        run.set_view(others, is_settled=False)
        run.set_view(_HOSTS, is_settled=False)
        self.assertThat(run.released(first), Equals(run.revision))
        self.assertThat(run.searcher('s1', first).warmth.limit, Equals(4))
        run.advance(0.1)
        run.settle()
        sub_id = run.send_sub('s1', host=first)
        run.advance(0.1)
        self.assertThat(run.code_of(sub_id), Equals('ok'))

    def test_isolated_owner(self) -> None:
        """An isolated owner and its successor never exceed the limits."""
        run, first, others = _warm_run()
        upstream = run.run.upstreams['s1']
        run.leased.discard(first)
        run.run.network.isolate(first)
        for _ in range(30):
            run.run.host(first).receive(run.batch(['s1', 's1']))
            run.advance(0.1)
        run.set_view(others, only=others)
        run.advance(2.5)
        second = run.owner_of('s1')
        sub_ids = run.send_batch(['s1' for _ in range(6)], second)
        run.advance(0.5)
        codes = {run.code_of(sub_id) for sub_id in sub_ids}
        self.assertThat(codes, Equals({'ok'}))
        self.assertThat(upstream.violations.total(), Equals(0))

    def test_frozen_owner(self) -> None:
        """An owner that was frozen past its lease dispatches nothing."""
        run, first, others = _warm_run()
        upstream = run.run.upstreams['s1']
        run.leased.discard(first)
        run.run.host(first).freeze(4)
        run.send_batch(['s1' for _ in range(4)], first)
        run.advance(2.5)
        run.set_view(others, only=others)
        second = run.owner_of('s1')
        for _ in range(40):
            run.send_batch(['s1' for _ in range(4)], second)
            run.advance(0.05)
        dispatched = run.run.recorder.of_kind('upstream_run')
        late = [record for record in dispatched if record['source'] == first]
        self.assertThat(late[-1].when, LessThan(run.now - 4))
        self.assertThat(upstream.violations.total(), Equals(0))
        self.assertThat(len(dispatched), GreaterThan(len(late)))


def _warm_run() -> tuple[OwnerRun, str, list[str]]:
    """Return a run with a warm searcher, its owner and the other hosts."""
    run = OwnerRun(hosts=_HOSTS)
    run.add_upstream('s1', slots=4)
    run.advance(0.1)
    first = run.owner_of('s1')
    run.warm_up('s1', first)
    run.advance(0.6)
    return run, first, [name for name in _HOSTS if name != first]
