"""A fake searcher behind the interface that owners dispatch to.

It runs on virtual time, keeps its own count of slots, connections and cold
capacity, and counts every violation of these limits.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, TypeAlias

from snipejunction.bench.fake_payloads import payload_of
from snipejunction.bench.recorder import Recorder
from snipejunction.bench.schedule import Schedule
from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_ERROR,
    ENDED_LEAVING,
    ENDED_LOST,
    ENDED_SNAPSHOT_NOT_HELD,
    ENDED_OK,
    ENDED_SHED,
)
from snipejunction.components.owner.messages import (
    Announcement,
    SnapshotEntry,
    SnapshotId,
)
from snipejunction.components.owner.upstream_messages import (
    DispatchEnded,
    DispatchRequest,
)
from snipejunction.const import SEARCHER_LEAVING, SEARCHER_READY
from snipejunction.standin.stated_rate import StatedRate

ServiceTime: TypeAlias = Callable[[Random], float]
OnResult: TypeAlias = Callable[[DispatchEnded], None]
OnReset: TypeAlias = Callable[[str, int], None]

# A cold searcher is this many times slower than a warm one at its first
# request; the factor falls to one while it warms up.
COLD_SLOWDOWN_FACTOR: Final = 4
# Requests served before the capacity of a cold searcher grows by one.
REQUESTS_PER_WARM_STEP: Final = 20
CANCEL_SECONDS: Final = 0.001
# The owner of a searcher may send one request more than the rate allows in a
# window: its bucket holds one token.
RATE_FACTOR: Final = 1
RATE_MARGIN: Final = 1


class _RunningRequest:
    """A request that runs on the searcher."""

    __slots__ = ('dispatch', 'is_over', 'on_result', 'source')

    def __init__(
        self,
        source: str,
        dispatch: DispatchRequest,
        on_result: OnResult,
    ) -> None:
        self.source = source
        self.dispatch = dispatch
        self.on_result = on_result
        self.is_over = False


class FakeUpstream:
    """A searcher of a service.

    ``violations`` counts by kind: slots, connections, cold, doubled and rate.
    ``stated_rate`` is the rate that its answers state.
    """

    __slots__ = (
        '_boot_number',
        '_connections',
        '_document_counts',
        '_held_shards',
        '_random',
        '_recorder',
        '_running',
        '_schedule',
        '_sequence',
        '_served_count',
        '_state',
        'cold_capacity',
        'connect_seconds',
        'connections',
        'data_centre',
        'ip',
        'is_shedding',
        'is_silent',
        'name',
        'on_reset',
        'port',
        'region',
        'runs',
        'service',
        'service_time',
        'slots',
        'stated_rate',
        'slowness',
        'violations',
    )

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        region: str,
        schedule: Schedule,
        recorder: Recorder,
        random: Random,
        service_time: ServiceTime,
        slots: int = 3,
        connections: int = 30,
        cold_capacity: int = 1,
        connect_seconds: float = 0.006,
        port: int = 1,
    ) -> None:
        """Create a warm searcher without shards."""
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.region = region
        self.service_time = service_time
        self.slots = slots
        self.connections = connections
        self.cold_capacity = cold_capacity
        self.connect_seconds = connect_seconds
        self.ip = '127.0.0.1'
        self.port = port
        self.slowness = 1.0
        self.is_silent = False
        self.on_reset: OnReset = _ignore_reset
        self.is_shedding = False
        self.violations: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self._schedule = schedule
        self._recorder = recorder
        self._random = random
        self._held_shards: dict[SnapshotId, tuple[int, ...]] = {}
        self._document_counts: dict[SnapshotId, tuple[int, ...]] = {}
        self._connections: set[tuple[str, int]] = set()
        self._running: dict[tuple[str, int], _RunningRequest] = {}
        self.stated_rate = StatedRate(RATE_FACTOR, RATE_MARGIN)
        self._boot_number = 1
        self._sequence = 0
        self._served_count = slots * REQUESTS_PER_WARM_STEP
        self._state = SEARCHER_READY

    @property
    def boot_id(self) -> str:
        """Return the id of the current start of the searcher."""
        return f'{self.name}#{self._boot_number}'

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def capacity(self) -> int:
        """Return the number of requests that may run concurrently now."""
        warm_capacity = (
            self.cold_capacity + self._served_count // REQUESTS_PER_WARM_STEP
        )
        return min(self.slots, warm_capacity)

    @property
    def is_cold(self) -> bool:
        """Return whether the capacity is below the number of slots."""
        return self.capacity < self.slots

    def hold(
        self,
        snapshot: SnapshotId,
        shards: Sequence[int],
        documents: Sequence[int],
    ) -> None:
        """Load shards of a snapshot.

        ``documents`` holds the document count of every shard of the layout.
        """
        self._held_shards[snapshot] = tuple(shards)
        self._document_counts[snapshot] = tuple(documents)

    def drop(self, snapshot: SnapshotId) -> None:
        """Unload a snapshot."""
        self._held_shards.pop(snapshot, None)

    def leave(self) -> None:
        """Set the announced state to leaving."""
        self._state = SEARCHER_LEAVING

    def turn_cold(self) -> None:
        """Restart cold; connections and running requests are lost."""
        self._boot_number += 1
        self._sequence = 0
        self._served_count = 0
        for running in list(self._running.values()):
            self._end(running, ENDED_LOST)
        for source, connection_id in sorted(self._connections):
            self.on_reset(source, connection_id)
        self._connections.clear()

    def announcement(self) -> Announcement:
        """Create the next announcement."""
        self._sequence += 1
        snapshots = tuple(
            SnapshotEntry(snapshot, shards, self._document_counts[snapshot])
            for snapshot, shards in sorted(self._held_shards.items())
        )
        return Announcement(
            self.name,
            self.service,
            self.data_centre,
            self.ip,
            self.port,
            self.boot_id,
            self._sequence,
            snapshots,
            self.slots,
            self.connections,
            self.cold_capacity,
            self._state,
        )

    def connect(self, source: str, connection_id: int) -> None:
        """Count a connection as soon as a host starts to open it."""
        self._connections.add((source, connection_id))
        if len(self._connections) > self.connections:
            self._record_violation('connections', source)

    def disconnect(self, source: str, connection_id: int) -> None:
        """Remove a closed connection."""
        self._connections.discard((source, connection_id))

    def dispatch(
        self,
        source: str,
        dispatch: DispatchRequest,
        on_result: OnResult,
    ) -> None:
        """Run a request; call ``on_result`` once, or never if silent."""
        if (source, dispatch.connection_id) not in self._connections:
            on_result(DispatchEnded(dispatch.dispatch_id, ENDED_LOST))
            return
        if not self.stated_rate.count_arrival(self._schedule.now):
            self._record_violation('rate', source)
        running = _RunningRequest(source, dispatch, on_result)
        refusal = self._refusal_of(dispatch)
        if refusal:
            self._answer(running, DispatchEnded(dispatch.dispatch_id, refusal))
            return
        self._running[source, dispatch.dispatch_id] = running
        self._count_run(running)
        self._check_limits(source)
        seconds = self.service_time(self._random) * self.slowness
        seconds *= self._cold_slowdown()
        if seconds > dispatch.timeout:
            seconds = dispatch.timeout
            outcome = ENDED_DEADLINE
        else:
            outcome = ENDED_OK
        self._schedule.after(seconds, lambda: self._end(running, outcome))

    def cancel(self, source: str, dispatch_id: int) -> None:
        """Cancel a running request after a delay."""
        running = self._running.get((source, dispatch_id))
        if running is not None:
            self._schedule.after(
                CANCEL_SECONDS,
                lambda: self._end(running, ENDED_CANCELLED),
            )

    def drop_source(self, source: str) -> None:
        """Drop the connections and requests of a dead host."""
        self._connections = {
            key for key in self._connections if key[0] != source
        }
        keys = [key for key in self._running if key[0] == source]
        for key in keys:
            self._running.pop(key).is_over = True

    def _refusal_of(self, dispatch: DispatchRequest) -> str:
        if self.is_shedding:
            return ENDED_SHED
        if self._state == SEARCHER_LEAVING:
            self._recorder.record(
                self._schedule.now,
                'work_while_leaving',
                searcher=self.name,
            )
            return ENDED_LEAVING
        snapshot = dispatch.snapshot
        if snapshot is not None and snapshot not in self._held_shards:
            return ENDED_SNAPSHOT_NOT_HELD
        return ''

    def _count_run(self, running: _RunningRequest) -> None:
        dispatch = running.dispatch
        self._recorder.record(
            self._schedule.now,
            'upstream_run',
            searcher=self.name,
            data_centre=self.data_centre,
            source=running.source,
            request_id=dispatch.request_id,
        )
        if not dispatch.request_id:
            return
        self.runs[dispatch.request_id] += 1
        if self.runs[dispatch.request_id] > 1:
            self._record_violation('doubled', running.source)

    def _check_limits(self, source: str) -> None:
        if self.running > self.slots:
            self._record_violation('slots', source)
        elif self.running > self.capacity:
            self._record_violation('cold', source)
            for running in list(self._running.values()):
                self._end(running, ENDED_ERROR)

    def _answer(self, running: _RunningRequest, ended: DispatchEnded) -> None:
        """Send an answer, which states the limit."""
        ended.stated_limit = self.stated_rate.rate
        self.stated_rate.count_answer(self._schedule.now)
        running.on_result(ended)

    def _record_violation(self, kind: str, source: str) -> None:
        self.violations[kind] += 1
        self._recorder.record(
            self._schedule.now,
            'violation',
            breach=kind,
            searcher=self.name,
            source=source,
            running=self.running,
            capacity=self.capacity,
        )

    def _cold_slowdown(self) -> float:
        steps = max(1, self.slots - self.cold_capacity) * REQUESTS_PER_WARM_STEP
        cold_share = max(0, 1 - self._served_count / steps)
        return 1 + (COLD_SLOWDOWN_FACTOR - 1) * cold_share

    def _end(self, running: _RunningRequest, outcome: str) -> None:
        if running.is_over:
            return
        running.is_over = True
        dispatch = running.dispatch
        self._running.pop((running.source, dispatch.dispatch_id), None)
        if outcome == ENDED_OK:
            self._served_count += 1
        if self.is_silent:
            return
        if outcome != ENDED_OK:
            running.on_result(DispatchEnded(dispatch.dispatch_id, outcome))
            return
        self._answer(running, self._make_success(dispatch))

    def _make_success(self, dispatch: DispatchRequest) -> DispatchEnded:
        snapshot = dispatch.snapshot
        if snapshot is None:
            return DispatchEnded(
                dispatch.dispatch_id,
                ENDED_OK,
                json.dumps({'done': dispatch.request_id}).encode(),
                boot_id=self.boot_id,
            )
        held = self._held_shards.get(snapshot, ())
        shards = tuple(shard for shard in dispatch.shards if shard in held)
        return DispatchEnded(
            dispatch.dispatch_id,
            ENDED_OK,
            payload_of(self.service, snapshot, shards),
            snapshot,
            shards,
            self.boot_id,
        )


def _ignore_reset(_source: str, _connection_id: int) -> None:
    """Ignore a reset connection."""
