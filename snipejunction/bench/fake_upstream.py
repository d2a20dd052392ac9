"""A fake searcher behind the interface that owners dispatch to.

It runs on virtual time, keeps its own count of slots, connections and what
it bears while cold, and counts every breach of them.
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

ServiceTime: TypeAlias = Callable[[Random], float]
Answer: TypeAlias = Callable[[DispatchEnded], None]
OnReset: TypeAlias = Callable[[str, int], None]

# A cold searcher is this many times slower than a warm one at its first
# request; the factor falls to one while it warms up.
COLD_SLOWNESS: Final = 4
# Requests that a searcher serves before it bears one more at a time.
WARM_STEP_REQUESTS: Final = 20
CANCEL_SECONDS: Final = 0.001


class _Running:
    """One request at the searcher."""

    __slots__ = ('answer', 'dispatch', 'is_over', 'source')

    def __init__(
        self,
        source: str,
        dispatch: DispatchRequest,
        answer: Answer,
    ) -> None:
        self.source = source
        self.dispatch = dispatch
        self.answer = answer
        self.is_over = False


class FakeUpstream:
    """One searcher of a service.

    ``violations`` counts breaches by kind: slots, connections, cold, leaving
    and doubled runs.
    """

    __slots__ = (
        '_boot',
        '_connections',
        '_documents',
        '_held',
        '_random',
        '_recorder',
        '_running',
        '_schedule',
        '_sequence',
        '_served',
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
        self._held: dict[SnapshotId, tuple[int, ...]] = {}
        self._documents: dict[SnapshotId, tuple[int, ...]] = {}
        self._connections: set[tuple[str, int]] = set()
        self._running: dict[tuple[str, int], _Running] = {}
        self._boot = 1
        self._sequence = 0
        self._served = slots * WARM_STEP_REQUESTS
        self._state = SEARCHER_READY

    @property
    def boot_id(self) -> str:
        """Return the name of this start of the searcher."""
        return f'{self.name}#{self._boot}'

    @property
    def running(self) -> int:
        """Return the number of requests that run now."""
        return len(self._running)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def capacity(self) -> int:
        """Return the number of requests that it bears at once now."""
        grown = self.cold_capacity + self._served // WARM_STEP_REQUESTS
        return min(self.slots, grown)

    @property
    def is_cold(self) -> bool:
        """Return whether it bears less than its slots."""
        return self.capacity < self.slots

    def hold(
        self,
        snapshot: SnapshotId,
        shards: Sequence[int],
        documents: Sequence[int],
    ) -> None:
        """Hold shards of a snapshot; ``documents`` sizes its whole layout."""
        self._held[snapshot] = tuple(shards)
        self._documents[snapshot] = tuple(documents)

    def drop(self, snapshot: SnapshotId) -> None:
        """Hold a snapshot no longer."""
        self._held.pop(snapshot, None)

    def leave(self) -> None:
        """Announce from now on that it leaves."""
        self._state = SEARCHER_LEAVING

    def turn_cold(self) -> None:
        """Restart without warning: connections and requests are lost."""
        self._boot += 1
        self._sequence = 0
        self._served = 0
        for running in list(self._running.values()):
            self._end(running, ENDED_LOST)
        for source, connection_id in sorted(self._connections):
            self.on_reset(source, connection_id)
        self._connections.clear()

    def announcement(self) -> Announcement:
        """Return its next announcement."""
        self._sequence += 1
        snapshots = tuple(
            SnapshotEntry(snapshot, shards, self._documents[snapshot])
            for snapshot, shards in sorted(self._held.items())
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
        """Count a connection from a host from the start of its opening."""
        self._connections.add((source, connection_id))
        if len(self._connections) > self.connections:
            self._breach('connections', source)

    def disconnect(self, source: str, connection_id: int) -> None:
        """Forget a connection."""
        self._connections.discard((source, connection_id))

    def dispatch(
        self,
        source: str,
        dispatch: DispatchRequest,
        answer: Answer,
    ) -> None:
        """Take a request; ``answer`` is called once, or never if silent."""
        if (source, dispatch.connection_id) not in self._connections:
            answer(DispatchEnded(dispatch.dispatch_id, ENDED_LOST))
            return
        running = _Running(source, dispatch, answer)
        refusal = self._refusal_of(dispatch)
        if refusal:
            answer(DispatchEnded(dispatch.dispatch_id, refusal))
            return
        self._running[source, dispatch.dispatch_id] = running
        self._count_run(running)
        self._check_limits(source)
        seconds = self.service_time(self._random) * self.slowness
        seconds *= self._cold_factor()
        if seconds > dispatch.timeout:
            seconds = dispatch.timeout
            outcome = ENDED_DEADLINE
        else:
            outcome = ENDED_OK
        self._schedule.after(seconds, lambda: self._end(running, outcome))

    def cancel(self, source: str, dispatch_id: int) -> None:
        """Stop a running request."""
        running = self._running.get((source, dispatch_id))
        if running is not None:
            self._schedule.after(
                CANCEL_SECONDS,
                lambda: self._end(running, ENDED_CANCELLED),
            )

    def forget_source(self, source: str) -> None:
        """Drop what a dead host had open here."""
        self._connections = {
            place for place in self._connections if place[0] != source
        }
        places = [place for place in self._running if place[0] == source]
        for place in places:
            self._running.pop(place).is_over = True

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
        if snapshot is not None and snapshot not in self._held:
            return ENDED_SNAPSHOT_NOT_HELD
        return ''

    def _count_run(self, running: _Running) -> None:
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
            self._breach('doubled', running.source)

    def _check_limits(self, source: str) -> None:
        if self.running > self.slots:
            self._breach('slots', source)
        elif self.running > self.capacity:
            self._breach('cold', source)
            for running in list(self._running.values()):
                self._end(running, ENDED_ERROR)

    def _breach(self, kind: str, source: str) -> None:
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

    def _cold_factor(self) -> float:
        steps = max(1, self.slots - self.cold_capacity) * WARM_STEP_REQUESTS
        left = max(0, 1 - self._served / steps)
        return 1 + (COLD_SLOWNESS - 1) * left

    def _end(self, running: _Running, outcome: str) -> None:
        if running.is_over:
            return
        running.is_over = True
        dispatch = running.dispatch
        self._running.pop((running.source, dispatch.dispatch_id), None)
        if outcome == ENDED_OK:
            self._served += 1
        if self.is_silent:
            return
        if outcome != ENDED_OK:
            running.answer(DispatchEnded(dispatch.dispatch_id, outcome))
            return
        running.answer(self._success(dispatch))

    def _success(self, dispatch: DispatchRequest) -> DispatchEnded:
        snapshot = dispatch.snapshot
        if snapshot is None:
            return DispatchEnded(
                dispatch.dispatch_id,
                ENDED_OK,
                json.dumps({'done': dispatch.request_id}).encode(),
                boot_id=self.boot_id,
            )
        held = self._held.get(snapshot, ())
        shards = tuple(one for one in dispatch.shards if one in held)
        return DispatchEnded(
            dispatch.dispatch_id,
            ENDED_OK,
            payload_of(self.service, snapshot, shards),
            snapshot,
            shards,
            self.boot_id,
        )


def _ignore_reset(_source: str, _connection_id: int) -> None:
    """Tell nobody of a reset connection."""
