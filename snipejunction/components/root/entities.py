"""Entities of the root: queries and their sub-requests."""

from __future__ import annotations

from enum import Enum
from typing import Any, Final

from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.root.index import SnapshotLayout
from snipejunction.components.root.messages import SearchAsked
from snipejunction.helpers.records import Record
from snipejunction.verdict import Refusal


class Gap(Enum):
    """Why a shard has no answer, which decides what may pay for another try.

    A moved shard was asked of the wrong place and costs nothing; a refused
    one is retried within the retry budget; a lost one may have run, and as a
    search is idempotent it is sent again within the hedge budget.
    """

    MOVED = 'moved'
    REFUSED = 'refused'
    LOST = 'lost'


class QueryPhase(Enum):
    """Phases of a query in their order."""

    ADMISSION = 'admission'
    ROUTES = 'routes'
    RUNNING = 'running'


class SubRequest(Record):
    """One sub-request that has no result yet; times are monotonic seconds.

    ``is_late`` says that its hedge time passed, ``is_replaced`` that other
    sub-requests were sent for its shards.
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
        """Create a sub-request that was just sent."""
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
    """A timer of the host: its number, zero for none, and its due time."""

    __slots__ = ('due', 'number')

    def __init__(self, number: int, due: float) -> None:
        """Create a note of a timer that was set."""
        self.number = number
        self.due = due


class Query:
    """One search from its request to its answer.

    ``due`` is when the answer must leave, in monotonic seconds. ``excluded``
    holds the searchers that are passed over, with the end of that.
    """

    __slots__ = (
        'asked_at',
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
        'rejected_snapshots',
        'service',
        'timer',
        'tries',
    )

    def __init__(
        self,
        query_id: int,
        call: SearchAsked,
        service: ServiceSettings,
        asked_at: float,
        due: float,
    ) -> None:
        """Create a query that waits for its admission."""
        self.query_id: Final = query_id
        self.call: Final = call
        self.service: Final = service
        self.asked_at: Final = asked_at
        self.due: Final = due
        self.phase = QueryPhase.ADMISSION
        self.layout: SnapshotLayout | None = None
        self.pending: dict[int, SubRequest] = {}
        self.covered: set[int] = set()
        self.hits: dict[str, dict[str, Any]] = {}
        self.tries: dict[int, int] = {}
        self.gaps: dict[int, Gap] = {}
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
        """Return whether the query counts against its caller's limit."""
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
        left = set(self.layout.held_shards)
        left -= self.covered
        for sub in self.pending.values():
            left.difference_update(sub.shards)
        return left

    def forget_attempt(self) -> None:
        """Drop all parts of the present snapshot."""
        self.layout = None
        self.covered.clear()
        self.hits.clear()
        self.tries.clear()
        self.gaps.clear()
        self.excluded.clear()
        self.pending.clear()
        self.gap_retries = 0
