"""State of the roll-outs at a control host."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from copy import copy
from typing import Any, Final

from snipejunction.components.rollouts.const import (
    COMPLETED,
    IN_PROGRESS,
    MAX_REPORTS,
    NEXT_STATES,
    REPEAT_MS,
    SWITCHING,
)
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutReport,
    RolloutStartEntry,
    RolloutStateEntry,
    RouteEvidence,
)
from snipejunction.helpers.wire import decode, encode
from snipejunction.timers import NEVER

_MILLISECONDS: Final = 1000


class RolloutState:
    """The replicated state: last roll-out and current version by service."""

    __slots__ = ('records', 'versions')

    def __init__(self) -> None:
        """Create a state without services."""
        self.records: dict[str, RolloutRecord] = {}
        self.versions: dict[str, str] = {}

    @property
    def in_progress(self) -> list[RolloutRecord]:
        """Return the roll-outs that have not ended."""
        return [
            record
            for record in self.records.values()
            if record.state in IN_PROGRESS
        ]

    def find_conflict(self, entry: RolloutStartEntry) -> str:
        """Return why an order cannot start now, empty if it can."""
        record = self.records.get(entry.service)
        if record is None or record.state not in IN_PROGRESS:
            return ''
        if record.target == entry.target:
            return ''
        return f'a roll-out to {record.target} is in progress'

    def start(
        self, entry: RolloutStartEntry, index: int
    ) -> RolloutRecord | None:
        """Apply an order; return its record, None if it changes nothing."""
        if self.find_conflict(entry) or self.is_repeated(entry):
            return None
        record = RolloutRecord(
            entry.service,
            entry.target,
            index,
            entry.duration,
            entry.ordered_ms,
        )
        if self.versions.get(entry.service) == entry.target:
            record.state = COMPLETED
            record.reason = 'the service has this version'
        self.records[entry.service] = record
        return record

    def move(self, entry: RolloutStateEntry) -> RolloutRecord | None:
        """Apply a decision; return its record, None if it changes nothing."""
        record = self.records.get(entry.service)
        if record is None or record.number != entry.number:
            return None
        if entry.state not in NEXT_STATES[record.state]:
            return None
        # Updates that were sent keep the record of their time.
        record = copy(record)
        record.state = entry.state
        record.reason = entry.reason
        self.records[entry.service] = record
        if record.state == COMPLETED:
            self.versions[record.service] = record.target
        return record

    def pin(self, versions: dict[str, str]) -> dict[str, str]:
        """Set the versions of services without one; return these."""
        pinned = {
            service: version
            for service, version in versions.items()
            if service not in self.versions
        }
        self.versions.update(pinned)
        return pinned

    def pack(self) -> list[Any]:
        """Return the state in a form that msgpack can hold."""
        frames = [encode(record) for record in self.records.values()]
        return [frames, self.versions]

    def is_repeated(self, entry: RolloutStartEntry) -> bool:
        """Return whether an order was applied already, not long ago."""
        record = self.records.get(entry.service)
        if record is None or record.target != entry.target:
            return False
        if record.state in IN_PROGRESS:
            return True
        age_ms = abs(entry.ordered_ms - record.ordered_ms)
        return age_ms < record.duration * _MILLISECONDS + REPEAT_MS


def unpack_rollouts(packed: list[Any]) -> RolloutState:
    """Return the state that ``RolloutState.pack`` packed."""
    frames, versions = packed
    state = RolloutState()
    state.versions = versions
    for frame in frames:
        record = decode(frame)
        state.records[record.service] = record
    return state


class Progress:
    """When this host learned of the steps of a roll-out.

    Times are in monotonic seconds; ``switched_index`` is the log index of the
    switch, 0 before.
    """

    __slots__ = ('number', 'started_at', 'switched_at', 'switched_index')

    def __init__(self, number: int, started_at: float) -> None:
        """Create the progress of a roll-out that runs."""
        self.number = number
        self.started_at = started_at
        self.switched_at = NEVER
        self.switched_index = 0


class HostReport:
    """The newest report of one start of an entry host.

    ``name`` is the name of the host; ``received_at`` is in monotonic seconds.
    """

    __slots__ = ('name', 'received_at', 'report')

    def __init__(self, name: str, report: RolloutReport, now: float) -> None:
        """Create an entry for a report that arrived at ``now``."""
        self.name = name
        self.report = report
        self.received_at = now

    def is_newer(self, report: RolloutReport) -> bool:
        """Return whether a report holds anything newer than this one."""
        known = self.report
        if report.busy != known.busy:
            return _age_key(report) >= _age_key(known)
        return _age_key(report) > _age_key(known)


class HostReports:
    """Reports of entry hosts, by start of the host."""

    __slots__ = ('_by_start',)

    def __init__(self) -> None:
        """Create a table without reports."""
        self._by_start: dict[str, HostReport] = {}

    def __iter__(self) -> Iterator[HostReport]:
        """Iterate over the reports."""
        return iter(self._by_start.values())

    def add(self, name: str, report: RolloutReport, now: float) -> bool:
        """Add a report of a host; return whether it replaced older ones."""
        known = self._by_start.get(report.host)
        if known is None and len(self._by_start) >= MAX_REPORTS:
            return False
        if known is not None and not known.is_newer(report):
            return False
        self._by_start[report.host] = HostReport(name, report, now)
        return True

    def clear(self) -> None:
        """Drop all reports."""
        self._by_start.clear()

    def sum_evidence(self) -> dict[int, list[RouteEvidence]]:
        """Return the evidence of all hosts by number of roll-out and route."""
        sums: dict[tuple[int, str], RouteEvidence] = {}
        for known in self:
            for part in known.report.evidence:
                total = sums.setdefault(
                    (part.number, part.route),
                    RouteEvidence(part.number, part.route),
                )
                total.add(part)
        by_number: dict[int, list[RouteEvidence]] = {}
        for key in sorted(sums):
            by_number.setdefault(key[0], []).append(sums[key])
        return by_number

    def find_waiting(
        self, names: Iterable[str], index: int, number: int
    ) -> list[str]:
        """Return the hosts that have not switched to a target yet.

        These have no report of a deployment at ``index``, or they have
        requests at searchers that roll-out ``number`` replaces.
        """
        newest: dict[str, HostReport] = {}
        for known in self:
            other = newest.get(known.name)
            if other is None or known.received_at >= other.received_at:
                newest[known.name] = known
        return [
            name
            for name in sorted(names)
            if name not in newest
            or newest[name].report.index < index
            or number in newest[name].report.busy
        ]


class RolloutTable:
    """What a control host knows about roll-outs beside the log.

    ``is_in_force`` is set if the settings bound the exposure. ``up_since`` is
    the start of this process in monotonic seconds, ``unix_offset`` what turns
    monotonic seconds into Unix time. ``connected_by_control`` holds the entry
    hosts that other control hosts are connected to.
    """

    __slots__ = (
        'connected_by_control',
        'decision_due',
        'is_in_force',
        'led_since',
        'pin_due',
        'progress',
        'proposals',
        'relay_due',
        'reports',
        'unix_offset',
        'up_since',
    )

    def __init__(self) -> None:
        """Create a table without roll-outs."""
        self.is_in_force = False
        self.up_since = -NEVER
        self.unix_offset = 0.0
        self.reports = HostReports()
        self.progress: dict[str, Progress] = {}
        self.connected_by_control: dict[str, list[str]] = {}
        # Log index of the last proposal about each service.
        self.proposals: dict[str, int] = {}
        self.pin_due = NEVER
        self.relay_due = -NEVER
        self.decision_due = -NEVER
        self.led_since = NEVER

    def note_record(
        self, record: RolloutRecord, index: int, now: float
    ) -> Progress:
        """Note when this host learned of the state of a roll-out."""
        progress = self.progress.get(record.service)
        if progress is None or progress.number != record.number:
            progress = Progress(record.number, self._find_start(record, now))
            self.progress[record.service] = progress
        if record.state == SWITCHING and not progress.switched_index:
            progress.switched_index = index
            progress.switched_at = now
        return progress

    def _find_start(self, record: RolloutRecord, now: float) -> float:
        """Return when a roll-out began, in monotonic seconds.

        An order older than this process was read from its disk or sent by
        another host, so only its wall-clock time tells its age.
        """
        unix_ordered = record.ordered_ms / _MILLISECONDS
        age = now + self.unix_offset - unix_ordered
        if age <= now - self.up_since:
            return now
        return now - min(age, record.duration)


def _age_key(report: RolloutReport) -> tuple[int, int]:
    """Return what never falls from one report of a host to the next."""
    answers = sum(
        part.target_total + part.current_total for part in report.evidence
    )
    return report.index, answers
