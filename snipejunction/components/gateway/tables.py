"""Tables of an entry host."""

from __future__ import annotations

from random import Random

from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.deployment.naming import advertised_entries
from snipejunction.components.gateway.budget import RepeatBudget, RepeatLimits
from snipejunction.components.gateway.const import HEDGE_QUANTILE
from snipejunction.components.gateway.document import Document, Service
from snipejunction.components.gateway.routing import RouteIndex
from snipejunction.components.gateway.timing import QuantileWindow
from snipejunction.components.gateway.limit_sharing import LimitSharing
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.const import READY, SILENT
from snipejunction.components.rollouts.trials import TrialTable
from snipejunction.components.scheduling.tables import SchedulingTable


class RelayTable:
    """Entry hosts that relay parts for this one, by name.

    ``connected_names`` holds those with a stream; ``last_late_at`` maps names
    to when a response was last late, in monotonic seconds.
    """

    __slots__ = ('connected_names', 'last_late_at')

    def __init__(self) -> None:
        """Create a table without relays."""
        self.connected_names: set[str] = set()
        self.last_late_at: dict[str, float] = {}


class ControlSearch:
    """The search of an entry host for control hosts.

    ``since`` is when it began, None while usable ones are connected;
    ``known_at`` is when a list of control hosts first arrived. Both are in
    monotonic seconds.
    """

    __slots__ = ('known_at', 'since')

    def __init__(self, started: float) -> None:
        """Begin the search of a host that started at ``started``."""
        self.since: float | None = started
        self.known_at: float | None = None


class GatewayTable:
    """State of an entry host; its systems read and change it.

    ``active`` maps names to the entry hosts that are advertised to callers.
    ``regions`` maps data centres to regions. ``drained`` maps each data
    centre that was ever drained to whether it is drained now.
    """

    __slots__ = (
        '_rollouts',
        '_scheduling',
        '_sharing',
        'active',
        'budgets',
        'control_search',
        'data_centre',
        'document',
        'drained',
        'first_document_at',
        'hosts_by_sender',
        'index',
        'is_prepared',
        'latencies',
        'limits',
        'name',
        'random',
        'regions',
        'relays',
        'routes',
        'started',
        'upstreams',
        'upstreams_by_service',
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        regions: dict[str, str],
        limits: RepeatLimits,
        random: Random,
        started: float,
    ) -> None:
        """Create tables; ``started`` is in monotonic seconds."""
        self.name = name
        self.data_centre = data_centre
        self.regions = regions
        self.limits = limits
        self.random = random
        self.started = started
        self.document: Document | None = None
        self.first_document_at = 0.0
        self.is_prepared = False
        self.routes = RouteIndex()
        self.index = 0
        self.drained: dict[str, bool] = {}
        self.control_search = ControlSearch(started)
        self.hosts_by_sender: dict[str, HostsUpdate] = {}
        self.active: dict[str, EntryRecord] = {}
        self.relays = RelayTable()
        self.upstreams: dict[str, Upstream] = {}
        self.upstreams_by_service: dict[str, dict[str, Upstream]] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.latencies: dict[str, QuantileWindow] = {}
        self._sharing = LimitSharing(name)
        self._rollouts = TrialTable()
        self._scheduling = SchedulingTable()

    @property
    def region(self) -> str:
        """Return the region of this host."""
        return self.regions.get(self.data_centre, self.data_centre)

    @property
    def sharing(self) -> LimitSharing:
        """Return which hosts share the bounds of searchers and services."""
        return self._sharing

    @property
    def rollouts(self) -> TrialTable:
        """Return the roll-outs and the current versions of services."""
        return self._rollouts

    @property
    def scheduling(self) -> SchedulingTable:
        """Return the requests that wait for room and the refused ones."""
        return self._scheduling

    @property
    def controls(self) -> dict[str, str]:
        """Return a map from all known control hosts to data centres."""
        controls: dict[str, str] = {}
        for update in self.hosts_by_sender.values():
            controls.update(update.controls)
        return controls

    @property
    def is_active(self) -> bool:
        """Return whether this host is advertised to callers."""
        return self.name in self.active

    @property
    def slack_share(self) -> float:
        """Return this host's share of the slack of each budget.

        Hosts that are not advertised to callers have no share.
        """
        return 1 / self.sharing.host_count if self.is_active else 0

    @property
    def is_cut_off(self) -> bool:
        """Return whether no known control host has a leader."""
        updates = self.hosts_by_sender.values()
        return all(update.is_cut_off for update in updates)

    def is_in_service(self, upstream: Upstream) -> bool:
        """Return whether a searcher is there and its data centre is in."""
        record = upstream.record
        if record.state not in {READY, SILENT}:
            return False
        return not self.drained.get(record.data_centre, False)

    def refresh_active(self, now: float) -> None:
        """Rebuild ``active`` from the lists of all control hosts."""
        records = {
            record.name: record
            for update in self.hosts_by_sender.values()
            for record in update.entries
        }
        self.active = {
            record.name: record
            for record in advertised_entries(records.values())
        }
        self._sharing.replace_active(self.active, now)

    def drop_departed_hosts(self, now: float) -> None:
        """Drop departed hosts that no longer share limits.

        A host that is cut off keeps them: they may be alive elsewhere, and
        count this host for some time only.
        """
        if not self.is_cut_off:
            self._sharing.drop_departed(now)

    def sharing_key(self, service: str, searcher_id: str) -> str:
        """Return the key that orders the hosts sharing a searcher's limit.

        It is the same for all shards of an index: a host needs shares of all
        of them to answer a request.
        """
        if self.document is None or service in self.document.shard_services:
            return ''
        return searcher_id

    def budget(self, service: str) -> RepeatBudget:
        """Return the repeat budget of a service, creating it if needed."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RepeatBudget(self.limits, self.started)
            self.budgets[service] = budget
        return budget

    def latencies_of(self, route: str) -> QuantileWindow:
        """Return the latencies of the parts of a route, in seconds."""
        latencies = self.latencies.get(route)
        if latencies is None:
            latencies = QuantileWindow(HEDGE_QUANTILE)
            self.latencies[route] = latencies
        return latencies

    def find_service(self, name: str) -> Service | None:
        """Return a service of the current document, None if unknown."""
        if self.document is None:
            return None
        return self.document.services.get(name)

    def connection_limit(self, service: str) -> int:
        """Return this host's connection limit for one searcher."""
        known = self.find_service(service)
        if known is None:
            return 1
        hosts = max(1, self.sharing.host_count)
        return max(1, known.max_connections // hosts)
