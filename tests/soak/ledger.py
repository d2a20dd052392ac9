"""Checks the requests of a soak test against the documented invariants."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict

RECORD_BYTES = 16
ATTEMPTS = 2
# Bounds from the platform's documentation: time within which a drain takes
# effect, time until a disrupted host counts as recovered, and the budget for
# retries.
DRAIN_SECONDS = 4.0
SETTLE_SECONDS = 6.0
RETRY_RATIO = 0.2
RETRY_SLACK = 60
RETRY_WINDOW_SECONDS = 10.0
# Requests in a window above a stated limit that the documentation allows, and
# the time until all hosts know a limit.
LIMIT_FACTOR = 1.5
LIMIT_MARGIN = 5
LIMIT_LEARN_SECONDS = 4.0
# Number of requests that may reach more than ATTEMPTS searchers, per the
# documentation.
MAX_EXCESS_REQUESTS = 3


class Arrival:
    """A request that a searcher with a matching id received and ran."""

    def __init__(
        self, at, service, zone, searcher_id, request_id, version
    ) -> None:
        self.at = at
        self.service = service
        self.zone = zone
        self.searcher_id = searcher_id
        self.request_id = request_id
        self.version = version


class InvariantChecker:
    """Records requests and collects violations of the invariants."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.arrivals: list[Arrival] = []
        self.runs: Counter[str] = Counter()
        self.requests: list[tuple[float, tuple[str, ...]]] = []
        # Service, request id and records of each searcher's answer, by the
        # signature of that answer.
        self.records: dict[str, tuple[str, str, list[bytes]]] = {}
        self.statuses: Counter[int] = Counter()
        self.refused_ids: list[str] = []
        # Start and end of each disruption of hosts; drains as (zone, start,
        # end). An ongoing disruption ends at infinity.
        self.disruptions: list[tuple[float, float]] = []
        # Time at which each leaving searcher reported draining, by its id.
        self.left: dict[str, float] = {}
        self.drains: list[tuple[str, float, float]] = []
        self.accepted = 0

    def add_violation(self, text: str) -> None:
        """Record the violation of an invariant."""
        self.violations.append(text)

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Return whether no host was disrupted from start to end."""
        return all(
            end_time < start - SETTLE_SECONDS or begin > end
            for begin, end_time in self.disruptions
        )

    def record_arrival(self, arrival: Arrival) -> None:
        """Record a request that a searcher starts to run."""
        self.arrivals.append(arrival)
        self.runs[arrival.request_id] += 1

    def record_excess(self, searcher_id: str, now: float) -> None:
        """Record a request above the limit that a searcher states.

        Restarted, frozen and cut off hosts may not know of the limit.
        """
        if self.is_undisturbed(now - LIMIT_LEARN_SECONDS, now):
            self.add_violation(f'{searcher_id} got more than its limit')

    def check_gathered_answer(
        self, request_id, shard_sets, headers, body, max_records, min_share
    ) -> None:
        """Check an answer that was merged from the answers of several shards.

        Each shard is a service of its own. ``shard_sets`` are the sets of
        shards that were configured at the start or the end of the query.
        """
        signatures = [
            stamp.strip()
            for stamp in headers.get('X-Snipejunction-Part-Stamps', '').split(
                ','
            )
        ]
        missing = int(headers.get('X-Snipejunction-Missing-Parts', '0'))
        services = []
        records = []
        for signature in signatures:
            service, asked, found = self.records.get(signature, ('', '', []))
            if asked != request_id:
                self.add_violation(
                    f'{request_id}: no searcher signed {signature} for it'
                )
            services.append(service)
            records.extend(found)
        if len(set(services)) != len(services):
            self.add_violation(
                f'{request_id}: two answers of one shard: {services}'
            )
        matching_sets = [
            shard_set
            for shard_set in shard_sets
            if set(services) <= set(shard_set)
            and len(services) + missing == len(shard_set)
            and len(services) >= min_share * len(shard_set)
        ]
        if not matching_sets:
            self.add_violation(
                f'{request_id}: no shard set has {services} '
                f'and {missing} missing shards'
            )
        if body != b''.join(heapq.nlargest(max_records, records)):
            self.add_violation(
                f'{request_id}: not the greatest records of its shards'
            )

    def check_final(self) -> None:
        """Check the invariants that concern the whole run."""
        self._check_at_most_once()
        self._check_attempts()
        self._check_retry_budget()
        self._check_left_searchers()
        self._check_drains()

    def _check_at_most_once(self) -> None:
        # Requests that must not be repeated have ids that start with 'once'.
        for request_id, runs in self.runs.items():
            if request_id.startswith('once') and runs > 1:
                self.add_violation(f'{request_id} ran {runs} times')
        for request_id in self.refused_ids:
            if self.runs[request_id]:
                self.add_violation(f'{request_id} ran, though it was refused')

    def _check_attempts(self) -> None:
        searchers = defaultdict(set)
        for arrival in self.arrivals:
            searchers[arrival.request_id, arrival.service].add(
                arrival.searcher_id
            )
        exceeding = [
            key for key, ids in searchers.items() if len(ids) > ATTEMPTS
        ]
        if len(exceeding) > MAX_EXCESS_REQUESTS:
            self.add_violation(f'sent to too many searchers: {exceeding}')

    def _check_retry_budget(self) -> None:
        seen = set()
        retries = defaultdict(list)
        for arrival in self.arrivals:
            key = (arrival.request_id, arrival.service)
            if key in seen:
                retries[arrival.service].append(arrival.at)
            seen.add(key)
        asked = defaultdict(list)
        for at, services in self.requests:
            for service in services:
                asked[service].append(at)
        for service, times in retries.items():
            for end in times:
                count = _count_within(times, end, RETRY_WINDOW_SECONDS)
                requests = max(
                    _count_within(
                        asked[service], end - delay, RETRY_WINDOW_SECONDS
                    )
                    for delay in (
                        0,
                        RETRY_WINDOW_SECONDS / 2,
                        RETRY_WINDOW_SECONDS,
                    )
                )
                if count > RETRY_RATIO * requests + RETRY_SLACK:
                    self.add_violation(
                        f'{count} retries at {service} for {requests} requests'
                    )
                    return

    def _check_left_searchers(self) -> None:
        for arrival in self.arrivals:
            since = self.left.get(arrival.searcher_id)
            if since is None or arrival.at < since + DRAIN_SECONDS:
                continue
            # What was acknowledged holds again once the hosts have recovered.
            if self.is_undisturbed(arrival.at, arrival.at):
                self.add_violation(
                    f'{arrival.request_id} at {arrival.searcher_id}, '
                    f'{arrival.at - since:.1f} s after it reported draining',
                )

    def _check_drains(self) -> None:
        for zone, start, end in self.drains:
            late = [
                arrival
                for arrival in self.arrivals
                if arrival.zone == zone
                and start + DRAIN_SECONDS < arrival.at < end
            ]
            for arrival in late:
                if self.is_undisturbed(start, arrival.at):
                    self.add_violation(
                        f'{arrival.request_id} in drained {zone}'
                    )


def _count_within(times: list[float], end: float, window: float) -> int:
    return sum(end - window <= at <= end for at in times)
