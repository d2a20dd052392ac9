"""The state of a searcher at its owner."""

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
from snipejunction.helpers.rates import NO_SHARE, SendLog, share_of_host
from snipejunction.timers import NEVER

_MAX_REPLACED_BOOTS: Final = 8


def searcher_key(service: str, searcher: str) -> str:
    """Return the key that determines the owner of a searcher."""
    return f'{service}/{searcher}'


class ConnectionHealth:
    """Failures of the connections to a searcher.

    Counts are of consecutive events; times are monotonic seconds.
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
        """Create the health of a searcher without failures."""
        self.is_down = False
        self.open_failures = 0
        self.reopen_at = -NEVER
        self.consecutive_resets = 0
        self.reset_at = -NEVER
        self.consecutive_unanswered = 0


class RepeatBudget:
    """Token bucket that bounds repeats to a share of the successes."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Create a full budget."""
        self._tokens = REPEAT_BURST

    def earn(self) -> None:
        """Add the share of one successful dispatch."""
        self._tokens = min(self._tokens + REPEAT_SHARE, REPEAT_BURST)

    def spend(self) -> bool:
        """Take one repeat; return whether the budget allows it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Dispatch:
    """A request that the upstream may be running.

    An orphan has lost its connection or its answer, but keeps its slot until
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
        """Return whether it is an orphan or its connection is suspect."""
        return self.is_orphan or self.connection.is_suspect

    @property
    def slot_free_at(self) -> float:
        """Return when the request has certainly ended at the upstream."""
        return self.deadline + ORPHAN_MARGIN_SECONDS

    def expected_slot_free_at(self, now: float) -> float:
        """Return when the slot of an overdue request is expected to be free.

        A request that is only suspected may just be slow. It is expected to
        take as long again as it has taken so far.
        """
        if self.is_orphan:
            return self.slot_free_at
        return min(self.slot_free_at, now + (now - self.started_at))


class RateLimit:
    """The request rate that a searcher states; the owner is its only sender.

    ``stated`` is in requests per second, ``NEVER`` if it states none.
    """

    __slots__ = ('_log', '_share', 'stated')

    def __init__(self) -> None:
        """Create the state of a searcher that states no limit."""
        self._log = SendLog()
        self._share = NO_SHARE
        self.stated = NEVER

    def replace(self, stated: float, now: float) -> bool:
        """Replace the stated rate; return whether it changed."""
        if stated == self.stated:
            return False
        is_new = self.stated == NEVER
        self.stated = stated
        if stated < NEVER:
            self._share = share_of_host(stated, 1, 0)
            if is_new:
                self._log.fill(self._share, 1, now)
        return True

    def wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a request behind ``ahead`` may be sent."""
        if self.stated == NEVER:
            return 0
        return self._log.wait(self._share, ahead, now)

    def count_request(self, now: float) -> None:
        """Count a request that is sent while a rate is stated."""
        self._log.count(now)


class Searcher:
    """A searcher: its announcement, estimates, queue and dispatches.

    Times are monotonic seconds. ``lost_at_revision`` is the revision of the
    view that assigned it to another host, zero while this host owns it.
    ``epoch`` is incremented with each restart of the searcher.
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
        'rate_limit',
        'repeat_budget',
        'slots',
        'warmth',
    )

    def __init__(self, announcement: Announcement, expires_at: float) -> None:
        """Create a searcher that counts as cold."""
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
        self.repeat_budget = RepeatBudget()
        self.rate_limit = RateLimit()
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
        """Return the name of the data centre."""
        return self.announcement.data_centre

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the upstream may be running."""
        return len(self.dispatches)

    @property
    def free_slots(self) -> int:
        """Return the number of further requests that may run now."""
        return self.warmth.effective_limit - len(self.dispatches)

    @property
    def is_drained(self) -> bool:
        """Return whether this host has no requests or connections open."""
        return not self.dispatches and not len(self.pool)

    def is_expired(self, now: float) -> bool:
        """Return whether the announcement expired."""
        return now >= self.expires_at

    def apply_settings(self, settings: ServiceSettings | None) -> None:
        """Set the limits from the announcement and the service settings."""
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
        """Return when overdue requests are expected to free a slot.

        Zero if they do not hold all slots. An overdue request keeps its slot
        until it ends or its deadline passes, because the upstream may still
        be running it.
        """
        free_times = sorted(
            dispatch.expected_slot_free_at(now)
            for dispatch in self.dispatches.values()
            if dispatch.is_presumed_lost
        )
        effective_limit = self.warmth.effective_limit
        if not effective_limit or len(free_times) < effective_limit:
            return 0
        return free_times[-effective_limit]

    def record_restart(self, boot_id: str, now: float) -> None:
        """Reset the state after a restart of the searcher, which is cold."""
        self._replaced_boots.append((self.boot_id, now))
        self.boot_id = boot_id
        self.epoch += 1
        self.is_leaving = False
        self.rate_limit.replace(NEVER, now)
        self.warmth.reset(now)

    def is_replaced_boot(self, boot_id: str, now: float) -> bool:
        """Return whether a boot was replaced recently."""
        return any(
            boot_id == replaced and now - replaced_at < REPLACED_BOOT_SECONDS
            for replaced, replaced_at in self._replaced_boots
        )


def _apply_bound(announced: int, bound: int) -> int:
    # A bound of zero is unset.
    return min(announced, bound) if bound else announced
