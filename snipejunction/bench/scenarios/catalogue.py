"""Catalogue of the benchmark scenarios."""

from __future__ import annotations

from typing import Final

from snipejunction.bench.load import LoadProfile
from snipejunction.bench.scenarios.deployments import (
    DEPLOYMENTS,
    WARM_UP_SECONDS,
    Deployment,
)
from snipejunction.helpers.records import Record
from snipejunction.proof.script import Script, parse_script

END_SECONDS: Final = 32.0
# Time that the script runs on after the load has ended.
SETTLE_SECONDS: Final = 2.0
STRAGGLER_SHARE: Final = 0.05
# Load of the greedy caller as a multiple of the capacity of the service.
OVERLOAD_FACTOR: Final = 2
# Share of that capacity to which the settings limit the greedy caller.
ALLOWED_SHARE: Final = 0.3
GREEDY_BEGIN_SECONDS: Final = 10.0
GREEDY_END_SECONDS: Final = 13.0

# ``%place`` stands for the second data centre, ``%service`` for the first
# service and ``%searcher`` for the prefix of its searchers' names.
#
# ``slow`` slows a searcher down by a factor, ``cold_place`` restarts all
# searchers of a data centre, ``roll`` gives a service a newer snapshot,
# ``repartition`` changes its number of shards, ``shed`` lets a searcher shed
# all requests until ``unshed``, ``limit`` lets it state a request rate until
# ``unlimit``, and ``silence`` lets all open connections of a host to searchers
# go silent. ``calm`` has no fault; ``together`` combines several.
_ACTIONS: Final = (
    ('calm', ''),
    ('stragglers', ''),
    ('slow-searcher', 'at 9 s slow %searcher-1 20'),
    (
        'cold-return',
        'at 9 s drain %place\n'
        'at 11 s cold_place %place\n'
        'at 13 s restore %place',
    ),
    (
        'drain-restore',
        'at 9 s drain %place\nat 13 s restore %place',
    ),
    ('snapshot-roll', 'at 9 s roll %service\nat 13 s roll %service'),
    ('repartition', 'at 10 s repartition %service 16'),
    ('overload', ''),
    ('overload-unlimited', ''),
    (
        'shedding',
        'at 9 s shed %searcher-1\nat 13 s unshed %searcher-1',
    ),
    (
        'stated-limits',
        'at 9 s limit %searcher-1 4\nat 9 s limit %searcher-2 1\n'
        'at 15 s unlimit %searcher-1',
    ),
    (
        'silent-connections',
        'at 9 s silence h1\nat 10 s silence h2\nat 11 s silence h3\n'
        'at 12 s silence h4\nat 13 s silence h5',
    ),
    ('owner-lost', 'at 9 s kill h5\nat 14 s start h5'),
    (
        'together',
        'at 9 s slow %searcher-1 20\nat 9.5 s drain %place\n'
        'at 10 s silence h1\nat 11 s roll %service\nat 12 s kill h4\n'
        'at 13 s cold_place %place\nat 13.5 s restore %place\n'
        'at 15 s start h4',
    ),
)
SCENARIOS: Final = tuple(name for name, _ in _ACTIONS)
_STRAGGLER_SCENARIOS: Final = frozenset(('stragglers', 'together'))
_OVERLOAD_SCENARIOS: Final = frozenset(('overload', 'overload-unlimited'))


class BenchScenario(Record):
    """A script, its load, and the share of straggler sub-requests."""

    __slots__ = ('load_profiles', 'name', 'script', 'straggler_share')

    def __init__(
        self,
        name: str,
        script: Script,
        load_profiles: list[LoadProfile],
        straggler_share: float,
    ) -> None:
        """Create a scenario."""
        self.name = name
        self.script = script
        self.load_profiles = load_profiles
        self.straggler_share = straggler_share


def scenario_names() -> list[str]:
    """Return the names of all scenarios, prefixed with their deployment."""
    return [
        f'{deployment.name}-{name}'
        for deployment in DEPLOYMENTS
        for name in SCENARIOS
    ]


def make_scenario(full_name: str) -> BenchScenario:
    """Create the scenario with a name of the form ``deployment-name``.

    Raises:
        KeyError: if the scenario does not exist.
    """
    prefix, _, name = full_name.partition('-')
    deployment = {candidate.name: candidate for candidate in DEPLOYMENTS}[
        prefix
    ]
    actions = dict(_ACTIONS)[name]
    load_profiles = _make_load_profiles(deployment)
    if name in _OVERLOAD_SCENARIOS:
        load_profiles.append(_make_greedy_profile(deployment))
    script_lines = [deployment.script_header()]
    script_lines.extend(
        f'service {service.name}: {service.options}'
        for service in deployment.services
    )
    script_lines.extend(
        _make_allow_line(profile, name, deployment) for profile in load_profiles
    )
    script_lines.append(_expand_actions(actions, deployment))
    script_lines.append(f'end {END_SECONDS + SETTLE_SECONDS} s')
    straggler_share = STRAGGLER_SHARE if name in _STRAGGLER_SCENARIOS else 0
    script = parse_script('\n'.join(script_lines))
    return BenchScenario(full_name, script, load_profiles, straggler_share)


def capacity_of(script: Script, service: str) -> float:
    """Return the sub-requests per second that a service can serve.

    Each searcher runs as many sub-requests at once as it has slots.
    """
    options = next(
        line.options for line in script.services if line.name == service
    )
    return float(options['searchers'] * options['slots'] / options['time'])


def _make_load_profiles(deployment: Deployment) -> list[LoadProfile]:
    return [
        LoadProfile(
            f'{deployment.name}/app-{region}',
            service.name,
            region,
            service.rate / len(deployment.regions),
            WARM_UP_SECONDS,
            END_SECONDS,
            service.deadline,
        )
        for service in deployment.services
        for region in deployment.regions
    ]


def _make_greedy_profile(deployment: Deployment) -> LoadProfile:
    service = deployment.services[0]
    return LoadProfile(
        f'{deployment.name}/greedy',
        service.name,
        deployment.regions[0],
        OVERLOAD_FACTOR * _service_searches_per_second(deployment),
        GREEDY_BEGIN_SECONDS,
        GREEDY_END_SECONDS,
        service.deadline,
        is_measured=False,
    )


def _service_searches_per_second(deployment: Deployment) -> float:
    """Return the searches per second that the first service can serve."""
    script = parse_script(
        f'service first: {deployment.services[0].options}',
    )
    # In the small services one searcher covers all shards, so that a search
    # is one sub-request.
    return capacity_of(script, 'first')


def _make_allow_line(
    profile: LoadProfile,
    name: str,
    deployment: Deployment,
) -> str:
    rate = 2000.0
    if not profile.is_measured and name == 'overload':
        rate = ALLOWED_SHARE * _service_searches_per_second(deployment)
    return (
        f'allow {profile.caller} -> {profile.service}: '
        f'rate {round(rate)}, concurrency 400'
    )


def _expand_actions(actions: str, deployment: Deployment) -> str:
    service = deployment.services[0].name
    expanded = actions.replace('%place', deployment.regions[1])
    expanded = expanded.replace('%service', service)
    return expanded.replace('%searcher', service.partition('/')[2])
