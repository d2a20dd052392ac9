"""Selection of the registrars that collect the routes of a service."""

from __future__ import annotations

from typing import Final, TypeAlias

from snipejunction.components.control.view import View
from snipejunction.const import HOST_ACTIVE
from snipejunction.helpers import rendezvous

# Name and incarnation of the host.
Registrar: TypeAlias = tuple[str, str]

_REGISTRARS_PER_SERVICE: Final = 2


class RegistrarCache:
    """Cache of the registrars of services in one view.

    The data centre is chosen before the host, so that a view of thousands
    of hosts costs about a hundred hashes per service. Hosts with different
    views may briefly disagree on the registrars, which is acceptable since
    routes are hints.
    """

    __slots__ = ('_by_service', '_data_centres', '_view')

    def __init__(self) -> None:
        """Create a cache for the empty view."""
        self._view = View(0, {})
        self._data_centres: list[str] = []
        self._by_service: dict[str, tuple[Registrar, ...]] = {}

    def find(self, view: View, service: str) -> tuple[Registrar, ...]:
        """Return the primary and the secondary registrar of a service.

        There are fewer if fewer hosts are active.
        """
        if view is not self._view:
            self._reset(view)
        if service not in self._by_service:
            self._by_service[service] = self._choose_registrars(service)
        return self._by_service[service]

    def _reset(self, view: View) -> None:
        self._view = view
        self._by_service.clear()
        self._data_centres = sorted(
            {
                entry.data_centre
                for entry in view.hosts.values()
                if entry.state == HOST_ACTIVE
            },
        )

    def _choose_registrars(self, service: str) -> tuple[Registrar, ...]:
        key = f'routes of {service}'
        ranked = rendezvous.rank(key, self._data_centres)
        names = [
            self._view.owner_of(key, data_centre)
            for data_centre in ranked[:_REGISTRARS_PER_SERVICE]
        ]
        if len(ranked) == 1:
            names = list(rendezvous.rank(key, self._view.active_names))
        return tuple(
            (name, self._view.hosts[name].incarnation)
            for name in names[:_REGISTRARS_PER_SERVICE]
            if name is not None
        )
