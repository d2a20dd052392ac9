"""Selection of the route of a request and of the target of a route."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.gateway.document import Route


class RouteIndex:
    """Routes by host; the longest matching path prefix wins."""

    __slots__ = ('_by_host',)

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        """Create an index of ``routes``."""
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        ``host`` is that of the request, in any case and with or without a
        port; ``path`` excludes the query.
        """
        prefixes = self._prefixes_of(host)
        # Each prefix ends with a slash, so only slashes need checking.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def common_regions(self, host: str) -> frozenset[str] | None:
        """Return the regions that all routes of a host allow, None for all.

        ``host`` is as in ``find``.
        """
        common: frozenset[str] | None = None
        for route in self._prefixes_of(host).values():
            if route.regions:
                regions = route.regions
                common = regions if common is None else common & regions
        return common

    def _prefixes_of(self, host: str) -> dict[str, Route]:
        name = host.lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            prefixes = self._by_host.get(name.partition(':')[0])
        return prefixes or {}


def pick_target(route: Route, point: float) -> str:
    """Return a target of the route; ``point`` is uniform in [0, 1)."""
    total = sum(target.weight for target in route.targets)
    rest = point * total
    for target in route.targets:
        rest -= target.weight
        if rest < 0:
            return target.service
    return route.targets[-1].service
