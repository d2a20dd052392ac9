"""Several entry hosts and searchers of one service on virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from snipejunction.commands import Command, EventKind, LogEvent
from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import Attempt, SendAttempt
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.stated_limits import (
    ReportLimits,
    apply_limit_update,
    pop_unreported,
)
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.updates import update_hosts
from snipejunction.components.registration.messages import LimitUpdate
from snipejunction.timers import NEVER
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    report_searchers,
)

MIN_ANSWER_SECONDS = 0.005
MAX_ANSWER_SECONDS = 0.1
FAILURE_SHARE = 0.5
VARIATION = (0.8, 1.0)
REPEAT_RATIO = 0.2
REPEAT_SLACK = 60
REPEAT_WINDOW_SECONDS = 10
HOSTS_PER_CENTRE = 3
# From one host through a control host to another.
REPORT_SECONDS = 0.02


class Fleet:
    """Entry hosts that send callers' requests to searchers.

    ``limits`` maps searchers to the rates that they state; some
    answers of those in ``failing`` are failures without a rate. ``arrivals``
    holds when each searcher received requests; ``reports`` counts the
    limits that hosts told others. The limits of ``varying`` searchers differ
    from answer to answer. ``most_open`` is the most requests
    that each searcher had at once, and ``repeats`` holds when each service
    got others than the first of a request.
    """

    def __init__(
        self,
        host_count: int,
        searchers: Iterable[str],
        seed: int,
        shards: tuple[str, ...] = (),
        cold: float = 0,
        max_connections: int = 300,
    ) -> None:
        """Create hosts and searchers, cold for ``cold`` seconds."""
        self._max_connections = max_connections
        self.now = 0.0
        self._cold = cold
        self._departed: set[str] = set()
        self.limits: dict[str, float] = {}
        self.failing: set[str] = set()
        self.varying: set[str] = set()
        self.arrivals: dict[str, list[float]] = {}
        self.repeats: dict[str, list[float]] = {}
        self.open_requests: Counter[str] = Counter()
        self.most_open: Counter[str] = Counter()
        self.max_answer_seconds = MAX_ANSWER_SECONDS
        self.reports = 0
        self.statuses: Counter[int] = Counter()
        self.refusal_seconds: list[float] = []
        self.events: list[LogEvent] = []
        self.route = make_route(shards=shards) if shards else make_route()
        self._services = shards or ('s',)
        self._searchers = tuple(searchers)
        self._random = Random(seed)
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self.names = [f'h{number}' for number in range(host_count)]
        self.tables = {name: self.make_host(name) for name in self.names}

    def make_host(self, name: str) -> GatewayTable:
        """Return the tables of a host that has just started."""
        limits = RepeatLimits(REPEAT_RATIO, REPEAT_SLACK, REPEAT_WINDOW_SECONDS)
        random = Random(self._random.random())
        table = GatewayTable(
            name, 'near', {'near': 'one'}, limits, random, self.now
        )
        install_document(
            table, self.route, max_connections=self._max_connections
        )
        for service in self._services:
            for searcher in self._searchers:
                record = make_record(
                    f'{service}-{searcher}', service, cold=self._cold
                )
                report_searchers(table, record)
        self.send_hosts(table, self.names)
        return table

    def depart(self, name: str) -> None:
        """Name a host to the others no longer; it goes on and does not know."""
        self._departed.add(name)
        others = [other for other in self.names if other not in self._departed]
        for other in others:
            self.send_hosts(self.tables[other], others)

    def send_requests(self, rate: float, seconds: float) -> None:
        """Send requests at a rate for all hosts together, then run them."""
        end = self.now + seconds
        when = self.now
        while when < end:
            when += self._random.expovariate(rate)
            self._schedule(when, self._send_request)
        for second in range(int(seconds)):
            self._schedule_reports(end - second)
        self._run_until(end)

    def most_repeats(self, window: float) -> int:
        """Return the most repeats that a service got in any window."""
        return max(
            (
                sum(start <= when < start + window for when in times)
                for times in self.repeats.values()
                for start in times
            ),
            default=0,
        )

    def most_arrivals(
        self, searcher: str, since: float, window: float = 4.0
    ) -> int:
        """Return the most requests that a searcher got in any window."""
        times = [
            when for when in self.arrivals.get(searcher, ()) if when >= since
        ]
        return max(
            (
                sum(start <= when < start + window for when in times)
                for start in times
            ),
            default=0,
        )

    def deliver(self, request: _FleetRequest, attempt: Attempt) -> None:
        """Let a searcher receive an attempt and answer it."""
        searcher = attempt.upstream.searcher_id
        self.arrivals.setdefault(searcher, []).append(self.now)
        if len(attempt.part.attempts) > 1:
            service = attempt.upstream.record.service
            self.repeats.setdefault(service, []).append(self.now)
        self.open_requests[searcher] += 1
        self.most_open[searcher] = max(
            self.most_open[searcher], self.open_requests[searcher]
        )
        outcome, seconds = self.answer(request, attempt)
        self._schedule(
            self.now + seconds, partial(self._finish, request, attempt, outcome)
        )

    def answer(
        self, request: _FleetRequest, attempt: Attempt
    ) -> tuple[Outcome, float]:
        """Return how an attempt ends, and after how many seconds."""
        outcome = self._answer(attempt.upstream.searcher_id)
        seconds = self._random.uniform(
            MIN_ANSWER_SECONDS, self.max_answer_seconds
        )
        return outcome, seconds

    def route_of(self, number: int) -> Route:
        """Return the route of a request."""
        return self.route

    def count_events(self, kind: EventKind) -> int:
        """Return how many events of a kind all hosts wrote."""
        return sum(event.event is kind for event in self.events)

    def schedule_advance(self, when: float, action: Callable[[], None]) -> None:
        """Run the next step of a request."""
        self._schedule(when, action)

    def deliver_limits(self, command: ReportLimits) -> None:
        """Let all hosts receive a report of limits."""
        self.reports += len(command.limits)
        update = LimitUpdate(command.limits)
        update.sender = 'c1'
        self._schedule(
            self.now + REPORT_SECONDS, lambda: self._apply_limits(update)
        )

    def send_hosts(self, table: GatewayTable, names: list[str]) -> None:
        """Tell a host which entry hosts are advertised."""
        records = [
            EntryRecord(
                name, name, f'd{int(name[1:]) // HOSTS_PER_CENTRE}', 'one'
            )
            for name in names
        ]
        hosts = HostsUpdate({'c1': 'near'}, records, False)
        hosts.sender = 'c1'
        update_hosts(hosts, table, self.now)

    def _finish(
        self, request: _FleetRequest, attempt: Attempt, outcome: Outcome
    ) -> None:
        self.open_requests[attempt.upstream.searcher_id] -= 1
        request.finish_attempt(attempt, outcome)

    def _answer(self, searcher: str) -> Outcome:
        limit = self.limits.get(searcher, NEVER)
        if searcher in self.varying:
            limit *= self._random.uniform(*VARIATION)
        status = 200
        if searcher in self.failing and self._random.random() < FAILURE_SHARE:
            status = 500
            limit = NEVER
        return Outcome(
            OutcomeKind.ANSWERED,
            Reply(status, [], b'', f'sig-{searcher}'),
            stated_limit=limit,
        )

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def _schedule_reports(self, when: float) -> None:
        """Let the hosts send their reports within half a second."""
        for name in self.names:
            delay = self._random.uniform(0, 0.5)
            self._schedule(when - delay, partial(self._send_report, name))

    def _send_report(self, name: str) -> None:
        limits = pop_unreported(self.tables[name], self.now)
        self.deliver_limits(ReportLimits(limits))

    def _apply_limits(self, update: LimitUpdate) -> None:
        for table in self.tables.values():
            self.events += apply_limit_update(update, table, self.now)

    def _run_until(self, end: float) -> None:
        while self._heap and self._heap[0][0] <= end:
            when, _, action = heapq.heappop(self._heap)
            self.now = when
            action()
        self.now = end

    def _send_request(self) -> None:
        table = self.tables[self._random.choice(self.names)]
        number = next(self._numbers)
        route = self.route_of(number)
        _FleetRequest(self, f'r{number}', route, table).start()


class _FleetRequest:
    """A request of a caller to one of the hosts."""

    def __init__(
        self, fleet: Fleet, name: str, route: Route, table: GatewayTable
    ) -> None:
        self._fleet = fleet
        self._started = fleet.now
        self.host = table.name
        self.route = route
        self._run = RequestRun(name, route, table, fleet.now + 1, fleet.now)
        self._is_counted = False

    def start(self) -> None:
        self._execute(self._run.start(self._fleet.now))

    def finish_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        self._execute(
            self._run.handle_outcome(attempt, outcome, self._fleet.now)
        )

    def _advance(self) -> None:
        self._execute(self._run.advance(self._fleet.now))

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendAttempt):
                self._fleet.deliver(self, command.attempt)
            elif isinstance(command, ReportLimits):
                self._fleet.deliver_limits(command)
            elif isinstance(command, LogEvent):
                self._fleet.events.append(command)
        answer = self._run.answer
        if answer is None:
            due = max(self._run.next_due, self._fleet.now + 0.001)
            self._fleet.schedule_advance(due, self._advance)
        elif not self._is_counted:
            self._is_counted = True
            self._fleet.statuses[answer.status] += 1
            if answer.status == 503:
                elapsed = self._fleet.now - self._started
                self._fleet.refusal_seconds.append(elapsed)
