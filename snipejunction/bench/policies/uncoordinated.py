"""Baselines: each host dispatches on its own, without owners."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Final, TypeAlias

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.bench.policies.policy import OnAnswered
from snipejunction.bench.policies.replicas import ReplicaRules
from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.owner.const import ENDED_OK
from snipejunction.components.owner.messages import Announcement
from snipejunction.components.owner.upstream_messages import (
    DispatchEnded,
    DispatchRequest,
)
from snipejunction.components.root.index import (
    SnapshotLayout,
    build_layouts,
)
from snipejunction.components.root.messages import (
    SearchAnswer,
    SearchRequest,
    SearchResponse,
)
from snipejunction.components.root.systems.finish import coverage_of
from snipejunction.components.root.systems.merge import best_hits, parse_hits
from snipejunction.const import CODE_DEADLINE, SEARCHER_READY
from snipejunction.verdict import may_have_run_refusal

# Hosts learn of searchers, drains and leaving by a poll of this period.
POLL_SECONDS: Final = 1.0
ANSWER_MARGIN_SECONDS: Final = 0.005
SEED_BITS: Final = 64

Place: TypeAlias = tuple[str, str]


class UncoordinatedPolicy:
    """Serves searches from each host's own view of the searchers."""

    __slots__ = (
        '_ids',
        '_idle',
        '_known',
        '_outstanding',
        '_polled_at',
        'random',
        'rules',
        'run',
    )

    def __init__(self, run: VirtualRun, rules: ReplicaRules) -> None:
        """Create the policy of a run."""
        self.run: Final = run
        self.rules: Final = rules
        self.random: Final = Random(run.random.getrandbits(SEED_BITS))
        self._ids = itertools.count(1)
        self._idle: dict[Place, list[int]] = {}
        self._outstanding: dict[str, Counter[str]] = {}
        self._known: dict[str, list[Announcement]] = {}
        self._polled_at = -POLL_SECONDS

    @property
    def name(self) -> str:
        """Return the name in reports."""
        return self.rules.name

    def search(
        self,
        host: VirtualHost,
        asked: SearchRequest,
        on_answered: OnAnswered,
    ) -> None:
        """Serve a search."""
        self._poll(host)
        _Search(self, host, asked, on_answered).begin()

    def announced(self, service: str) -> list[Announcement]:
        """Return the searchers of a service as of the last poll."""
        return self._known.get(service, [])

    def outstanding(self, host: str) -> Counter[str]:
        """Return the open sub-requests of a host by searcher."""
        return self._outstanding.setdefault(host, Counter())

    def next_id(self) -> int:
        """Return a number for a dispatch or a connection."""
        return next(self._ids)

    def take_connection(self, host: VirtualHost, upstream: str) -> int:
        """Return an idle connection, or a new one without any bound."""
        idle = self._idle.setdefault((host.name, upstream), [])
        if idle:
            return idle.pop()
        connection_id = -self.next_id()
        self.run.connections[host.name, connection_id] = upstream
        searcher = self.run.upstream(upstream)
        if searcher is not None:
            searcher.connect(host.name, connection_id)
        return connection_id

    def give_back(self, host: str, upstream: str, connection_id: int) -> None:
        """Keep a connection for the next sub-request."""
        self._idle[host, upstream].append(connection_id)

    def _poll(self, host: VirtualHost) -> None:
        if self.run.now < self._polled_at + POLL_SECONDS:
            return
        self._polled_at = self.run.now
        self._known = {}
        settings = host.core.node.settings
        for upstream in self.run.upstreams.values():
            facts = upstream.announcement()
            is_out = settings.is_out(upstream.data_centre)
            if facts.state == SEARCHER_READY and not is_out:
                self._known.setdefault(upstream.service, []).append(facts)


