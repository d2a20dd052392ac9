"""Tests of single faults in the planned stop."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.components.control.systems import work
from tests.components.control.harness import ControlRun

STOP_SECONDS = 6


class OpenWorkTest(TestCase):
    """Open work that delays a planned stop."""

    def test_each_kind_of_work(self) -> None:
        """Open work of a root, a journal or an owner delays the stop."""
        for component in (work.root_idle, work.journal_idle, work.owner_idle):
            run = ControlRun(41, voters=3, others=2)
            run.start_and_wait()
            original = component.is_idle
            component.is_idle = lambda node: False
            self.addCleanup(setattr, component, 'is_idle', original)
            run.hosts['h004'].stop()
            run.run_for(5 * STOP_SECONDS)
            self.assertThat(run.hosts['h004'].is_stopped, Equals(False))
            self.assertThat(run.lease_holders(), Contains('h004'))
            component.is_idle = original
            run.run_for(STOP_SECONDS)
            self.assertThat(run.hosts['h004'].is_stopped, Equals(True))
