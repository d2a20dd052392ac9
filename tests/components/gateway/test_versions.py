"""Tests of versions in the work of an entry host."""

from __future__ import annotations

from random import Random
from types import MappingProxyType

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.commands import LogEvent
from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.messages import PartsRequest
from snipejunction.components.gateway.relayed import (
    RelayedCall,
    SendRelayedPart,
)
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.updates import apply_deployment
from snipejunction.components.gateway.versions import (
    make_report,
    prepare_report,
)
from snipejunction.components.rollouts.const import (
    COMPLETED,
    EVENT_VERSION_MISSING,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import RolloutRecord
from snipejunction.helpers.wire import decode, encode
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)

VERSIONS = ('v1', 'v2', 'v3', '')
# Versions that may get requests in the states of a roll-out from v1 to v2.
ALLOWED = MappingProxyType(
    {
        RUNNING: ['', 'v1', 'v2'],
        SWITCHING: ['', 'v1', 'v2'],
        ROLLED_BACK: ['', 'v1'],
        COMPLETED: ['v2'],
    }
)


class VersionsCase(TestCase):
    """Base class with searchers of several versions of two services."""

    shards = ('s0', 's1')

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.table.rollouts.exposure = ExposureBounds(0.1, 50, 5)
        self.route = make_route(shards=self.shards)
        install_document(self.table, self.route)
        for shard in self.shards:
            for version in VERSIONS:
                record = make_record(f'{shard}-{version}', shard)
                record.version = version
                report_searchers(self.table, record)

    def move_to(self, *states: int, current: str = 'v1') -> None:
        """Apply roll-outs of all services to v2 in each of ``states``."""
        for state in states:
            records = [
                RolloutRecord(shard, 'v2', number, 30, 0, state)
                for number, shard in enumerate(self.shards)
            ]
            versions = {shard: current for shard in self.shards}
            update = DeploymentUpdate(
                self.table.index + 1, 1, b'', {}, records, versions
            )
            list(apply_deployment(update, self.table, bytes, 0))

    def usable(self, *, tries_target: bool = True) -> list[str]:
        """Return the versions in the order that an attempt prefers."""
        excluded: list[str] = []
        while True:
            found = choose_upstream(
                's0',
                self.route,
                excluded,
                self.table,
                1,
                tries_target=tries_target,
            )
            if found is None:
                break
            excluded.append(found.searcher_id)
        return [name.partition('-')[2] for name in excluded]


class UsableVersionsTest(VersionsCase):
    """Versions that an attempt may go to."""

    def test_no_order(self) -> None:
        """Only the current version is used, or one that is not stated."""
        self.move_to()
        list(self.table.rollouts.apply([], {'s0': 'v3'}, 2, 0, is_first=False))
        self.assertThat(sorted(self.usable()), Equals(['', 'v3']))

    def test_states(self) -> None:
        """The states of a roll-out decide."""
        for state, versions in ALLOWED.items():
            self.move_to(state)
            self.assertThat(sorted(self.usable()), Equals(versions))

    def test_preferred(self) -> None:
        """Tries and switched attempts go to the target first."""
        self.move_to(RUNNING)
        self.assertThat(self.usable()[0], Equals('v2'))
        self.assertThat(self.usable(tries_target=False)[-1], Equals('v2'))
        self.move_to(SWITCHING)
        self.assertThat(self.usable(tries_target=False)[0], Equals('v2'))

    def test_current_target(self) -> None:
        """A roll-out to the current version changes nothing."""
        for state in (RUNNING, SWITCHING, COMPLETED, ROLLED_BACK):
            self.move_to(state, current='v2')
            self.assertThat(sorted(self.usable()), Equals(['', 'v2']))

    def test_ledger(self) -> None:
        """Neither tries nor repeats go to the target beyond the ledger."""
        self.move_to(RUNNING)
        self.table.rollouts.find_trial('s0').ledger.target_sent = 100
        for tries_target in (True, False):
            usable = self.usable(tries_target=tries_target)
            self.assertThat(sorted(usable), Equals(['', 'v1']))

    def test_just_started(self) -> None:
        """A host whose first deployment has an order uses no slack."""
        self.table.index = 0
        self.move_to(RUNNING)
        self.assertThat(sorted(self.usable()), Equals(['', 'v1']))

    def test_cold_target(self) -> None:
        """A cold target keeps the rate of cold searchers."""
        self.move_to(RUNNING)
        upstream = self.table.upstreams['s0-v2']
        upstream.cold_until = 9
        self.assertThat(self.usable()[0], Equals('v2'))
        upstream.last_cold_send = 0.9
        self.assertThat(sorted(self.usable()), Equals(['', 'v1']))

    def test_without_bounds(self) -> None:
        """Without exposure bounds all versions are used as before."""
        self.move_to(RUNNING)
        self.table.rollouts.exposure = None
        self.table.random = Random(3)
        self.assertThat(sorted(self.usable()), Equals(sorted(VERSIONS)))
        expected = Random(3)
        # One draw for each searcher that is left, until none is.
        for _ in range(4 + 3 + 2 + 1):
            expected.random()
        self.assertThat(self.table.random.random(), Equals(expected.random()))


