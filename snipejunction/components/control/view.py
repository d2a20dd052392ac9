"""Cluster views: the member hosts and the keys that they own."""

from __future__ import annotations

from typing import Final

from snipejunction.const import HOST_ACTIVE
from snipejunction.helpers import rendezvous
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire

_OWNER_CACHE_ENTRIES: Final = 200_000


@wire(3)
class HostEntry(Record):
    """One host of the view; ``state`` is active or leaving."""

    __slots__ = (
        'data_centre',
        'http_port',
        'incarnation',
        'ip',
        'name',
        'peer_port',
        'region',
        'state',
    )

    def __init__(
        self,
        name: str,
        ip: str,
        peer_port: int,
        http_port: int,
        data_centre: str,
        region: str,
        incarnation: str,
        state: str = HOST_ACTIVE,
    ) -> None:
        """Create an entry of the host ``name``."""
        self.name = name
        self.ip = ip
        self.peer_port = peer_port
        self.http_port = http_port
        self.data_centre = data_centre
        self.region = region
        self.incarnation = incarnation
        self.state = state


class View:
    """The immutable set of member hosts at one revision of the log."""

    __slots__ = ('_by_data_centre', '_hosts', '_owners', '_revision')

    def __init__(self, revision: int, hosts: dict[str, HostEntry]) -> None:
        """Create the view as of the log entry at ``revision``."""
        self._revision = revision
        self._hosts = dict(hosts)
        self._owners: dict[tuple[str, str], str | None] = {}
        self._by_data_centre: dict[str, list[str]] = {}
        for entry in hosts.values():
            if entry.state == HOST_ACTIVE:
                names = self._by_data_centre.setdefault(entry.data_centre, [])
                names.append(entry.name)

    @property
    def revision(self) -> int:
        """Return the revision of the log entry that created the view."""
        return self._revision

    @property
    def hosts(self) -> dict[str, HostEntry]:
        """Return the hosts by name."""
        return self._hosts

    @property
    def active_names(self) -> list[str]:
        """Return the names of the hosts that may own keys."""
        return [
            name for names in self._by_data_centre.values() for name in names
        ]

    def owner_of(self, key: str, data_centre: str) -> str | None:
        """Return the host that owns ``key`` in ``data_centre``.

        Without an active host there, a host of another data centre owns it.
        Returns None if no host is active at all.
        """
        cache_key = (key, data_centre)
        if cache_key in self._owners:
            return self._owners[cache_key]
        names = self._by_data_centre.get(data_centre) or self.active_names
        owner = rendezvous.choose(key, names)
        if len(self._owners) >= _OWNER_CACHE_ENTRIES:
            self._owners.clear()
        self._owners[cache_key] = owner
        return owner


class ViewTable:
    """The views from the last settled one to the newest.

    A view is settled once every host of the earlier views has applied it
    and released what it no longer owns, or its lease has certainly expired.
    """

    __slots__ = ('_settled', '_views')

    def __init__(self) -> None:
        """Create a table with the empty view of revision zero."""
        self._settled = 0
        self._views = [View(0, {})]

    @property
    def current(self) -> View:
        """Return the newest view that the host applied."""
        return self._views[-1]

    @property
    def revision(self) -> int:
        """Return the revision of the newest view."""
        return self.current.revision

    @property
    def settled(self) -> int:
        """Return the revision up to which views are settled."""
        return self._settled

    @property
    def views_since_settled(self) -> list[View]:
        """Return the last settled view and all newer ones.

        A host owns a key exclusively if it is the owner in each of them.
        """
        return list(self._views)

    def apply(self, view: View) -> bool:
        """Append a newer view; ignore an older or equal one."""
        if view.revision <= self.revision:
            return False
        self._views.append(view)
        self._drop_settled()
        return True

    def settle(self, revision: int) -> bool:
        """Record that views up to ``revision`` are settled."""
        if revision <= self._settled:
            return False
        self._settled = revision
        self._drop_settled()
        return True

    def owner_of(self, key: str, data_centre: str) -> str | None:
        """Return the owner of ``key`` in the newest view."""
        return self.current.owner_of(key, data_centre)

    def is_exclusive_owner(
        self,
        key: str,
        data_centre: str,
        name: str,
        incarnation: str,
    ) -> bool:
        """Return whether no other host can still act as the owner."""
        for view in self._views:
            if view.owner_of(key, data_centre) != name:
                return False
            if view.hosts[name].incarnation != incarnation:
                return False
        return True

    def _drop_settled(self) -> None:
        # A joining host may learn the settled revision before it has views.
        while len(self._views) > 1:
            if self._views[1].revision > self._settled:
                return
            self._views.pop(0)
