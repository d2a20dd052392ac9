"""What searchers and callers saw, and what must hold of it."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict

RECORD_BYTES = 16
ATTEMPTS = 2
# Bounds of the platform's pages: time within which a drain holds, time after
# which a host counts as in touch, and the budget for repeats.
DRAIN_SECONDS = 4.0
TOUCH_SECONDS = 6.0
RETRY_RATIO = 0.2
RETRY_SLACK = 60
RETRY_WINDOW = 10.0
# Requests that may break the bound of attempts, as the pages say.
MAX_SPREAD = 3


class Arrival:
    """A request that reached a searcher; it ran unless the id was wrong."""

    def __init__(self, at, service, zone, searcher_id, request_id) -> None:
        self.at = at
        self.service = service
        self.zone = zone
        self.searcher_id = searcher_id
        self.request_id = request_id


class Ledger:
    """All that was seen; ``breaches`` are the promises that were broken."""

    def __init__(self) -> None:
        self.breaches: list[str] = []
        self.arrivals: list[Arrival] = []
        self.runs: Counter[str] = Counter()
        self.requests: list[tuple[float, tuple[str, ...]]] = []
        # Records by the signature under which they were sent.
        self.records: dict[str, tuple[str, str, list[bytes]]] = {}
        self.statuses: Counter[int] = Counter()
        self.promised: list[str] = []
        # Ends of disturbances of hosts, and drains as (from, to).
        self.disturbed: list[tuple[float, float]] = []
        self.left: dict[str, float] = {}
        self.drains: list[tuple[str, float, float]] = []
        self.accepted = 0

    def breach(self, text: str) -> None:
        """Note a broken promise."""
        self.breaches.append(text)

    def is_calm(self, start: float, end: float) -> bool:
        """Return whether all hosts were in touch from start to end."""
        return all(
            to < start - TOUCH_SECONDS or begin > end
            for begin, to in self.disturbed
        )

    def note_arrival(self, arrival: Arrival) -> None:
        """Take a request that a searcher begins to work on."""
        self.arrivals.append(arrival)
        self.runs[arrival.request_id] += 1

    def check_merged(self, request_id, sets, fields, body, top, share) -> None:
        """Check a success of a query over shards.

        ``sets`` are the sets of shards that a document may name.
        """
        signatures = [
            one.strip()
            for one in fields.get('X-Snipejunction-Part-Stamps', '').split(',')
        ]
        missing = int(fields.get('X-Snipejunction-Missing-Parts', '0'))
        services = []
        records = []
        for signature in signatures:
            service, asked, found = self.records.get(signature, ('', '', []))
            if asked != request_id:
                self.breach(f'{request_id}: {signature} is no part of it')
            services.append(service)
            records.extend(found)
        if len(set(services)) != len(services):
            self.breach(f'{request_id}: two parts of one shard: {services}')
        fits = [
            one
            for one in sets
            if set(services) <= set(one)
            and len(services) + missing == len(one)
            and len(services) >= share * len(one)
        ]
        if not fits:
            self.breach(f'{request_id}: {services} and {missing} missing')
        if body != b''.join(heapq.nlargest(top, records)):
            self.breach(f'{request_id}: not the greatest records of its parts')

    def check_end(self) -> None:
        """Check what only the whole run shows."""
        self._check_once()
        self._check_spread()
        self._check_budget()
        self._check_left()
        self._check_drains()

    def _check_once(self) -> None:
        for request_id, runs in self.runs.items():
            if request_id.startswith('once') and runs > 1:
                self.breach(f'{request_id} ran {runs} times')
        for request_id in self.promised:
            if self.runs[request_id]:
                self.breach(f'{request_id} ran, though it was refused')

    def _check_spread(self) -> None:
        searchers = defaultdict(set)
        for one in self.arrivals:
            searchers[one.request_id, one.service].add(one.searcher_id)
        wide = [key for key, ids in searchers.items() if len(ids) > ATTEMPTS]
        if len(wide) > MAX_SPREAD:
            self.breach(f'more searchers than attempts: {wide}')

    def _check_budget(self) -> None:
        first = set()
        repeats = defaultdict(list)
        for one in self.arrivals:
            key = (one.request_id, one.service)
            if key in first:
                repeats[one.service].append(one.at)
            first.add(key)
        asked = defaultdict(list)
        for at, services in self.requests:
            for service in services:
                asked[service].append(at)
        for service, times in repeats.items():
            for end in times:
                count = _within(times, end, RETRY_WINDOW)
                requests = max(
                    _within(asked[service], end - lag, RETRY_WINDOW)
                    for lag in (0, RETRY_WINDOW / 2, RETRY_WINDOW)
                )
                if count > RETRY_RATIO * requests + RETRY_SLACK:
                    self.breach(f'{count} repeats at {service}, {requests}')
                    return

    def _check_left(self) -> None:
        for one in self.arrivals:
            since = self.left.get(one.searcher_id)
            if since is None or one.at < since + DRAIN_SECONDS:
                continue
            if self.is_calm(since, one.at):
                self.breach(
                    f'{one.request_id} at {one.searcher_id}, '
                    f'{one.at - since:.1f} s after it left',
                )

    def _check_drains(self) -> None:
        for zone, start, end in self.drains:
            late = [
                one
                for one in self.arrivals
                if one.zone == zone and start + DRAIN_SECONDS < one.at < end
            ]
            for one in late:
                if self.is_calm(start, one.at):
                    self.breach(f'{one.request_id} in drained {zone}')


def _within(times: list[float], end: float, window: float) -> int:
    return sum(end - window <= at <= end for at in times)
