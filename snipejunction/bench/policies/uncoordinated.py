"""Baseline policies: each host dispatches on its own, without owners."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Final, TypeAlias

from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.bench.policies.policy import SearchCallback
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
    SearchResponse,
    SearchRequest,
)
from snipejunction.components.root.systems.finish import coverage_of
from snipejunction.components.root.systems.merge import best_hits, parse_hits
from snipejunction.const import CODE_DEADLINE, SEARCHER_READY
from snipejunction.verdict import may_have_run_refusal

# Interval at which hosts poll for new, drained and leaving searchers.
POLL_INTERVAL_SECONDS: Final = 1.0
ANSWER_MARGIN_SECONDS: Final = 0.005
SEED_BITS: Final = 64

# Host and upstream of a pool of idle connections.
PoolKey: TypeAlias = tuple[str, str]


class UncoordinatedPolicy:
    """Sends the sub-requests of a host without limits across hosts."""

    __slots__ = (
        '_announcements',
        '_idle_connections',
        '_ids',
        '_outstanding',
        '_polled_at',
        'random',
        'rules',
        'run',
    )

    def __init__(self, run: VirtualRun, rules: ReplicaRules) -> None:
        """Create a policy with its own random generator."""
        self.run: Final = run
        self.rules: Final = rules
        self.random: Final = Random(run.random.getrandbits(SEED_BITS))
        self._ids = itertools.count(1)
        self._idle_connections: dict[PoolKey, list[int]] = {}
        self._outstanding: dict[str, Counter[str]] = {}
        self._announcements: dict[str, list[Announcement]] = {}
        self._polled_at = -POLL_INTERVAL_SECONDS

    @property
    def name(self) -> str:
        """Return the name of the policy in reports."""
        return self.rules.name

    def search(
        self,
        host: VirtualHost,
        request: SearchRequest,
        on_answer: SearchCallback,
    ) -> None:
        """Serve a search on a host; call ``on_answer`` once."""
        self._poll(host)
        _Search(self, host, request, on_answer).begin()

    def announcements_of(self, service: str) -> list[Announcement]:
        """Return the announcements of a service at the last poll."""
        return self._announcements.get(service, [])

    def outstanding(self, host: str) -> Counter[str]:
        """Return the number of open sub-requests of a host by searcher."""
        return self._outstanding.setdefault(host, Counter())

    def next_id(self) -> int:
        """Return a new id for a dispatch or a connection."""
        return next(self._ids)

    def acquire_connection(self, host: VirtualHost, upstream: str) -> int:
        """Return the id of an idle connection, or open one without a limit."""
        idle = self._idle_connections.setdefault((host.name, upstream), [])
        if idle:
            return idle.pop()
        connection_id = -self.next_id()
        self.run.connections[host.name, connection_id] = upstream
        searcher = self.run.upstream(upstream)
        if searcher is not None:
            searcher.connect(host.name, connection_id)
        return connection_id

    def release_connection(
        self,
        host: str,
        upstream: str,
        connection_id: int,
    ) -> None:
        """Return a connection to the pool of its host and upstream."""
        self._idle_connections[host, upstream].append(connection_id)

    def _poll(self, host: VirtualHost) -> None:
        if self.run.now < self._polled_at + POLL_INTERVAL_SECONDS:
            return
        self._polled_at = self.run.now
        self._announcements = {}
        settings = host.core.node.settings
        for upstream in self.run.upstreams.values():
            announcement = upstream.announcement()
            is_out = settings.is_out(upstream.data_centre)
            if announcement.state == SEARCHER_READY and not is_out:
                self._announcements.setdefault(upstream.service, []).append(
                    announcement,
                )


class _Search:
    """A search that a host without owners serves."""

    __slots__ = (
        '_answer_at',
        '_covered_shards',
        '_hits',
        '_host',
        '_is_finished',
        '_layout',
        '_needed_subs',
        '_on_answer',
        '_policy',
        '_request',
        'extra_subs',
    )

    def __init__(
        self,
        policy: UncoordinatedPolicy,
        host: VirtualHost,
        request: SearchRequest,
        on_answer: SearchCallback,
    ) -> None:
        self._policy = policy
        self._host = host
        self._request = request
        self._on_answer = on_answer
        self._layout: SnapshotLayout | None = None
        self._covered_shards: set[int] = set()
        self._hits: dict[str, dict[str, object]] = {}
        self._is_finished = False
        self._needed_subs = 0
        self.extra_subs = 0
        remaining = request.deadline - ANSWER_MARGIN_SECONDS
        self._answer_at = policy.run.now + remaining

    def begin(self) -> None:
        """Send all sub-requests and schedule the answer at the deadline."""
        announcements = self._policy.announcements_of(self._request.service)
        layouts = build_layouts(announcements)
        self._layout = max(
            layouts,
            key=lambda layout: layout.document_share(layout.held_shards),
            default=None,
        )
        self._policy.run.schedule.at(self._answer_at, self._finish)
        if self._layout is None:
            return
        missing_shards = set(self._layout.held_shards)
        while missing_shards:
            shards = self.send_sub_request(missing_shards, set(), 0)
            self._needed_subs += 1
            missing_shards.difference_update(shards)

    def send_sub_request(
        self,
        missing_shards: Iterable[int],
        avoided: set[str],
        attempt: int,
    ) -> tuple[int, ...]:
        """Send a sub-request for the lowest missing shard.

        It also covers the other missing shards of the chosen searcher.
        Returns the shards of the sub-request.
        """
        layout = self._layout
        first = min(missing_shards)
        if layout is None:
            return (first,)
        holders = [
            name for name, shards in layout.holders.items() if first in shards
        ]
        untried = [name for name in holders if name not in avoided]
        searcher = self._policy.rules.choose(
            untried or holders,
            self._policy.outstanding(self._host.name),
            self._policy.random,
        )
        shards = tuple(
            [
                shard
                for shard in layout.holders[searcher]
                if shard in missing_shards
            ],
        )
        _SubRequest(self, searcher, shards, attempt).send()
        return shards

    def resend(self, sub: _SubRequest) -> None:
        """Send the uncovered shards of a sub-request to other searchers."""
        remaining = set(sub.shards) - self._covered_shards
        while remaining and not self._is_finished:
            self.extra_subs += 1
            sent = self.send_sub_request(
                remaining,
                {sub.searcher},
                sub.attempt + 1,
            )
            remaining.difference_update(sent)

    def make_dispatch(
        self,
        sub: _SubRequest,
        connection_id: int,
    ) -> DispatchRequest:
        """Create the dispatch request of a sub-request."""
        if self._layout is None:
            raise ValueError('search has no snapshot layout to dispatch with')
        return DispatchRequest(
            self._policy.next_id(),
            connection_id,
            self._request.service,
            self._request.caller,
            self._layout.snapshot,
            list(sub.shards),
            '',
            self._answer_at - self._policy.run.now,
            self._request.body,
            '',
        )

    @property
    def policy(self) -> UncoordinatedPolicy:
        """Return the policy that serves the search."""
        return self._policy

    @property
    def host(self) -> VirtualHost:
        """Return the host that serves the search."""
        return self._host

    @property
    def is_finished(self) -> bool:
        """Return whether the search was answered."""
        return self._is_finished

    def handle_result(self, sub: _SubRequest, ended: DispatchEnded) -> None:
        """Merge the result of a sub-request, or retry it if it failed."""
        if self._is_finished or self._layout is None:
            return
        if ended.outcome != ENDED_OK:
            if sub.attempt < self._policy.rules.retries:
                self.resend(sub)
            return
        if ended.snapshot != self._layout.snapshot:
            return
        self._covered_shards.update(ended.shards)
        for hit in parse_hits(ended.payload):
            self._hits[hit['id']] = hit
        if len(self._covered_shards) == len(self._layout.sizes):
            self._finish()

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        if not self._host.is_alive:
            return
        call_id = self._request.call_id
        if self._layout is None or not self._covered_shards:
            refusal = may_have_run_refusal(
                CODE_DEADLINE, 'no searcher answered'
            )
            self._on_answer(SearchResponse(call_id, None, refusal))
            return
        answer = SearchAnswer(
            self._layout.snapshot,
            coverage_of(self._layout, self._covered_shards),
            best_hits(self._hits.values(), self._request.top),
            self._needed_subs,
            self.extra_subs,
        )
        self._on_answer(SearchResponse(call_id, answer, None))


class _SubRequest:
    """A sub-request of a host without owners."""

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
        """Send the request; schedule its timeout and its hedge, if any."""
        policy = self._search.policy
        host = self._search.host
        policy.outstanding(host.name)[self.searcher] += 1
        self._connection_id = policy.acquire_connection(host, self.searcher)
        dispatch = self._search.make_dispatch(self, self._connection_id)
        self._delay = policy.run.delay_to(host, self.searcher)
        schedule = policy.run.schedule
        schedule.after(self._delay, lambda: self._deliver(dispatch))
        schedule.after(dispatch.timeout, self._end_request)
        if policy.rules.hedge_seconds and not self.attempt:
            schedule.after(policy.rules.hedge_seconds, self._hedge)

    def _hedge(self) -> None:
        if not self._is_ended and not self._search.is_finished:
            self._search.resend(self)

    def _deliver(self, dispatch: DispatchRequest) -> None:
        host = self._search.host
        if self._connection_id in host.silent_connections:
            return
        upstream: FakeUpstream | None
        upstream = self._search.policy.run.upstream(self.searcher)
        if upstream is not None:
            upstream.dispatch(host.name, dispatch, self._return_result)

    def _return_result(self, ended: DispatchEnded) -> None:
        schedule = self._search.policy.run.schedule
        schedule.after(self._delay, lambda: self._handle_result(ended))

    def _handle_result(self, ended: DispatchEnded) -> None:
        if self._is_ended:
            return
        if self._connection_id in self._search.host.silent_connections:
            return
        self._end_request()
        self._search.handle_result(self, ended)

    def _end_request(self) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        policy = self._search.policy
        host = self._search.host.name
        policy.outstanding(host)[self.searcher] -= 1
        policy.release_connection(host, self.searcher, self._connection_id)
