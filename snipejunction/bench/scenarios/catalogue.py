"""All scenarios of the bench by name."""

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
SETTLE_SECONDS: Final = 2.0
STRAGGLER_SHARE: Final = 0.05
# The greedy caller offers this many times what the service can serve.
OVERLOAD_TIMES: Final = 2
# Of that capacity, what the operators allow to the greedy caller.
ALLOWED_SHARE: Final = 0.3
GREEDY_BEGIN_SECONDS: Final = 10.0
GREEDY_END_SECONDS: Final = 13.0

# ``%place`` is the second data centre, ``%service`` the first service and
# ``%searcher`` the stem of its searchers' names.
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
_STRAGGLING: Final = frozenset(('stragglers', 'together'))
_OVERLOADED: Final = frozenset(('overload', 'overload-unlimited'))


class BenchScenario(Record):
    """A script, its load, and the share of straggling sub-requests."""

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
    """Return the names of all scenarios, with those of the deployments."""
    return [
        f'{deployment.name}-{name}'
        for deployment in DEPLOYMENTS
        for name in SCENARIOS
    ]


def make_scenario(full_name: str) -> BenchScenario:
    """Return the scenario ``deployment-name``.

    Raises:
        KeyError: for a scenario that does not exist.
    """
    prefix, _, name = full_name.partition('-')
    deployment = {one.name: one for one in DEPLOYMENTS}[prefix]
    actions = dict(_ACTIONS)[name]
    load_profiles = _lines(deployment)
    if name in _OVERLOADED:
        load_profiles.append(_greedy_line(deployment))
    text = [deployment.header()]
    text.extend(
        f'service {service.name}: {service.line}'
        for service in deployment.services
    )
    text.extend(_allow(line, name, deployment) for line in load_profiles)
    text.append(_fill_in(actions, deployment))
    text.append(f'end {END_SECONDS + SETTLE_SECONDS} s')
    share = STRAGGLER_SHARE if name in _STRAGGLING else 0
    script = parse_script('\n'.join(text))
    return BenchScenario(full_name, script, load_profiles, share)


def capacity_of(script: Script, service: str) -> float:
    """Return the sub-requests a second that a service's slots can serve."""
    options = next(
        line.options for line in script.services if line.name == service
    )
    return float(options['searchers'] * options['slots'] / options['time'])


def _lines(deployment: Deployment) -> list[LoadProfile]:
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


def _greedy_line(deployment: Deployment) -> LoadProfile:
    service = deployment.services[0]
    return LoadProfile(
        f'{deployment.name}/greedy',
        service.name,
        deployment.regions[0],
        OVERLOAD_TIMES * _searches_served(deployment),
        GREEDY_BEGIN_SECONDS,
        GREEDY_END_SECONDS,
        service.deadline,
        is_measured=False,
    )


def _searches_served(deployment: Deployment) -> float:
    """Return the searches a second that the first service can serve."""
    script = parse_script(
        f'service first: {deployment.services[0].line}',
    )
    # One searcher covers all shards of the small services.
    return capacity_of(script, 'first')


def _allow(line: LoadProfile, name: str, deployment: Deployment) -> str:
    rate = 2000.0
    if not line.is_measured and name == 'overload':
        rate = ALLOWED_SHARE * _searches_served(deployment)
    return (
        f'allow {line.caller} -> {line.service}: '
        f'rate {round(rate)}, concurrency 400'
    )


def _fill_in(actions: str, deployment: Deployment) -> str:
    service = deployment.services[0].name
    filled = actions.replace('%place', deployment.regions[1])
    filled = filled.replace('%service', service)
    return filled.replace('%searcher', service.partition('/')[2])
