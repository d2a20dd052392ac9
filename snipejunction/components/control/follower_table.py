"""Feeder and subscribers of this host in the distribution of settings."""

from __future__ import annotations

from snipejunction.components.control.const import (
    MAX_SUBSCRIBERS,
    SNAPSHOT_RETENTION_SECONDS,
    SUBSCRIPTION_TIMEOUT_SECONDS,
)
from snipejunction.timers import NEVER


class SnapshotFetch:
    """A snapshot that is being fetched in chunks from one feeder.

    ``total`` is its size in bytes.
    """

    __slots__ = ('buffer', 'feeder', 'requested_at', 'revision', 'total')

    def __init__(self, feeder: str, revision: int, total: int) -> None:
        """Create a fetch without any chunk."""
        self.feeder = feeder
        self.revision = revision
        self.total = total
        self.buffer = bytearray()
        self.requested_at = -NEVER


class FollowerTable:
    """State of this host as a follower; times are in monotonic seconds.

    ``failed_candidates`` counts the feeders that failed since the parent in
    the relay tree was last tried, ``preferred_retry_at`` is when it is tried
    again. ``committed`` is the highest committed revision known from a
    leader. ``cached_parent`` holds a view revision and the parent in its
    relay tree. ``due`` is when the next request is sent.
    """

    __slots__ = (
        'behind_since',
        'cached_parent',
        'committed',
        'due',
        'failed_candidates',
        'feeder',
        'fetch',
        'last_received_at',
        'preferred_retry_at',
    )

    def __init__(self) -> None:
        """Create a table without a feeder."""
        self.feeder = ''
        self.failed_candidates = 0
        self.last_received_at = -NEVER
        self.due = -NEVER
        self.preferred_retry_at = NEVER
        self.committed = 0
        self.behind_since = NEVER
        self.fetch: SnapshotFetch | None = None
        self.cached_parent: tuple[int, str | None] = (0, None)


class Subscriber:
    """A host that receives the feed from this one."""

    __slots__ = ('requested_at', 'revision', 'settled')

    def __init__(self, revision: int, settled: int, now: float) -> None:
        """Create a subscriber at ``revision`` that subscribed at ``now``."""
        self.revision = revision
        self.settled = settled
        self.requested_at = now


class SubscriberTable:
    """Subscribers of this host and the snapshot cached for them."""

    __slots__ = (
        '_hosts',
        '_snapshot',
        '_snapshot_requested_at',
        '_snapshot_revision',
    )

    def __init__(self) -> None:
        """Create a table without subscribers."""
        self._hosts: dict[str, Subscriber] = {}
        self._snapshot: bytes | None = None
        self._snapshot_revision = 0
        self._snapshot_requested_at = -NEVER

    @property
    def hosts(self) -> dict[str, Subscriber]:
        """Return the subscribers by name."""
        return self._hosts

    def subscribe(
        self,
        host: str,
        revision: int,
        settled: int,
        now: float,
    ) -> Subscriber:
        """Add or renew a subscription and return it.

        Beyond ``MAX_SUBSCRIBERS`` a new subscriber is returned, but not kept.
        """
        subscriber = Subscriber(revision, settled, now)
        if host in self._hosts or len(self._hosts) < MAX_SUBSCRIBERS:
            self._hosts[host] = subscriber
        return subscriber

    def expire(self, now: float) -> None:
        """Drop expired subscriptions and an unused snapshot."""
        cutoff = now - SUBSCRIPTION_TIMEOUT_SECONDS
        lost = [
            name
            for name, subscriber in self._hosts.items()
            if subscriber.requested_at < cutoff
        ]
        for name in lost:
            self._hosts.pop(name)
        if now - self._snapshot_requested_at > SNAPSHOT_RETENTION_SECONDS:
            self._snapshot = None

    def cache_snapshot(self, revision: int, packed: bytes) -> None:
        """Cache a snapshot while followers fetch it."""
        self._snapshot = packed
        self._snapshot_revision = revision

    def cached_snapshot(self, now: float) -> tuple[int, bytes] | None:
        """Return the revision and bytes of the cached snapshot, if any.

        The call postpones the expiry of the snapshot.
        """
        self._snapshot_requested_at = now
        if self._snapshot is None:
            return None
        return self._snapshot_revision, self._snapshot
