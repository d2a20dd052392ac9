"""Entry hosts and searchers of two versions on virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import MappingProxyType
from typing import TypeAlias

from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.parts import Attempt
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.updates import apply_deployment
from snipejunction.components.gateway.versions import (
    make_report,
    prepare_report,
)
from snipejunction.components.rollouts.const import SWITCHING
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutReport,
)
from tests.components.gateway.fleet import Fleet
from tests.components.gateway.stage import make_route

BOUNDS = ExposureBounds(0.1, 50, 5)
CURRENT = 'v1'
TARGET = 'v2'
ORDER_NUMBER = 7
ROUTES = ('r', 'r2')
LATE_SECONDS = 8
# Whether an answer fails and the factor on its time, from its route, the time
# since the order and a random number.
Behaviour: TypeAlias = Callable[[str, float, float], tuple[bool, float]]
BEHAVIOURS: MappingProxyType[str, Behaviour] = MappingProxyType(
    {
        'good': lambda route, age, chance: (False, 1),
        'failing': lambda route, age, chance: (chance < 0.4, 1),
        'dead': lambda route, age, chance: (True, 1),
        'slow': lambda route, age, chance: (False, 6),
        'late': lambda route, age, chance: (age > LATE_SECONDS, 1),
        'one route': lambda route, age, chance: (route == 'r2', 1),
    }
)


def version_of(searcher_id: str) -> str:
    """Return the version of a searcher, from its id such as ``s-v1a``."""
    return searcher_id.partition('-')[2][:2]


class RolloutFleet(Fleet):
    """Hosts that get the records of a roll-out unless they are ``cut``.

    ``sends`` holds the time, the host and the version of each attempt;
    ``done_at`` is when hosts first reported nothing at replaced searchers.
    """

    def __init__(self, host_count: int, behaviour: str, seed: int) -> None:
        """Create hosts without an order; the target behaves as named."""
        self.behaviour = BEHAVIOURS[behaviour]
        self.sends: list[tuple[float, str, str]] = []
        self.cut: set[str] = set()
        self.done_at: dict[str, float] = {}
        self._update = DeploymentUpdate(1, 1, b'', {}, [], {'s': CURRENT})
        self._choices = Random(seed)
        self._routes = [make_route(name) for name in ROUTES]
        super().__init__(host_count, ('v1a', 'v1b', 'v2a', 'v2b'), seed)

    def make_host(self, name: str) -> GatewayTable:
        """Return the tables of a host that gets the deployment first."""
        table = super().make_host(name)
        table.rollouts.exposure = BOUNDS
        for upstream in table.upstreams.values():
            upstream.record.version = version_of(upstream.searcher_id)
        table.index = 0
        self._apply(table)
        return table

    def add_host(self, name: str) -> None:
        """Add a host that all others learn of."""
        self.names.append(name)
        self.tables[name] = self.make_host(name)
        for table in self.tables.values():
            self.send_hosts(table, self.names)

    def restart_host(self, name: str) -> None:
        """Let a host forget everything."""
        self.tables[name] = self.make_host(name)

    def move_to(self, state: int) -> None:
        """Tell all hosts that are not cut off of a state of the roll-out."""
        record = RolloutRecord('s', TARGET, ORDER_NUMBER, 30, 0, state)
        self._update = DeploymentUpdate(
            self._update.index + 1, 1, b'', {}, [record], {'s': CURRENT}
        )
        for name in self.names:
            if name not in self.cut:
                self._apply(self.tables[name])
                self.report(name)

    def run(self, seconds: int, rate: float = 150) -> None:
        """Send requests; each host reports twice a second."""
        for _ in range(seconds * 2):
            self.send_requests(rate, 0.5)
            for name in self.names:
                self.report(name)

    def report(self, name: str) -> RolloutReport:
        """Return the report of a host."""
        table = self.tables[name]
        self.events += prepare_report(table, self.now)
        report = make_report(name, table, self.now)
        is_switching = any(
            trial.record.state == SWITCHING
            for trial in table.rollouts.open_trials
        )
        if is_switching and not report.busy:
            self.done_at.setdefault(name, self.now)
        return report

    def count(self, version: str, since: float = 0) -> int:
        """Return the attempts at a version from a time on."""
        return sum(
            sent_to == version and when >= since
            for when, _, sent_to in self.sends
        )

    def largest_excess(self, since: float) -> float:
        """Return by how much the target ever exceeded its share."""
        target = 0
        largest = 0.0
        for total, (_, _, version) in enumerate(self._since(since), start=1):
            target += version == TARGET
            largest = max(largest, target - total * BOUNDS.share)
        return largest

    def route_of(self, number: int):
        """Return one of two routes by turns."""
        return self._routes[number % len(self._routes)]

    def answer(self, request, attempt: Attempt) -> tuple[Outcome, float]:
        """Let a searcher answer as its version does."""
        version = version_of(attempt.upstream.searcher_id)
        self.sends.append((self.now, request.host, version))
        is_failure, factor = False, 1.0
        if version == TARGET:
            is_failure, factor = self.behaviour(
                request.route.name, self.now, self._choices.random()
            )
        reply = Reply(500 if is_failure else 200, [], b'', 'sig')
        seconds = self._choices.uniform(0.008, 0.012) * factor
        return Outcome(OutcomeKind.ANSWERED, reply), seconds

    def _since(self, since: float) -> list[tuple[float, str, str]]:
        return [sending for sending in self.sends if sending[0] >= since]

    def _apply(self, table: GatewayTable) -> None:
        self.events += apply_deployment(self._update, table, bytes, self.now)
