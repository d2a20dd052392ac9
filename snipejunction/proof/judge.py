"""Runs a scenario and judges its history."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.helpers.records import Record
from snipejunction.proof.checkers.answers import check_answers
from snipejunction.proof.checkers.breach import Breach
from snipejunction.proof.checkers.limits import (
    check_drains,
    check_leaving,
    check_limits,
    check_stops,
)
from snipejunction.proof.checkers.runs import check_runs
from snipejunction.proof.checkers.settings import check_settings
from snipejunction.proof.figures import figure
from snipejunction.proof.script import ExpectLine, Script
from snipejunction.proof.stage import Stage
from snipejunction.proof.verbs import schedule_actions


class Judgement(Record):
    """What a run of a scenario showed."""

    __slots__ = ('breaches', 'figures', 'seed', 'stage', 'unmet')

    def __init__(
        self,
        seed: int,
        stage: Stage,
        breaches: list[Breach],
        unmet: list[str],
        figures: dict[str, float],
    ) -> None:
        """Create the judgement of the run of ``stage``."""
        self.seed = seed
        self.stage = stage
        self.breaches = breaches
        self.unmet = unmet
        self.figures = figures

    @property
    def is_kept(self) -> bool:
        """Return whether all promises and expectations hold."""
        return not self.breaches and not self.unmet

    def describe(self) -> str:
        """Return the seed, what is wrong and the actions of the run."""
        lines = [f'seed {self.seed}']
        for breach in self.breaches:
            lines.append(
                f'{breach.when:.3f} s {breach.promise}: {breach.detail}',
            )
        lines.extend(self.unmet)
        for event in self.stage.run.recorder.of_kind('action'):
            verb = event['verb']
            lines.append(f'{event.when:.3f} s {verb} {event["arguments"]}')
        return '\n'.join(lines)


def run_script(script: Script, seed: int | None = None) -> Judgement:
    """Run a scenario with its own seed or another one."""
    chosen = script.seed if seed is None else seed
    stage = Stage(script, chosen)
    stage.prepare()
    schedule_actions(stage)
    stage.run.schedule.run_until(script.end)
    breaches = sorted(_breaches(stage), key=lambda breach: breach.when)
    figures: dict[str, float] = {}
    unmet = [
        line
        for expectation in script.expectations
        for line in _unmet(expectation, stage, figures)
    ]
    return Judgement(chosen, stage, breaches, unmet, figures)


def _breaches(stage: Stage) -> Iterator[Breach]:
    recorder = stage.run.recorder
    yield from check_answers(recorder, stage.layouts)
    yield from check_runs(recorder)
    yield from check_limits(recorder)
    yield from check_leaving(recorder)
    yield from check_drains(recorder)
    yield from check_stops(recorder)
    yield from check_settings(recorder)


def _unmet(
    expectation: ExpectLine,
    stage: Stage,
    figures: dict[str, float],
) -> Iterator[str]:
    recorder = stage.run.recorder
    seen = figure(expectation.figure, recorder, expectation.window)
    figures[expectation.figure] = seen
    if not expectation.holds(seen):
        wanted = f'{expectation.relation} {expectation.bound:g}'
        yield f'{expectation.figure} is {seen:.6g}, expected {wanted}'
