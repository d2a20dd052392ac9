"""Which entry hosts share bounds on searchers and services."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from snipejunction.components.deployment.messages import EntryRecord
from snipejunction.components.gateway.const import (
    DEPARTED_HOST_SECONDS,
    MIN_ADVERTISED_SECONDS,
)
from snipejunction.helpers.rendezvous import weight
from snipejunction.timers import NEVER


class LimitSharing:
    """The hosts that share bounds, in an order that all of them agree on.

    A host that is no longer advertised counts for ``DEPARTED_HOST_SECONDS``:
    it may still send, or be alive on the other side of a cut. One that was
    advertised for less than ``MIN_ADVERTISED_SECONDS`` has hardly any callers
    and does not: lists change quickly while many hosts start. Times are
    monotonic seconds.

    ``attempts`` counts the attempts sent to searchers that state a limit and
    ``refusals`` the requests refused because of limits. ``unreported`` maps
    the ids of searchers that confirmed their limit to this host since its
    last report to when they did.
    """

    __slots__ = (
        '_advertised_at',
        '_departed_at',
        '_hosts',
        '_name',
        '_positions',
        'attempts',
        'refusals',
        'unreported',
    )

    def __init__(self, name: str) -> None:
        """Create a table of host ``name`` without any hosts."""
        self._name = name
        self._hosts: dict[str, EntryRecord] = {}
        self._advertised_at: dict[str, float] = {}
        self._departed_at: dict[str, float] = {}
        self._positions: dict[tuple[str, str], int] = {}
        self.attempts = 0
        self.refusals = 0
        self.unreported: dict[str, float] = {}

    @property
    def host_count(self) -> int:
        """Return the number of hosts that share limits."""
        return len(self._hosts)

    @property
    def has_share(self) -> bool:
        """Return whether this host is one of them."""
        return self._name in self._hosts

    def includes(self, name: str) -> bool:
        """Return whether a host shares limits."""
        return name in self._hosts

    def replace_active(
        self, active: Mapping[str, EntryRecord], now: float
    ) -> None:
        """Replace the advertised hosts."""
        for name in self._advertised_at.keys() - active.keys():
            advertised_at = self._advertised_at.pop(name)
            if now >= advertised_at + MIN_ADVERTISED_SECONDS:
                self._departed_at[name] = now
            else:
                self._hosts.pop(name)
        for name, record in active.items():
            self._hosts[name] = record
            has_callers = self._departed_at.pop(name, None) is not None
            since = -NEVER if has_callers else now
            self._advertised_at.setdefault(name, since)
        self._positions.clear()

    def drop_departed(self, now: float) -> None:
        """Drop the hosts that departed long enough ago."""
        for name, departed_at in list(self._departed_at.items()):
            if now >= departed_at + DEPARTED_HOST_SECONDS:
                self._departed_at.pop(name)
                self._hosts.pop(name)
                self._positions.clear()

    def position(self, key: str, data_centre: str) -> int:
        """Return the position of this host among the hosts for a key.

        Hosts in the given data centre precede the others.
        """
        cached = self._positions.get((key, data_centre))
        if cached is None:
            names = self._rank(key, data_centre, self._hosts.values())
            cached = names.index(self._name)
            self._positions[key, data_centre] = cached
        return cached

    def _rank(
        self, key: str, data_centre: str, records: Iterable[EntryRecord]
    ) -> list[str]:
        ranked = sorted(
            (record.data_centre != data_centre, -weight(key, record.name), name)
            for record in records
            for name in (record.name,)
        )
        return [name for _, _, name in ranked]
