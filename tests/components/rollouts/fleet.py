"""Entry hosts and searchers of two versions on virtual time."""

from __future__ import annotations

from random import Random

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
TARGETS = ('s-v2a', 's-v2b')
ROUTES = ('r', 'r2')
BEHAVIOURS = ('good', 'failing', 'dead', 'slow', 'late', 'one route')
FAILURE_SHARE = 0.4
SLOW_FACTOR = 6
LATE_SECONDS = 8


class RolloutFleet(Fleet):
    """Hosts that get the records of a roll-out unless they are ``cut``.

    ``sends`` holds the time, the host and the version of each attempt;
    ``done_at`` is when hosts first reported nothing at replaced searchers.
    """

    def __init__(self, host_count: int, behaviour: str, seed: int) -> None:
        """Create hosts without an order; the target behaves as named."""
        self._behaviour = behaviour
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
        for searcher_id, upstream in table.upstreams.items():
            upstream.record.version = searcher_id[2:4]
        table.index = 0
        self._apply(table)
        return table

    def add_host(self, name: str) -> None:
        """Add a host that all others learn of, or start one again."""
        if name not in self.names:
            self.names.append(name)
        self.tables[name] = self.make_host(name)
        for table in self.tables.values():
            self.send_hosts(table, self.names)

    def move_to(self, state: int) -> None:
        """Tell all hosts that are not cut off of a state of the roll-out."""
        record = RolloutRecord('s', TARGET, 7, 30, 0, state)
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
        trial = table.rollouts.find_trial('s')
        if trial and trial.record.state == SWITCHING and not report.busy:
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
        sent = [version for when, _, version in self.sends if when >= since]
        target = 0
        largest = 0.0
        for total, version in enumerate(sent, start=1):
            target += version == TARGET
            largest = max(largest, target - total * BOUNDS.share)
        return largest

    def route_of(self, number: int):
        """Return one of two routes by turns."""
        return self._routes[number % len(self._routes)]

    def answer(self, request, attempt: Attempt) -> tuple[Outcome, float]:
        """Let a searcher answer as its version does."""
        version = attempt.upstream.record.version
        self.sends.append((self.now, request.host, version))
        is_target = version == TARGET
        is_failure = is_target and self._fails(request.route.name)
        reply = Reply(500 if is_failure else 200, [], b'', 'sig')
        seconds = self._choices.uniform(0.008, 0.012)
        if is_target and self._behaviour == 'slow':
            seconds *= SLOW_FACTOR
        return Outcome(OutcomeKind.ANSWERED, reply), seconds

    def _fails(self, route: str) -> bool:
        return {
            'failing': self._choices.random() < FAILURE_SHARE,
            'dead': True,
            'late': self.now > LATE_SECONDS,
            'one route': route == 'r2',
        }.get(self._behaviour, False)

    def _apply(self, table: GatewayTable) -> None:
        self.events += apply_deployment(self._update, table, bytes, self.now)
