"""Tests of the reports of an entry host about roll-outs."""

from __future__ import annotations

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength

from snipejunction.components.rollouts.const import ROLLED_BACK, RUNNING
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutReport,
)
from snipejunction.edge.gateway.rollout_reporter import RolloutReporter
from tests.components.gateway.stage import make_table
from tests.edge.gateway.scripted import in_loop


class RolloutReporterTest(TestCase):
    """A host with one roll-out."""

    def open_reporter(self) -> RolloutReporter:
        self.table = make_table()
        self.table.rollouts.exposure = ExposureBounds(0.1, 50, 5)
        self.sent: list[RolloutReport] = []
        loop = asyncio.get_running_loop()
        return RolloutReporter(
            'h/i', self.table, self.sent.append, self.fail, loop
        )

    def move_to(self, state: int) -> None:
        self.table.index += 1
        record = RolloutRecord('s', 'v2', 7, 30, 0, state)
        rollouts = self.table.rollouts
        list(rollouts.apply([record], {}, self.table.index, 0, is_first=False))

    @in_loop
    async def test_no_rollout(self) -> None:
        """Without a roll-out nothing is sent."""
        self.open_reporter().report()
        self.assertThat(self.sent, Equals([]))

    @in_loop
    async def test_reports(self) -> None:
        """An open roll-out is reported again, an ended one once."""
        reporter = self.open_reporter()
        self.move_to(RUNNING)
        reporter.report()
        self.assertThat(self.sent, HasLength(1))
        while len(self.sent) < 2:
            await asyncio.sleep(0.01)
        self.move_to(ROLLED_BACK)
        reporter.report()
        self.assertThat(self.sent, HasLength(3))
        self.assertThat(self.sent[-1].index, GreaterThan(self.sent[0].index))
        self.assertThat(self.sent[-1].host, Equals('h/i'))
        await asyncio.sleep(0.6)
        self.assertThat(self.sent, HasLength(3))
