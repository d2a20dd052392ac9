"""Builds a scenario: hosts, services, searchers, callers and load."""

from __future__ import annotations

from random import Random
from typing import Any, Final

from snipejunction.bench.fake_upstream import FakeUpstream, ServiceTime
from snipejunction.bench.network import Delays, Place
from snipejunction.bench.virtual import VirtualRun
from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.proof.callers import Flow
from snipejunction.proof.operators import Change
from snipejunction.proof.sampling import Sampler
from snipejunction.proof.script import Script, ServiceLine

# When operators write the first settings and searchers come, in seconds.
SETTINGS_SECONDS: Final = 2.0
UPSTREAMS_SECONDS: Final = 3.0
DOCUMENTS_OF_A_SHARD: Final = 100
FIRST_LAYOUT: Final = 'a'
OPERATOR: Final = BOOTSTRAP_OPERATOR
SEED_BITS: Final = 64
ROLL_PAUSE_SECONDS: Final = 0.2
DEFAULT_CONNECTIONS: Final = 30
DEFAULT_OPEN_SECONDS: Final = 0.006
DEFAULT_TIME_SECONDS: Final = 0.02
DEFAULT_SPREAD: Final = 0.25
DEFAULT_STRAGGLER_TIMES: Final = 20
CLOCK_DRIFT: Final = 0.005
_SETTINGS_OPTIONS: Final = frozenset(
    ('prefer', 'hedge_budget', 'retry_budget', 'queue_limit'),
)


class StagedService:
    """A service of a scenario and its snapshots."""

    __slots__ = ('documents', 'layout', 'line', 'searchers', 'version')

    def __init__(self, line: ServiceLine) -> None:
        """Create a service without searchers."""
        self.line = line
        self.searchers: list[str] = []
        self.version = 1
        self.layout = FIRST_LAYOUT
        count = int(line.options.get('shards', 1))
        self.documents = sizes_of_shards(count)

    @property
    def snapshot(self) -> SnapshotId:
        """Return the newest snapshot."""
        return SnapshotId(self.version, self.layout)


class Stage:
    """A run with everything that a script names."""

    __slots__ = (
        '_changes',
        '_run',
        '_script',
        '_services',
        'layouts',
    )

    def __init__(self, script: Script, seed: int) -> None:
        """Create the run of a script with a seed."""
        delays = Delays()
        for name, amount in script.delays.items():
            setattr(delays, name, float(amount))
        self._script = script
        self._run = VirtualRun(seed, delays)
        self._services: dict[str, StagedService] = {}
        self._changes = 0
        self.layouts: dict[tuple[str, int, str], tuple[int, ...]] = {}

    @property
    def run(self) -> VirtualRun:
        """Return the run."""
        return self._run

    @property
    def script(self) -> Script:
        """Return the script."""
        return self._script

    @property
    def services(self) -> dict[str, StagedService]:
        """Return the services by name."""
        return self._services

    @property
    def data_centres(self) -> list[str]:
        """Return the names of the data centres, one in each region."""
        return list(self._script.regions)

    def prepare(self) -> None:
        """Start the hosts and schedule all that the script states."""
        places = {
            f'h{number}': self._place_of(number - 1)
            for number in range(1, self._script.host_count + 1)
        }
        self._run.add_hosts(places, self._script.voters, drift=CLOCK_DRIFT)
        self._run.start_hosts()
        for line in self._script.services:
            self._services[line.name] = StagedService(line)
        schedule = self._run.schedule
        schedule.at(SETTINGS_SECONDS, self._write_settings)
        schedule.at(UPSTREAMS_SECONDS, self._add_upstreams)
        for flow in self._script.flows:
            if flow.kind != 'allow':
                region = str(flow.options.get('region', self.data_centres[0]))
                Flow(self._run, flow, region).begin()
        Sampler(self._run).begin()

    def change(self, written: dict[str, Any], **options: Any) -> None:
        """Let an operator write settings."""
        change_id = self.new_change_id()
        change = Change(self._run, OPERATOR, change_id, written, **options)
        change.send()

    def new_change_id(self) -> str:
        """Return an id that no other change of this run has."""
        self._changes += 1
        return f'change-{self._changes}'

    def roll(self, service: StagedService) -> None:
        """Give a service a newer snapshot, searcher after searcher."""
        service.version += 1
        self._spread(service, len(service.documents))

    def repartition(self, service: StagedService, shards: int) -> None:
        """Give a service a new shard layout under a newer snapshot."""
        service.version += 1
        service.layout = chr(ord(service.layout) + 1)
        service.documents = sizes_of_shards(shards)
        self._spread(service, shards)

    def _spread(self, service: StagedService, shards: int) -> None:
        self._note_layout(service)
        for index, name in enumerate(service.searchers):
            upstream = self._run.upstream(name)
            if upstream is None:
                continue
            upstream.hold(
                service.snapshot,
                shards_of(index, shards, service),
                service.documents,
            )
            pause = float(service.line.options.get('pause', ROLL_PAUSE_SECONDS))
            self._run.schedule.after(
                pause * index,
                _Announce(self._run, name),
            )

    def _place_of(self, index: int) -> Place:
        region = self._script.regions[index % len(self._script.regions)]
        return Place(region, region)

    def _write_settings(self) -> None:
        written: dict[str, Any] = {
            f'/data-centres/{name}': {'state': 'in', 'region': name}
            for name in self.data_centres
        }
        for line in self._script.services:
            document = {
                name: amount
                for name, amount in line.options.items()
                if name in _SETTINGS_OPTIONS
            }
            document['callers'] = self._callers_of(line.name)
            team, _, name = line.name.partition('/')
            written[f'/teams/{team}/services/{name}'] = document
        self.change(written)

    def _callers_of(self, service: str) -> dict[str, Any]:
        return {
            flow.caller: {
                'rate': float(flow.options['rate']),
                'concurrency': int(flow.options['concurrency']),
            }
            for flow in self._script.flows
            if flow.kind == 'allow' and flow.service == service
        }

    def _add_upstreams(self) -> None:
        for service in self._services.values():
            self._note_layout(service)
            count = int(service.line.options.get('searchers', 3))
            for index in range(count):
                self._add_upstream(service, index)

    def _add_upstream(self, service: StagedService, index: int) -> None:
        options = service.line.options
        place = self._place_of(index)
        short = service.line.name.partition('/')[2]
        number = index + 1
        upstream = FakeUpstream(
            f'{short}-{number}',
            service.line.name,
            place.data_centre,
            place.region,
            self._run.schedule,
            self._run.recorder,
            Random(self._run.random.getrandbits(SEED_BITS)),
            service_time_of(options),
            slots=int(options.get('slots', 3)),
            connections=int(options.get('connections', DEFAULT_CONNECTIONS)),
            cold_capacity=int(options.get('cold', 1)),
            connect_seconds=float(options.get('open', DEFAULT_OPEN_SECONDS)),
        )
        shards = len(service.documents)
        upstream.hold(
            service.snapshot,
            shards_of(index, shards, service),
            service.documents,
        )
        service.searchers.append(upstream.name)
        self._run.add_upstream(upstream)

    def _note_layout(self, service: StagedService) -> None:
        place = (service.line.name, service.version, service.layout)
        self.layouts[place] = service.documents