class _Search:
    """One search at a host without owners."""

    __slots__ = (
        '_asked',
        '_covered',
        '_due',
        '_hits',
        '_host',
        '_is_over',
        '_layout',
        '_needed',
        '_on_answered',
        '_policy',
        'extra',
    )

    def __init__(
        self,
        policy: UncoordinatedPolicy,
        host: VirtualHost,
        asked: SearchRequest,
        on_answered: OnAnswered,
    ) -> None:
        self._policy = policy
        self._host = host
        self._asked = asked
        self._on_answered = on_answered
        self._layout: SnapshotLayout | None = None
        self._covered: set[int] = set()
        self._hits: dict[str, dict[str, object]] = {}
        self._is_over = False
        self._needed = 0
        self.extra = 0
        left = asked.deadline - ANSWER_MARGIN_SECONDS
        self._due = policy.run.now + left

    def begin(self) -> None:
        """Send all sub-requests; answer at the deadline at the latest."""
        announced = self._policy.announced(self._asked.service)
        layouts = build_layouts(announced)
        self._layout = max(
            layouts,
            key=lambda layout: layout.document_share(layout.held_shards),
            default=None,
        )
        self._policy.run.schedule.at(self._due, self._finish)
        if self._layout is None:
            return
        wanted = set(self._layout.held_shards)
        while wanted:
            shards = self.send_one(wanted, set(), 0)
            self._needed += 1
            wanted.difference_update(shards)

    def send_one(
        self,
        wanted: Iterable[int],
        avoided: set[str],
        attempt: int,
    ) -> tuple[int, ...]:
        """Send the sub-request that the first wanted shard needs."""
        layout = self._layout
        first = min(wanted)
        if layout is None:
            return (first,)
        holders = [
            name for name, shards in layout.holders.items() if first in shards
        ]
        fresh = [name for name in holders if name not in avoided]
        searcher = self._policy.rules.choose(
            fresh or holders,
            self._policy.outstanding(self._host.name),
            self._policy.random,
        )
        shards = tuple(
            [one for one in layout.holders[searcher] if one in wanted],
        )
        _Sub(self, searcher, shards, attempt).send()
        return shards

    def send_again(self, sub: _Sub) -> None:
        """Send the shards of a sub-request elsewhere."""
        left = set(sub.shards) - self._covered
        while left and not self._is_over:
            self.extra += 1
            sent = self.send_one(left, {sub.searcher}, sub.attempt + 1)
            left.difference_update(sent)

    def make_dispatch(self, sub: _Sub, connection_id: int) -> DispatchRequest:
        """Return the request for a searcher."""
        if self._layout is None:
            raise ValueError('a search without a snapshot sends nothing')
        return DispatchRequest(
            self._policy.next_id(),
            connection_id,
            self._asked.service,
            self._asked.caller,
            self._layout.snapshot,
            list(sub.shards),
            '',
            self._due - self._policy.run.now,
            self._asked.body,
            '',
        )

    @property
    def policy(self) -> UncoordinatedPolicy:
        """Return the policy that the search runs under."""
        return self._policy

    @property
    def host(self) -> VirtualHost:
        """Return the host that serves the search."""
        return self._host

    @property
    def is_over(self) -> bool:
        """Return whether the search was answered."""
        return self._is_over

    def take(self, sub: _Sub, ended: DispatchEnded) -> None:
        """Take the end of a sub-request."""
        if self._is_over or self._layout is None:
            return
        if ended.outcome != ENDED_OK:
            if sub.attempt < self._policy.rules.retries:
                self.send_again(sub)
            return
        if ended.snapshot != self._layout.snapshot:
            return
        self._covered.update(ended.shards)
        for hit in parse_hits(ended.payload):
            self._hits[hit['id']] = hit
        if len(self._covered) == len(self._layout.sizes):
            self._finish()

    def _finish(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        if not self._host.is_alive:
            return
        call_id = self._asked.call_id
        if self._layout is None or not self._covered:
            refusal = may_have_run_refusal(
                CODE_DEADLINE, 'no searcher answered'
            )
            self._on_answered(SearchResponse(call_id, None, refusal))
            return
        answer = SearchAnswer(
            self._layout.snapshot,
            coverage_of(self._layout, self._covered),
            best_hits(self._hits.values(), self._asked.top),
            self._needed,
            self.extra,
        )
        self._on_answered(SearchResponse(call_id, answer, None))


class _Sub:
    """One sub-request of a host without owners."""

    __slots__ = (
        '_connection_id',
        '_delay',
        '_is_ended',
        '_search',
        'attempt',
        'searcher',
        'shards',
    )

    def __init__(
        self,
        search: _Search,
        searcher: str,
        shards: tuple[int, ...],
        attempt: int,
    ) -> None:
        self._search = search
        self.searcher = searcher
        self.shards = shards
        self.attempt = attempt
        self._is_ended = False
        self._connection_id = 0
        self._delay = 0.0

    def send(self) -> None:
        """Send the request; hedge it once if the rules say so."""
        policy = self._search.policy
        host = self._search.host
        policy.outstanding(host.name)[self.searcher] += 1
        self._connection_id = policy.take_connection(host, self.searcher)
        dispatch = self._search.make_dispatch(self, self._connection_id)
        self._delay = policy.run.delay_to(host, self.searcher)
        schedule = policy.run.schedule
        schedule.after(self._delay, lambda: self._arrive(dispatch))
        schedule.after(dispatch.timeout, self._release)
        if policy.rules.hedge_seconds and not self.attempt:
            schedule.after(policy.rules.hedge_seconds, self._hedge)

    def _hedge(self) -> None:
        if not self._is_ended and not self._search.is_over:
            self._search.send_again(self)

    def _arrive(self, dispatch: DispatchRequest) -> None:
        host = self._search.host
        if self._connection_id in host.silent_connections:
            return
        upstream: FakeUpstream | None
        upstream = self._search.policy.run.upstream(self.searcher)
        if upstream is not None:
            upstream.dispatch(host.name, dispatch, self._go_back)

    def _go_back(self, ended: DispatchEnded) -> None:
        schedule = self._search.policy.run.schedule
        schedule.after(self._delay, lambda: self._end(ended))

    def _end(self, ended: DispatchEnded) -> None:
        if self._is_ended:
            return
        if self._connection_id in self._search.host.silent_connections:
            return
        self._release()
        self._search.take(self, ended)

    def _release(self) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        policy = self._search.policy
        host = self._search.host.name
        policy.outstanding(host)[self.searcher] -= 1
        policy.give_back(host, self.searcher, self._connection_id)
