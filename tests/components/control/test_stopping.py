"""Tests of the planned stop."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, Not

from snipejunction.components.control.systems import stopping
from snipejunction.components.control.systems.addresses import rank_addresses
from tests.components.control.harness import ControlRun


class PlannedStopTest(TestCase):
    """Planned stops of hosts and of the whole cluster."""

    def test_serves_until_answers_run_out(self) -> None:
        """The host keeps its lease until all its address answers expired."""
        run = ControlRun(110, voters=3, others=5)
        run.start_and_wait()
        run.hosts['h004'].stop()
        named_until = 0.0
        while not run.hosts['h004'].is_stopped:
            for host in run.running:
                answer = rank_addresses(host.core.node, 'a/c', '', host.now)
                names = [entry.name for entry in answer.hosts]
                if 'h004' in names:
                    named_until = run.now + answer.keep_seconds
            self.assertThat(run.lease_holders(), Contains('h004'))
            run.run_for(0.02)
        self.assertThat(run.now, GreaterThan(named_until))
        run.run_for(0.5)
        view = run.leader.core.node.view
        self.assertThat(view.current.hosts, Not(Contains('h004')))
        self.assertThat(view.settled, Equals(view.revision))

    def test_waits_for_silent_host(self) -> None:
        """The stop waits for address answers of an isolated host.

        An isolated host returns the leaving one until its own lease expires.
        """
        run = ControlRun(115, voters=3, others=5)
        run.start_and_wait()
        run.network.isolate('h005')
        run.hosts['h004'].stop()
        silent = run.hosts['h005']
        named_until = 0.0
        while not run.hosts['h004'].is_stopped:
            node = silent.core.node
            if node.lease.is_held(silent.now):
                answer = rank_addresses(node, 'a/c', '', silent.now)
                named_until = run.now + answer.keep_seconds
            run.run_for(0.02)
        self.assertThat(run.now, GreaterThan(named_until))

    def test_leader(self) -> None:
        """A control leader transfers its role, and no other lease is lost."""
        run = ControlRun(111, voters=3, others=5)
        run.start_and_wait()
        leader = run.leader.name
        others = set(run.hosts) - {leader}
        run.hosts[leader].stop()
        while not run.hosts[leader].is_stopped:
            run.run_for(0.05)
            self.assertThat(set(run.lease_holders()) & others, Equals(others))
        run.change('h004', 'after')
        run.run_for(4)
        self.assertThat(run.answers['after'].refusal, Equals(None))

    def test_waits_for_open_work(self) -> None:
        """The process exits only once no work is open."""
        run = ControlRun(112, voters=3, others=2)
        run.start_and_wait()
        busy = [True]
        original = stopping.is_idle

        self.patch(
            stopping,
            'is_idle',
            lambda node: original(node) and not busy,
        )
        run.hosts['h004'].stop()
        run.run_for(60)
        self.assertThat(run.hosts['h004'].is_stopped, Equals(False))
        self.assertThat(run.lease_holders(), Contains('h004'))
        busy.clear()
        run.run_for(0.2)
        self.assertThat(run.hosts['h004'].is_stopped, Equals(True))

    def test_without_quorum(self) -> None:
        """Without a quorum the stop is delayed only for a bounded time."""
        run = ControlRun(113, voters=3, others=2)
        run.start_and_wait()
        run.crash('v0')
        run.crash('v1')
        self.assertThat(self._stop(run, 'h004'), LessThan(15.0))

    def test_all_at_once(self) -> None:
        """A whole cluster stops and restarts with its settings."""
        run = ControlRun(114, voters=3, others=2)
        run.start_and_wait()
        run.change('h004', 'kept')
        run.run_for(2)
        for host in run.running:
            host.stop()
        run.run_for(30)
        self.assertThat(run.running, Equals([]))
        run.start_and_wait(8)
        documents = run.node('h004').settings.documents
        self.assertThat(len(documents), Equals(1))
        self.assertThat(len(run.lease_holders()), Equals(5))

    def _stop(self, run: ControlRun, name: str) -> float:
        """Stop a host; return how long it took."""
        began_at = run.now
        run.hosts[name].stop()
        while not run.hosts[name].is_stopped:
            run.run_for(0.05)
            self.assertThat(run.now - began_at, LessThan(40.0))
        return run.now - began_at
