"""Seeded random faults under the continuous checks of the harness."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from tests.components.control.harness import ControlRun

STEPS: Final = 40
MAX_DOWN: Final = 2


class Faults:
    """Applies random faults drawn from a seed."""

    def __init__(self, run: ControlRun, seed: int) -> None:
        self.run = run
        self.random = Random(seed)
        self.changes = 0
        self.steps: tuple[Callable[[str], None], ...] = (
            run.network.isolate,
            self._cut_one_way,
            self._kill,
            self._stop,
            self._freeze,
            self._heal,
            self._change,
            self._change,
            self._change,
        )

    def step(self) -> None:
        """Apply one step to a random host and advance the time."""
        name = self.random.choice(list(self.run.hosts))
        self.random.choice(self.steps)(name)
        self.run.run_for(self.random.uniform(0.05, 2.5))

    def end(self) -> None:
        """Undo all faults and wait until the hosts have converged."""
        self.run.network.heal_all()
        self.run.network.loss = 0
        self.run.run_for(25)
        self.run.start_and_wait(12)

    def _is_up(self, name: str) -> bool:
        down = len(self.run.hosts) - len(self.run.running)
        return self.run.hosts[name].is_alive and down < MAX_DOWN

    def _cut_one_way(self, name: str) -> None:
        other = self.random.choice(list(self.run.hosts))
        self.run.network.cut(name, other)

    def _kill(self, name: str) -> None:
        if self._is_up(name):
            self.run.crash(name)

    def _stop(self, name: str) -> None:
        if self._is_up(name):
            self.run.hosts[name].stop()

    def _freeze(self, name: str) -> None:
        self.run.hosts[name].freeze(self.random.uniform(0.1, 6))

    def _heal(self, name: str) -> None:
        self.run.network.heal_all()
        self.run.start_hosts()

    def _change(self, name: str) -> None:
        if not self.run.hosts[name].is_alive:
            return
        self.changes += 1
        team = self.random.randrange(2)
        self.run.change(
            name,
            f'c{self.changes}',
            path=f'/teams/t{team}/services/s',
            document={'deadline': self.random.uniform(0.1, 1)},
        )


class RandomFaultsTest(TestCase):
    """Kills, cuts, freezes, planned stops, lost and duplicate messages."""

    def test_three_voters(self) -> None:
        """Invariants hold, and all hosts agree at the end."""
        for seed in (1, 2, 3):
            self._run(seed, voters=3)

    def test_five_voters(self) -> None:
        """The same with five control hosts."""
        for seed in (4, 5):
            self._run(seed, voters=5)

    def _run(self, seed: int, voters: int) -> None:
        run = ControlRun(seed, voters, others=4)
        run.network.loss = 0.02
        run.network.doubling = 0.05
        run.network.reordering = 0.2
        run.start_and_wait()
        faults = Faults(run, seed)
        for _ in range(STEPS):
            faults.step()
        faults.end()
        self.assertThat(run.lease_holders(), HasLength(voters + 4))
        states = {
            (node.settings.revision, node.view.revision, node.view.settled)
            for node in map(run.node, run.hosts)
        }
        self.assertThat(states, HasLength(1))
        _, view, settled = states.pop()
        self.assertThat(settled, Equals(view))
