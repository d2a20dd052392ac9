"""Run benchmark scenarios over seeds and policies."""

from __future__ import annotations

import argparse
import json
from collections import Counter
from collections.abc import Iterator
from typing import Final

from rich.console import Console

from snipejunction.bench.load import LoadGenerator
from snipejunction.bench.policies.policy import (
    CoordinatedPolicy,
    ServingPolicy,
)
from snipejunction.bench.policies.replicas import (
    LeastOutstanding,
    RandomReplicas,
)
from snipejunction.bench.policies.uncoordinated import UncoordinatedPolicy
from snipejunction.bench.report import BenchReport, PolicyFigures, measure
from snipejunction.bench.scenarios.catalogue import (
    BenchScenario,
    make_scenario,
    scenario_names,
)
from snipejunction.bench.scenarios.deployments import MEASUREMENT_BEGIN_SECONDS
from snipejunction.bench.service_times import ContendedTime
from snipejunction.bench.tables import print_report
from snipejunction.proof.checkers.answers import check_answers
from snipejunction.proof.checkers.breach import Breach
from snipejunction.proof.checkers.limits import (
    check_drains,
    check_leaving,
    check_limits,
)
from snipejunction.proof.stage import UPSTREAMS_SECONDS, Stage
from snipejunction.proof.verbs import schedule_actions

ALL_SCENARIOS: Final = 'all'
SEED_COUNT: Final = 5
COORDINATED: Final = 'snipejunction'
RANDOM: Final = 'random'
LEAST_OUTSTANDING: Final = 'least outstanding'
POLICIES: Final = (COORDINATED, RANDOM, LEAST_OUTSTANDING)
EXIT_UNKNOWN_SCENARIO: Final = 2
EXIT_PROMISE_BROKEN: Final = 1


def run(arguments: argparse.Namespace) -> int:
    """Run the scenarios of the command line; return the exit code.

    The code is one if the program's own policy broke a promise, and two
    if the scenario is unknown.
    """
    names = scenario_names()
    chosen = (
        names if arguments.scenario == ALL_SCENARIOS else [arguments.scenario]
    )
    if not set(chosen) <= set(names):
        Console(stderr=True).print('scenarios:', ', '.join(names))
        return EXIT_UNKNOWN_SCENARIO
    is_broken = False
    for name in chosen:
        seeds = range(arguments.seed, arguments.seed + SEED_COUNT)
        report = run_seeds(name, seeds)
        coordinated_figures = report.of_policy(COORDINATED)
        is_broken = is_broken or any(
            figures.breaches for figures in coordinated_figures
        )
        if arguments.json:
            Console().print_json(json.dumps(report.document()))
        else:
            print_report(report, Console())
    return EXIT_PROMISE_BROKEN if is_broken else 0


def run_seeds(
    name: str,
    seeds: range,
    policies: tuple[str, ...] = POLICIES,
) -> BenchReport:
    """Run a scenario with each seed under each policy."""
    return BenchReport(
        name,
        [
            run_policy(make_scenario(name), seed, policy)
            for policy in policies
            for seed in seeds
        ],
    )


def run_scenario(name: str, seed: int) -> BenchReport:
    """Run a scenario with one seed under all policies."""
    return run_seeds(name, range(seed, seed + 1))


def run_policy(
    scenario: BenchScenario,
    seed: int,
    policy_name: str,
) -> PolicyFigures:
    """Run a scenario with one seed under one policy."""
    stage = run_stage(scenario, seed, policy_name)
    breaches = Counter(breach.promise for breach in _find_breaches(stage))
    return measure(
        policy_name,
        seed,
        stage.run.recorder,
        MEASUREMENT_BEGIN_SECONDS,
        breaches,
    )


def run_stage(
    scenario: BenchScenario,
    seed: int,
    policy_name: str,
) -> Stage:
    """Return the stage of a finished run, for figures and traces."""
    stage = Stage(scenario.script, seed)
    stage.prepare()
    schedule_actions(stage)
    run = stage.run
    run.schedule.at(
        UPSTREAMS_SECONDS,
        lambda: _set_service_times(stage, scenario),
    )
    policy = _make_policy(policy_name, stage)
    for load_profile in scenario.load_profiles:
        LoadGenerator(run, load_profile, policy).begin()
    run.schedule.run_until(scenario.script.end)
    return stage


def _make_policy(name: str, stage: Stage) -> ServingPolicy:
    if name == RANDOM:
        return UncoordinatedPolicy(stage.run, RandomReplicas())
    if name == LEAST_OUTSTANDING:
        return UncoordinatedPolicy(stage.run, LeastOutstanding())
    return CoordinatedPolicy()


def _set_service_times(stage: Stage, scenario: BenchScenario) -> None:
    for upstream in stage.run.upstreams.values():
        upstream.service_time = ContendedTime(
            upstream,
            upstream.service_time,
            scenario.straggler_share,
        )


def _find_breaches(stage: Stage) -> Iterator[Breach]:
    recorder = stage.run.recorder
    yield from check_answers(recorder, stage.layouts)
    yield from check_limits(recorder)
    yield from check_leaving(recorder)
    yield from check_drains(recorder)
