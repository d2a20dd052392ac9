"""State of the control leader: leases, view changes and open changes."""

from __future__ import annotations

from collections import deque

from snipejunction.components.control.messages import RenewLease
from snipejunction.components.control.replication.messages import (
    SettingsEntry,
)
from snipejunction.helpers.records import Record
from snipejunction.timers import NEVER


class HostLease:
    """A host's lease as tracked by the leader, in monotonic seconds.

    ``expires_at`` is when the lease has certainly expired at its holder.
    ``retain_until`` delays the removal of a host that has no lease yet.
    ``applied`` and ``released`` are the revisions that the host reported.
    """

    __slots__ = (
        'applied',
        'expires_at',
        'incarnation',
        'released',
        'retain_until',
    )

    def __init__(
        self, incarnation: str, expires_at: float, retain_until: float
    ) -> None:
        """Create the lease of one incarnation of a host."""
        self.incarnation = incarnation
        self.expires_at = expires_at
        self.retain_until = retain_until
        self.applied = 0
        self.released = 0

    def update_progress(self, applied: int, released: int) -> None:
        """Record the reported revisions; a late report lowers none."""
        self.applied = max(self.applied, applied)
        self.released = max(self.released, released)

    def extend(self, expires_at: float) -> None:
        """Move the expiry to ``expires_at`` if that is later."""
        self.expires_at = max(self.expires_at, expires_at)

    def has_expired(self, now: float) -> bool:
        """Return whether the lease has certainly expired at the host."""
        return now >= self.expires_at


class PendingRenewal(Record):
    """A renewal that waits for a quorum to confirm this leader."""

    __slots__ = ('received_at', 'renewal')

    def __init__(self, renewal: RenewLease, received_at: float) -> None:
        """Create an entry; ``received_at`` is in monotonic seconds."""
        self.renewal = renewal
        self.received_at = received_at


class PendingChange:
    """A change whose outcome hosts wait for.

    ``requesters`` are pairs of a host and its ask id. ``awaited_hosts`` have
    not reported ``revision`` as applied yet.
    """

    __slots__ = (
        'awaited_hosts',
        'entry',
        'received_at',
        'requesters',
        'revision',
    )

    def __init__(self, entry: SettingsEntry, now: float) -> None:
        """Create a change that was received at ``now``."""
        self.entry = entry
        self.received_at = now
        self.requesters: set[tuple[str, int]] = set()
        self.revision = 0
        self.awaited_hosts: set[str] = set()


class LeadershipTable:
    """State of the control leader; empty while this host does not lead.

    ``min_revision`` is the lowest revision that a host must have applied to
    get a lease. A revision counts as in force, or a view as settled, even if
    a host without a lease has not applied it, so that host must apply it
    before it gets a lease again.

    Renewals in ``pending`` wait for the next confirmation round, those in
    ``confirming`` for the current one. ``proposed_index`` is the log index of
    the view entry in flight, zero if there is none, and ``proposed_hosts``
    are the hosts that it changes. ``in_flight`` holds proposed changes by id,
    ``applied_changes`` those that are not in force yet.
    """

    __slots__ = (
        '_commits',
        'applied_changes',
        'confirm_started_at',
        'confirm_token',
        'confirming',
        'in_flight',
        'is_leading',
        'join_requests',
        'leases',
        'min_revision',
        'pending',
        'proposed_hosts',
        'proposed_index',
    )

    def __init__(self) -> None:
        """Create the table of a host that does not lead."""
        self.confirm_token = 0
        self.is_leading = False
        self.reset()

    def reset(self) -> None:
        """Clear the state; ``confirm_token`` stays, so no token is reused."""
        self.is_leading = False
        self.min_revision = 0
        self.leases: dict[str, HostLease] = {}
        self.pending: list[PendingRenewal] = []
        self.confirming: list[PendingRenewal] = []
        self.confirm_started_at = -NEVER
        self.join_requests: dict[str, RenewLease] = {}
        self.proposed_index = 0
        self.proposed_hosts: frozenset[str] = frozenset()
        self.in_flight: dict[str, list[PendingChange]] = {}
        self.applied_changes: list[PendingChange] = []
        self._commits: deque[tuple[float, int]] = deque()

    def start_leading(self, revision: int) -> None:
        """Start to lead at the applied ``revision``."""
        self.reset()
        self.is_leading = True
        self.min_revision = revision

    def raise_min_revision(self, revision: int) -> None:
        """Require hosts to have applied ``revision`` to get a lease."""
        self.min_revision = max(self.min_revision, revision)

    def record_commit(self, revision: int, now: float) -> None:
        """Record when a revision was committed."""
        self._commits.append((now, revision))

    def required_revision(self, before: float) -> int:
        """Return the revision that a host must have applied to get a lease.

        It covers all that was committed up to ``before``.
        """
        while self._commits and self._commits[0][0] <= before:
            self.raise_min_revision(self._commits.popleft()[1])
        return self.min_revision

    def count_in_flight(self) -> int:
        """Return the number of changes that are not answered yet."""
        return len(self.in_flight) + len(self.applied_changes)
