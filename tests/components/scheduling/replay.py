"""Replay of load on hosts and searchers with slots, on virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from types import MappingProxyType

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.context import RequestContext
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import Attempt, SendAttempt
from snipejunction.components.gateway.replies import Outcome, OutcomeKind, Reply
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.registration.const import GONE
from snipejunction.components.scheduling.const import MAX_TRIED
from snipejunction.components.scheduling.run import ScheduledRun
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
    set_entries,
)

SHARDS = tuple(f's{number}' for number in range(8))
SEARCHERS = ('a', 'b', 'c')
SLOTS = 3
PLACES = 2
FULL = make_route(
    'full', shards=SHARDS, priority=1, timeout=1.5, objective=0.3, min_share=0.9
)
URGENT = make_route(
    'urgent', shards=SHARDS, timeout=1.0, objective=0.12, min_share=0.8
)
LOOKUP = make_route('lookup', priority=2, timeout=3.0, objective=0.8)
WORK = MappingProxyType({'full': 0.03, 'urgent': 0.01, 'lookup': 0.15})


class Searcher:
    """A searcher with slots and a few places to wait; others are shed."""

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        self._running = 0
        self._places: deque[Callable[[], None]] = deque()
        self.factor = 1.0

    def receive(self, seconds: float, finish: Callable[[str], None]) -> None:
        run = partial(self._run, seconds, finish)
        if self._running < SLOTS:
            run()
        elif len(self._places) < PLACES:
            self._places.append(run)
        else:
            self._replay.after(0.001, partial(finish, 'shed'))

    def _run(self, seconds: float, finish: Callable[[str], None]) -> None:
        self._running += 1
        self._replay.work += seconds * self.factor
        self._replay.after(seconds * self.factor, partial(self._end, finish))

    def _end(self, finish: Callable[[str], None]) -> None:
        self._running -= 1
        if self._places:
            self._places.popleft()()
        finish('done')


class Replay:
    """Hosts, searchers and callers.

    ``in_time``, ``late``, ``refused`` and ``asked`` count requests by route,
    ``served`` and ``wanted`` by customer. ``idle_holds`` counts those that
    were held for over a quarter of the objective and never sent. ``work`` is
    the time of searchers.
    """

    def __init__(
        self,
        seed: int,
        *,
        is_scheduled: bool,
        hosts: int = 3,
        max_connections: int = 12,
    ) -> None:
        self.now = 10.0
        self.work = 0.0
        self._max_connections = max_connections
        self.in_time: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.wanted: Counter[str] = Counter()
        self.idle_holds = 0
        self.tries: dict[RequestRun, _Try] = {}
        self.events: list[LogEvent] = []
        self.random = Random(seed)
        self.retry_at_once = False
        self._run_type = ScheduledRun if is_scheduled else RequestRun
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f'10.0.0.{number}:1' for number in range(1, hosts + 1)]
        self.tables = [self._make_table(name, names) for name in names]
        self.searchers = {
            searcher_id: Searcher(self) for searcher_id in self._searcher_ids()
        }

    @property
    def score(self) -> float:
        """Return the share served in time, weighed by priority."""
        weights = {'urgent': 4, 'full': 2, 'lookup': 1}
        earned = sum(
            (self.in_time[name] + self.late[name] * 0.1) * weight
            for name, weight in weights.items()
        )
        owed = sum(
            self.asked[name] * weight for name, weight in weights.items()
        )
        return earned / owed

    @property
    def work_per_answer(self) -> float:
        """Return the time of searchers for each answer in time."""
        return self.work / max(1, self.in_time.total())

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        entry = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._heap, entry)

    def load(
        self,
        route: Route,
        rate: float,
        since: float,
        until: float,
        customer: str = '',
    ) -> None:
        """Schedule requests of a route, seconds from the start."""
        when = since
        while when < until:
            when += self.random.expovariate(rate)
            context = RequestContext(customer, route.priority, None)
            self.after(when, partial(_Caller(self, route, context).start))

    def slow_down(
        self, names: Iterable[str], factor: float, since: float, until: float
    ) -> None:
        """Let searchers be slower for a while."""
        for name in names:
            searcher = self.searchers[name]
            self.after(since, partial(setattr, searcher, 'factor', factor))
            self.after(until, partial(setattr, searcher, 'factor', 1.0))

    def lose(self, names: Iterable[str]) -> None:
        """Let searchers be gone, as all hosts know."""
        for name in names:
            for table in self.tables:
                table.upstreams[name].record.state = GONE

    def play(self) -> None:
        """Run until nothing is left to do."""
        while self._heap:
            when, _, action = heapq.heappop(self._heap)
            self.now = when
            action()

    def make_run(
        self, route: Route, table: GatewayTable, end: float, context
    ) -> RequestRun:
        """Return the control of one try."""
        name = f'q{next(self._numbers)}'
        return self._run_type(name, route, table, end, self.now, context)

    def _searcher_ids(self) -> list[str]:
        return [
            f'{service}-{name}'
            for service in (*SHARDS, 's')
            for name in SEARCHERS
        ]

    def _make_table(self, name: str, names: list[str]) -> GatewayTable:
        table = make_table(name)
        table.random = Random(self.random.random())
        set_entries(table, names)
        install_document(
            table,
            FULL,
            URGENT,
            LOOKUP,
            max_connections=self._max_connections,
        )
        for searcher_id in self._searcher_ids():
            service = searcher_id.partition('-')[0]
            report_searchers(table, make_record(searcher_id, service))
        return table


class _Caller:
    """A caller that repeats a refused request once, or at once and often."""

    def __init__(
        self, replay: Replay, route: Route, context: RequestContext
    ) -> None:
        self._replay = replay
        self._route = route
        self._context = context
        self._tries = 0
        self._started = 0.0

    def start(self) -> None:
        replay = self._replay
        if not self._tries:
            self._started = replay.now
            replay.asked[self._route.name] += 1
            replay.wanted[self._context.customer] += 1
        self._tries += 1
        end = self._started + self._route.timeout
        table = replay.random.choice(replay.tables)
        run = replay.make_run(self._route, table, end, self._context)
        _Try(replay, run, table, self._route, self.handle_answer).start()

    def handle_answer(self, status: int, retry_after: float) -> None:
        replay = self._replay
        elapsed = replay.now - self._started
        if status == 200:
            in_time = elapsed <= self._route.objective
            (replay.in_time if in_time else replay.late)[self._route.name] += 1
            replay.served[self._context.customer] += 1
            return
        most = 5 if replay.retry_at_once else 2
        if self._tries < most and elapsed < self._route.timeout / 2:
            wait = 0.002 if replay.retry_at_once else max(retry_after, 0.002)
            replay.after(wait, self.start)
        else:
            replay.refused[self._route.name] += 1


class _Try:
    """One request of a caller at one host."""

    def __init__(
        self,
        replay: Replay,
        run: RequestRun,
        table: GatewayTable,
        route: Route,
        on_answer: Callable[[int, float], None],
    ) -> None:
        self._replay = replay
        self._run = run
        self._table = table
        self._route = route
        self._on_answer = on_answer
        self._started = replay.now
        self._was_sent = False
        self._is_done = False
        self._due = 0.0

    def start(self) -> None:
        self._replay.tries[self._run] = self
        self._execute(self._run.start(self._replay.now))

    def advance(self) -> None:
        self._execute(self._run.advance(self._replay.now))

    def _advance_at(self, due: float) -> None:
        if due == self._due and not self._is_done:
            self.advance()

    def _finish(self, attempt: Attempt, status: str) -> None:
        outcome = Outcome(OutcomeKind.SHED)
        if status == 'done':
            reply = Reply(200, [], b'', attempt.upstream.searcher_id)
            outcome = Outcome(OutcomeKind.ANSWERED, reply)
        now = self._replay.now
        self._execute(self._run.handle_outcome(attempt, outcome, now))
        runs = list(self._table.scheduling.queue.ordered(now))
        for run in runs[:MAX_TRIED]:
            self._replay.tries[run].advance()

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, SendAttempt):
                self._was_sent = True
                searcher = command.attempt.upstream.searcher_id
                seconds = WORK[self._route.name]
                self._replay.searchers[searcher].receive(
                    seconds, partial(self._finish, command.attempt)
                )
            elif isinstance(command, LogEvent):
                self._replay.events.append(command)
        if not self._is_done:
            self._follow_up()

    def _follow_up(self) -> None:
        now = self._replay.now
        answer = self._run.answer
        if answer is None:
            due = max(self._run.next_due, now + 0.001)
            if due != self._due:
                self._due = due
                self._replay.after(due - now, partial(self._advance_at, due))
            return
        self._is_done = True
        held = now - self._started
        if not self._was_sent and held > self._route.objective / 4 + 0.001:
            self._replay.idle_holds += 1
        self._on_answer(answer.status, answer.retry_after)
