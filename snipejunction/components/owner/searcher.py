"""A searcher as its owner sees it."""

from __future__ import annotations

from collections import deque
from typing import Final

from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.owner.const import (
    DEFAULT_QUEUE_LIMIT,
    ORPHAN_MARGIN_SECONDS,
    REPEAT_BURST,
    REPEAT_SHARE,
    REPLACED_BOOT_SECONDS,
)
from snipejunction.components.owner.fair_queue import FairQueue
from snipejunction.components.owner.latency import LatencyEstimate
from snipejunction.components.owner.messages import Announcement
from snipejunction.components.owner.pool import Connection, ConnectionPool
from snipejunction.components.owner.warmth import Warmth
from snipejunction.components.owner.work import Work
from snipejunction.timers import NEVER

_MAX_REPLACED_BOOTS: Final = 8


def searcher_key(service: str, searcher: str) -> str:
    """Return the key by which a searcher has an owner."""
    return f'{service}/{searcher}'


class ConnectionHealth:
    """What the connections to a searcher tell of it.

    Counts are of events in a row; times are monotonic seconds.
    """

    __slots__ = (
        'consecutive_resets',
        'consecutive_unanswered',
        'is_down',
        'open_failures',
        'reopen_at',
        'reset_at',
    )

    def __init__(self) -> None:
        """Create the health of a searcher without a failure."""
        self.is_down = False
        self.open_failures = 0
        self.reopen_at = -NEVER
        self.consecutive_resets = 0
        self.reset_at = -NEVER
        self.consecutive_unanswered = 0


class RepeatBudget:
    """Bounds repeated dispatches to a share of the successful ones."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Create a full budget."""
        self._tokens = REPEAT_BURST

    def earn(self) -> None:
        """Note a successful dispatch."""
        self._tokens = min(self._tokens + REPEAT_SHARE, REPEAT_BURST)

    def spend(self) -> bool:
        """Take a repeat from the budget; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Dispatch:
    """A request that the upstream may be running.

    An orphan has lost its connection or its answer: it keeps its slot until
    ``deadline`` has certainly passed at the upstream.
    """

    __slots__ = (
        'connection',
        'deadline',
        'dispatch_id',
        'epoch',
        'is_cancelled',
        'is_orphan',
        'searcher',
        'started_at',
        'suspect_at',
        'work',
    )

    def __init__(
        self,
        dispatch_id: int,
        work: Work,
        searcher: Searcher,
        connection: Connection,
        started_at: float,
        deadline: float,
        suspect_at: float,
    ) -> None:
        """Create a dispatch of ``work``; times are monotonic seconds."""
        self.dispatch_id = dispatch_id
        self.work = work
        self.searcher = searcher
        self.connection = connection
        self.started_at = started_at
        self.deadline = deadline
        self.suspect_at = suspect_at
        self.epoch = searcher.epoch
        self.is_cancelled = False
        self.is_orphan = False

    @property
    def is_presumed_lost(self) -> bool:
        """Return whether no answer is expected any more."""
        return self.is_orphan or self.connection.is_suspect

    @property
    def slot_free_at(self) -> float:
        """Return when the request has certainly ended at the upstream."""
        return self.deadline + ORPHAN_MARGIN_SECONDS

    def expected_slot_free_at(self, now: float) -> float:
        """Return when the slot of a silent request is expected to be free.

        A request that is only suspected may be a slow one: it is expected
        to take as long again as it took so far.
        """
        if self.is_orphan:
            return self.slot_free_at
        return min(self.slot_free_at, now + (now - self.started_at))


class Searcher:
    """One searcher: what it announced, what was learned, what it runs.

    Times are monotonic seconds. ``lost_at`` is the revision of the view that
    gave it to another host, zero while it is owned here.
    """

    __slots__ = (
        '_replaced_boots',
        'announcement',
        'backoff_until',
        'boot_id',
        'connection_limit',
        'dispatches',
        'epoch',
        'expires_at',
        'has_service_settings',
        'health',
        'is_leaving',
        'key',
        'latency',
        'lost_at_revision',
        'pool',
        'queue',
        'queue_limit',
        'repeats',
        'slots',
        'warmth',
    )

    def __init__(self, announcement: Announcement, expires_at: float) -> None:
        """Create a searcher that is cold until more is known."""
        self.key = searcher_key(announcement.service, announcement.searcher)
        self.announcement = announcement
        self.boot_id = announcement.boot_id
        self.epoch = 0
        self.expires_at = expires_at
        self.is_leaving = False
        self.has_service_settings = False
        self.lost_at_revision = 0
        self.slots = 0
        self.connection_limit = 0
        self.queue_limit = DEFAULT_QUEUE_LIMIT
        self.warmth = Warmth()
        self.latency = LatencyEstimate()
        self.pool = ConnectionPool()
        self.health = ConnectionHealth()
        self.queue = FairQueue()
        self.repeats = RepeatBudget()
        self.dispatches: dict[int, Dispatch] = {}
        self.backoff_until = -NEVER
        self._replaced_boots: deque[tuple[str, float]] = deque(
            maxlen=_MAX_REPLACED_BOOTS
        )

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.announcement.service

    @property
    def data_centre(self) -> str:
        """Return the data centre that the searcher is in."""
        return self.announcement.data_centre

    @property
    def in_flight(self) -> int:
        """Return how many requests the upstream may be running."""
        return len(self.dispatches)

    @property
    def free_slots(self) -> int:
        """Return how many more requests may run now."""
        return self.warmth.effective_limit - len(self.dispatches)

    @property
    def is_drained(self) -> bool:
        """Return whether nothing of this host reaches the upstream."""
        return not self.dispatches and not len(self.pool)

    def is_expired(self, now: float) -> bool:
        """Return whether the announcement ran out."""
        return now >= self.expires_at

    def apply_settings(self, settings: ServiceSettings | None) -> None:
        """Bound what was announced by the settings of the service."""
        announcement = self.announcement
        self.has_service_settings = settings is not None
        self.slots = min(announcement.slots, announcement.connections)
        self.connection_limit = announcement.connections
        cold = announcement.cold_capacity
        if settings is not None:
            self.slots = _apply_bound(self.slots, settings.slots)
            self.connection_limit = _apply_bound(
                self.connection_limit,
                settings.connections,
            )
            self.slots = min(self.slots, self.connection_limit)
            cold = _apply_bound(cold, settings.cold_capacity)
            self.queue_limit = settings.queue_limit
        self.warmth.set_bounds(cold, self.slots)

    def blocked_until(self, now: float) -> float:
        """Return when silent requests are expected to leave a slot free.

        Zero if not all slots are theirs. They keep them until they end or
        their deadline has passed, because the upstream may still run them.
        """
        free_times = sorted(
            one.expected_slot_free_at(now)
            for one in self.dispatches.values()
            if one.is_presumed_lost
        )
        effective_limit = self.warmth.effective_limit
        if not effective_limit or len(free_times) < effective_limit:
            return 0
        return free_times[-effective_limit]

    def record_restart(self, boot_id: str, now: float) -> None:
        """Note that the upstream started again: it is cold."""
        self._replaced_boots.append((self.boot_id, now))
        self.boot_id = boot_id
        self.epoch += 1
        self.is_leaving = False
        self.warmth.reset(now)

    def is_replaced_boot(self, boot_id: str, now: float) -> bool:
        """Return whether a boot was replaced a short time ago."""
        return any(
            boot_id == past and now - replaced_at < REPLACED_BOOT_SECONDS
            for past, replaced_at in self._replaced_boots
        )


def _apply_bound(announced: int, bound: int) -> int:
    return min(announced, bound) if bound else announced