class _Announce:
    """Action: let a searcher announce itself."""

    __slots__ = ('_name', '_run')

    def __init__(self, run: VirtualRun, name: str) -> None:
        self._run = run
        self._name = name

    def __call__(self) -> None:
        self._run.announce(self._name)


class LogNormal:
    """Service times around a median, with stragglers now and then."""

    __slots__ = ('_median', '_sigma', '_straggle', '_times')

    def __init__(
        self,
        median: float,
        sigma: float,
        straggle: float,
        times: float,
    ) -> None:
        """Create a distribution; a share is slower by ``times``."""
        self._median = median
        self._sigma = sigma
        self._straggle = straggle
        self._times = times

    def __call__(self, random: Random) -> float:
        """Return a service time in seconds."""
        seconds = self._median * random.lognormvariate(0, self._sigma)
        if random.random() < self._straggle:
            return seconds * self._times
        return seconds


def service_time_of(options: dict[str, Any]) -> ServiceTime:
    """Return the service times that a service line asks for."""
    return LogNormal(
        float(options.get('time', DEFAULT_TIME_SECONDS)),
        float(options.get('spread', DEFAULT_SPREAD)),
        float(options.get('stragglers', 0)),
        float(options.get('times', DEFAULT_STRAGGLER_TIMES)),
    )


def sizes_of_shards(count: int) -> tuple[int, ...]:
    """Return the documents of each shard; no two sizes are equal."""
    return tuple(DOCUMENTS_OF_A_SHARD + index for index in range(count))


def shards_of(
    index: int,
    shards: int,
    service: StagedService,
) -> tuple[int, ...]:
    """Return the shards of the searcher at ``index`` of a service.

    Searchers go over the data centres in turn; with replicas for each data
    centre a shard lives in all of them.
    """
    replicas = int(service.line.options.get('replicas', 3))
    return tuple(
        shard
        for shard in range(shards)
        if _holds(index, shard, shards, replicas, service)
    )


def _holds(
    index: int,
    shard: int,
    shards: int,
    replicas: int,
    service: StagedService,
) -> bool:
    searchers = int(service.line.options.get('searchers', 3))
    places = {(shard * replicas + copy) % searchers for copy in range(replicas)}
    return index in places