class QueryTest(VersionsCase):
    """Queries over services that all have a roll-out."""

    shards = ('s0', 's1', 's2', 's3')

    def test_one_part(self) -> None:
        """One part of a query tries a target."""
        self.move_to(RUNNING)
        query = RequestRun('q', self.route, self.table, 11, 10)
        list(query.start(10))
        trials = self.table.rollouts.trials
        sent = [trial.ledger.target_sent for trial in trials]
        self.assertThat(sent, Equals([1, 0, 0, 0]))


class StrandedTest(VersionsCase):
    """A service whose only searchers are of versions without an order."""

    def events(self, current: str) -> list[LogEvent]:
        """Return the events of a refused request about versions."""
        for upstream in self.table.upstreams_by_service['s0'].values():
            upstream.record.version = upstream.record.version or 'v1'
        versions = {'s0': current}
        list(self.table.rollouts.apply([], versions, 2, 0, is_first=False))
        run = RequestRun('q', self.route, self.table, 10, 1)
        return [
            command
            for command in run.start(1)
            if isinstance(command, LogEvent)
            and command.event is EVENT_VERSION_MISSING
        ]

    def test_missing(self) -> None:
        """An event says which version lacks, and which ones there are."""
        found = self.events('v9')
        self.assertThat(
            [event.fields for event in found],
            Equals(
                [
                    {
                        'request': 'q',
                        'service': 's0',
                        'current': 'v9',
                        'others': 'v1, v2, v3',
                    }
                ]
            ),
        )

    def test_present(self) -> None:
        """Nothing is said of a service that has its version."""
        self.assertThat(self.events('v2'), Equals([]))


class RelayTest(VersionsCase):
    """A relay that is asked for parts of all versions."""

    def sent(self) -> list[str]:
        """Return the versions that the relay sends to."""
        request = PartsRequest(
            5, 'id', b'', b'', [f's0-{name}' for name in VERSIONS], 2, 1, 0.05
        )
        request.sender = 'asker'
        call = RelayedCall(request, self.table, 10)
        return sorted(
            command.upstream.record.version
            for command in call.start(10)
            if isinstance(command, SendRelayedPart)
        )

    def test_held_back(self) -> None:
        """Parts for versions that may not be used are held back."""
        for state, versions in ALLOWED.items():
            self.move_to(state)
            self.assertThat(self.sent(), Equals(versions))

    def test_released(self) -> None:
        """A relay is busy with parts of others, and then sends no more."""
        self.move_to(RUNNING, SWITCHING)
        self.assertThat(self.busy(0.9), Equals([0, 1]))
        self.sent()
        self.assertThat(self.busy(), Equals([0]))
        for upstream in self.table.upstreams.values():
            upstream.in_flight = 0
        self.assertThat(self.busy(), Equals([]))
        self.assertThat(self.sent(), Equals(['v2']))

    def busy(self, now: float = 10) -> list[int]:
        """Return the roll-outs that this host is not done with."""
        list(prepare_report(self.table, now))
        return make_report('h', self.table, now).busy


class WireTest(TestCase):
    """Fields that hosts of the release before do not know."""

    def test_left_out(self) -> None:
        """They are left out while there is nothing to tell."""
        update = DeploymentUpdate(1, 1, b'', {})
        short = len(encode(update))
        update.rollouts = [RolloutRecord('s', 'v2', 7, 30, 0)]
        update.versions = {'s': 'v1'}
        self.assertThat(len(encode(update)) > short, Equals(True))
        decoded = decode(encode(update))
        self.assertThat(decoded.rollouts, Equals(update.rollouts))
        self.assertThat(decoded.versions, Equals(update.versions))
