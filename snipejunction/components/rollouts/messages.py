"""Log entries, records and messages of roll-outs."""

from __future__ import annotations

from snipejunction.components.consensus.conditional import (
    UNCONDITIONAL,
    ConditionalEntry,
)
from snipejunction.components.rollouts.const import RUNNING
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage


@wire(161, optional_fields=1)
class RolloutStartEntry(ConditionalEntry):
    """Log entry of an order to move a service to another version.

    ``duration`` is the time that the order gives, in seconds, from
    ``ordered_ms``, a Unix time in milliseconds.
    """

    __slots__ = ('duration', 'ordered_ms', 'service', 'target')

    def __init__(
        self,
        service: str,
        target: str,
        duration: float,
        ordered_ms: int,
        base: int = UNCONDITIONAL,
    ) -> None:
        """Create an entry."""
        self.service = service
        self.target = target
        self.duration = duration
        self.ordered_ms = ordered_ms
        self.base = base

    @property
    def subject(self) -> str:
        """Return the roll-outs of the service."""
        return f'roll-out of {self.service}'


@wire(162)
class RolloutStateEntry(Record):
    """Log entry that moves roll-out ``number`` of a service to a state."""

    __slots__ = ('number', 'reason', 'service', 'state')

    def __init__(
        self, service: str, number: int, state: int, reason: str
    ) -> None:
        """Create an entry; ``reason`` is the evidence, for operators."""
        self.service = service
        self.number = number
        self.state = state
        self.reason = reason


@wire(163)
class VersionPinEntry(Record):
    """Log entry with the first version of services, by service."""

    __slots__ = ('versions',)

    def __init__(self, versions: dict[str, str]) -> None:
        """Create an entry; services that have a version keep it."""
        self.versions = versions


@wire(164)
class RolloutRecord(Record):
    """A roll-out of a service.

    ``number`` is the log index of its order. Times are as in the order.
    """

    __slots__ = (
        'duration',
        'number',
        'ordered_ms',
        'reason',
        'service',
        'state',
        'target',
    )

    def __init__(
        self,
        service: str,
        target: str,
        number: int,
        duration: float,
        ordered_ms: int,
        state: int = RUNNING,
        reason: str = '',
    ) -> None:
        """Create a record of an order."""
        self.service = service
        self.target = target
        self.number = number
        self.duration = duration
        self.ordered_ms = ordered_ms
        self.state = state
        self.reason = reason


@wire(165)
class RouteEvidence(Record):
    """Answers on one route during a roll-out, counted since its order.

    ``target_bad`` of the ``target_total`` answers of the target version are
    bad, ``current_bad`` of ``current_total`` those of the current version.
    """

    __slots__ = (
        'current_bad',
        'current_total',
        'number',
        'route',
        'target_bad',
        'target_total',
    )

    def __init__(
        self,
        number: int,
        route: str,
        target_total: int = 0,
        target_bad: int = 0,
        current_total: int = 0,
        current_bad: int = 0,
    ) -> None:
        """Create the evidence for roll-out ``number``."""
        self.number = number
        self.route = route
        self.target_total = target_total
        self.target_bad = target_bad
        self.current_total = current_total
        self.current_bad = current_bad

    def add(self, other: RouteEvidence) -> None:
        """Add other counts; no more answers are bad than there are."""
        self.target_total += other.target_total
        self.target_bad += min(other.target_bad, other.target_total)
        self.current_total += other.current_total
        self.current_bad += min(other.current_bad, other.current_total)


@wire(166)
class RolloutReport(PeerMessage):
    """What an entry host knows about the roll-outs, for control hosts.

    ``host`` is its name and incarnation. ``index`` is that of the deployment
    in force there; ``busy`` lists the numbers of roll-outs whose replaced
    searchers still have its requests.
    """

    __slots__ = ('busy', 'evidence', 'host', 'index')

    def __init__(
        self,
        host: str,
        index: int,
        evidence: list[RouteEvidence],
        busy: list[int],
    ) -> None:
        """Create a report; it replaces earlier ones of the host."""
        self.host = host
        self.index = index
        self.evidence = evidence
        self.busy = busy


@wire(167)
class EntryReport(Record):
    """The report of the entry host ``name``, passed on by a control host."""

    __slots__ = ('name', 'report')

    def __init__(self, name: str, report: RolloutReport) -> None:
        """Create a record."""
        self.name = name
        self.report = report


@wire(168, independent_entries='reports')
class RolloutReports(PeerMessage):
    """The reports that a control host has, for the leader.

    ``connected`` lists the entry hosts that are connected to it.
    """

    __slots__ = ('connected', 'reports')

    def __init__(
        self, reports: list[EntryReport], connected: list[str]
    ) -> None:
        """Create a message."""
        self.reports = reports
        self.connected = connected
