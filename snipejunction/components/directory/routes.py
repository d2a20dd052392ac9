"""Routing tables that this host received from registrars."""

from __future__ import annotations

from collections.abc import Mapping

from snipejunction.components.directory.messages import RouteEntry


class RoutingTable:
    """Last received route entries, by service and searcher."""

    __slots__ = ('_services', '_versions')

    def __init__(self) -> None:
        """Create an empty table."""
        self._services: dict[str, dict[str, RouteEntry]] = {}
        self._versions: dict[str, int] = {}

    def entries(self, service: str) -> Mapping[str, RouteEntry]:
        """Return the entries of a service by searcher."""
        return self._services.get(service, {})

    def entry(self, service: str, searcher: str) -> RouteEntry | None:
        """Return the entry of a searcher, None if unknown."""
        return self._services.get(service, {}).get(searcher)

    def version(self, service: str) -> int:
        """Return the version of a service's table, zero without one."""
        return self._versions.get(service, 0)

    def replace(
        self,
        service: str,
        version: int,
        entries: list[RouteEntry],
    ) -> None:
        """Replace the table of a service."""
        self._versions[service] = version
        self._services[service] = {entry.searcher: entry for entry in entries}

    def update(
        self,
        service: str,
        version: int,
        entries: list[RouteEntry],
        removed: list[str],
    ) -> None:
        """Apply the changes up to ``version``."""
        table = self._services.setdefault(service, {})
        for searcher in removed:
            table.pop(searcher, None)
        for entry in entries:
            table[entry.searcher] = entry
        self._versions[service] = version
