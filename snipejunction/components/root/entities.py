"""Queries and their sub-requests."""

from __future__ import annotations

from enum import Enum
from typing import Any, Final

from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.root.index import SnapshotLayout
from snipejunction.components.root.messages import SearchRequest
from snipejunction.helpers.records import Record
from snipejunction.verdict import Refusal


class GapReason(Enum):
    """Reason why a shard has no answer; it selects the budget of a resend.

    For ``MOVED`` the sub-request went to the wrong host or searcher; the
    resend costs nothing. ``REFUSED`` spends the retry budget. ``LOST`` may
    have run; since searches are idempotent, it is resent within the hedge
    budget.
    """

    MOVED = 'moved'
    REFUSED = 'refused'
    LOST = 'lost'


class QueryPhase(Enum):
    """Phases of a query in chronological order."""

    ADMISSION = 'admission'
    ROUTES = 'routes'
    RUNNING = 'running'


class SubRequest(Record):
    """Sub-request in flight; times are in monotonic seconds.

    ``is_late`` is set once the hedge delay is exceeded, ``is_replaced`` once
    other sub-requests were sent for its shards. ``is_extra`` marks retries
    and hedges.
    """

    __slots__ = (
        'is_extra',
        'is_late',
        'is_replaced',
        'owner',
        'query_id',
        'round_trip',
        'searcher',
        'sent_at',
        'shards',
        'sub_id',
    )

    def __init__(
        self,
        sub_id: int,
        query_id: int,
        searcher: str,
        owner: str,
        shards: tuple[int, ...],
        sent_at: float,
        round_trip: float,
        *,
        is_extra: bool,
    ) -> None:
        """Create a sub-request sent at ``sent_at``."""
        self.sub_id = sub_id
        self.query_id = query_id
        self.searcher = searcher
        self.owner = owner
        self.shards = shards
        self.sent_at = sent_at
        self.round_trip = round_trip
        self.is_extra = is_extra
        self.is_late = False
        self.is_replaced = False


class Timer(Record):
    """Timer of a query: its number, zero for none, and its due time."""

    __slots__ = ('due', 'number')

    def __init__(self, number: int, due: float) -> None:
        """Create a reference to a scheduled timer."""
        self.number = number
        self.due = due


class Query:
    """Search in progress, from its request to its answer.

    ``due`` is when the answer must be sent, in monotonic seconds.
    ``excluded`` maps searchers to the time until which they get no
    sub-request of this query, ``gaps`` maps shards to the reason why their
    last sub-request failed, ``attempts`` counts the sub-requests of a shard.
    """

    __slots__ = (
        'attempts',
        'call',
        'covered',
        'due',
        'excluded',
        'extra_subs',
        'gap_retries',
        'gaps',
        'hits',
        'last_refusal',
        'layout',
        'may_have_run',
        'needed_subs',
        'pending',
        'phase',
        'query_id',
        'received_at',
        'rejected_snapshots',
        'service',
        'timer',
    )

    def __init__(
        self,
        query_id: int,
        call: SearchRequest,
        service: ServiceSettings,
        received_at: float,
        due: float,
    ) -> None:
        """Create a query that waits for admission."""
        self.query_id: Final = query_id
        self.call: Final = call
        self.service: Final = service
        self.received_at: Final = received_at
        self.due: Final = due
        self.phase = QueryPhase.ADMISSION
        self.layout: SnapshotLayout | None = None
        self.pending: dict[int, SubRequest] = {}
        self.covered: set[int] = set()
        self.hits: dict[str, dict[str, Any]] = {}
        self.attempts: dict[int, int] = {}
        self.gaps: dict[int, GapReason] = {}
        self.excluded: dict[str, float] = {}
        self.rejected_snapshots: set[SnapshotId] = set()
        self.needed_subs = 0
        self.extra_subs = 0
        self.gap_retries = 0
        self.timer = Timer(0, 0)
        self.may_have_run = False
        self.last_refusal: Refusal | None = None

    @property
    def is_admitted(self) -> bool:
        """Return whether the query occupies a slot of its caller's limit."""
        return self.phase is not QueryPhase.ADMISSION

    @property
    def covered_share(self) -> float:
        """Return the covered share of the snapshot from 0 to 1."""
        if self.layout is None:
            return 0.0
        return self.layout.document_share(self.covered)

    @property
    def is_complete(self) -> bool:
        """Return whether every shard of the snapshot is covered."""
        if self.layout is None:
            return False
        return len(self.covered) == len(self.layout.sizes)

    def open_shards(self) -> set[int]:
        """Return the shards that are neither covered nor pending."""
        if self.layout is None:
            return set()
        remaining = set(self.layout.held_shards)
        remaining -= self.covered
        for sub in self.pending.values():
            remaining.difference_update(sub.shards)
        return remaining

    def reset_snapshot(self) -> None:
        """Discard all results and attempts on the current snapshot."""
        self.layout = None
        self.covered.clear()
        self.hits.clear()
        self.attempts.clear()
        self.gaps.clear()
        self.excluded.clear()
        self.pending.clear()
        self.gap_retries = 0
