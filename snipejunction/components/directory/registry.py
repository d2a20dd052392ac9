"""Registry of the routes of a service at its registrar."""

from __future__ import annotations

from collections import deque
from random import Random

from snipejunction.components.directory.const import (
    MAX_LOGGED_CHANGES,
    VERSION_BITS,
    VERSION_STRIDE,
)
from snipejunction.components.directory.layouts import LayoutCache
from snipejunction.components.directory.messages import RouteEntry, RouteLoad
from snipejunction.components.directory.reordering import (
    PartialTables,
    ReorderBuffer,
)


class Subscriber:
    """Subscribed host; times are monotonic seconds.

    ``version`` is the version of the table that was last sent to it.
    """

    __slots__ = ('expires_at', 'version')

    def __init__(self, version: int, expires_at: float) -> None:
        """Create a subscriber that has the table of ``version``."""
        self.version = version
        self.expires_at = expires_at


class Publisher:
    """Owner that publishes entries; times are monotonic seconds.

    ``sequence`` is the last applied one.
    """

    __slots__ = (
        'incarnation',
        'out_of_order',
        'partial_tables',
        'republish_requested_at',
        'sequence',
    )

    def __init__(self, incarnation: str) -> None:
        """Create a publisher without publications."""
        self.incarnation = incarnation
        self.sequence = 0
        self.republish_requested_at = 0.0
        self.partial_tables = PartialTables()
        self.out_of_order = ReorderBuffer()


class Change:
    """Searchers with a changed entry, or only a changed load, in a version."""

    __slots__ = ('loads', 'searchers', 'version')

    def __init__(self, version: int) -> None:
        """Create an empty change that leads to ``version``."""
        self.version = version
        self.searchers: set[str] = set()
        self.loads: set[str] = set()


class Registry:
    """Entries by searcher, with a log of recent changes.

    Versions start at a random number, so that a table of an earlier process
    is never mistaken for one of this process.
    """

    __slots__ = (
        '_log',
        '_pending',
        '_version',
        'entries',
        'is_forward_queued',
        'is_forward_scheduled',
        'layouts',
        'publishers',
        'service',
        'subscribers',
    )

    def __init__(self, service: str, random: Random) -> None:
        """Create an empty registry."""
        self.service = service
        self._version = (random.getrandbits(VERSION_BITS) + 1) * VERSION_STRIDE
        self._log: deque[Change] = deque(maxlen=MAX_LOGGED_CHANGES)
        self._pending = Change(0)
        self.entries: dict[str, RouteEntry] = {}
        self.layouts = LayoutCache()
        self.publishers: dict[str, Publisher] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.is_forward_queued = False
        self.is_forward_scheduled = False

    @property
    def version(self) -> int:
        """Return the latest committed version."""
        return self._version

    @property
    def has_pending(self) -> bool:
        """Return whether there are uncommitted changes."""
        return bool(self._pending.searchers or self._pending.loads)

    def set_entry(self, entry: RouteEntry) -> None:
        """Add or replace an entry."""
        if self.entries.get(entry.searcher) != entry:
            self.entries[entry.searcher] = entry
            self._pending.searchers.add(entry.searcher)

    def set_load(self, load: RouteLoad, owner: str) -> bool:
        """Update the load of an entry that ``owner`` published.

        Return whether the state or the limit of the searcher changed.
        """
        entry = self.entries.get(load.searcher)
        if entry is None or entry.owner != owner:
            return False
        self.entries[load.searcher] = entry.with_load(load)
        self._pending.loads.add(load.searcher)
        return (entry.state, entry.limit) != (load.state, load.limit)

    def remove_entry(self, searcher: str, owner: str) -> None:
        """Remove an entry that ``owner`` published."""
        entry = self.entries.get(searcher)
        if entry is not None and entry.owner == owner:
            self.entries.pop(searcher)
            self._pending.searchers.add(searcher)

    def remove_owner_entries(self, owner: str, kept: frozenset[str]) -> None:
        """Remove the entries of an owner except those in ``kept``."""
        removed = [
            name
            for name, entry in self.entries.items()
            if entry.owner == owner and name not in kept
        ]
        for searcher in removed:
            self.remove_entry(searcher, owner)

    def commit_pending(self) -> None:
        """Commit the pending changes as a new version."""
        if not self.has_pending:
            return
        self._version += VERSION_STRIDE
        self._pending.version = self._version
        self._log.append(self._pending)
        self._pending = Change(0)

    def changes_since(self, version: int) -> Change | None:
        """Return the changes since a version, None if they are not logged."""
        merged = Change(self._version)
        if version == self._version:
            return merged
        for change in reversed(self._log):
            merged.searchers |= change.searchers
            merged.loads |= change.loads
            if change.version - VERSION_STRIDE == version:
                merged.loads -= merged.searchers
                return merged
        return None
