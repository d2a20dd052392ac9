"""Entry hosts with quotas on a network with delays, in virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random

from snipejunction.commands import SendPeer
from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.gateway.document import Customer, Document
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.updates import update_hosts
from snipejunction.components.quotas.messages import QuotaUsage
from snipejunction.components.quotas.quotas import Quotas
from snipejunction.timers import NEVER
from tests.components.gateway.stage import LIMITS

WINDOW_SECONDS = 5.0
NEWS_SECONDS = 1.5
EXPIRY_SECONDS = 10.0


class Host:
    """One entry host; ``group`` tells the side of a cut that it is on."""

    def __init__(
        self, name: str, seed: int, now: float, regions: dict[str, str]
    ) -> None:
        self.name = name
        self.table = GatewayTable(
            name, 'd', regions, RepeatLimits(0, 0, 10), Random(seed), now
        )
        self.table.control_search.since = None
        self.quotas = Quotas(self.table, Random(seed))
        self.group = 0
        self.frozen_until = 0.0
        self.timer = 0


class QuotaFleet:
    """Hosts ``h0`` and so on; ``log`` holds each request and its fate."""

    def __init__(
        self, hosts: int, seed: int = 1, data_centres: tuple[str, ...] = ()
    ) -> None:
        self.random = Random(seed)
        self._regions = dict.fromkeys(data_centres, 'r')
        self.now = 100.0
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.customers: tuple[Customer, ...] = ()
        self.log: list[tuple[float, bool]] = []
        self.sent_messages = 0
        self.one_way_seconds = 0.009
        for number in range(hosts):
            self.start(f'h{number}')
        self.announce(delay=0)

    @property
    def names(self) -> list[str]:
        """Return the hosts that are alive."""
        return list(self.hosts)

    @property
    def admitted(self) -> list[float]:
        """Return when requests were admitted."""
        return [due for due, is_admitted in self.log if is_admitted]

    @property
    def home(self) -> str:
        """Return the host that most hosts report to."""
        homes = [host.quotas.home_name for host in self.hosts.values()]
        return max(set(homes), key=homes.count)

    @property
    def others(self) -> list[str]:
        """Return all hosts but the home."""
        return [name for name in self.hosts if name != self.home]

    def run(self, seconds: float) -> None:
        """Run the events of a span."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])
        self.now = end

    def start(self, name: str) -> None:
        """Start a host that knows no other one yet."""
        host = Host(name, self.random.randrange(10**9), self.now, self._regions)
        self.hosts[name] = host
        self._install(host)
        self._expire(host)

    def tell(self, name: str) -> None:
        """Tell a host that is not advertised which ones are."""
        names = [other for other in self.hosts if other != name]
        self._announce_to(self.hosts[name], names, 0)

    def kill(self, name: str) -> None:
        """End a host; the others learn of it later."""
        self.hosts.pop(name)
        self.announce()

    def retire(self, name: str, seconds: float) -> None:
        """Stop a host as planned: it serves on while it is not advertised."""
        host = self.hosts.pop(name)
        self.announce()
        self.hosts[name] = host
        self._at(self.now + seconds, self.hosts.pop, name)

    def restart_all(self) -> None:
        """Restart all hosts at the same time; they learn of each other."""
        for name in self.names:
            self.start(name)
        for host in self.hosts.values():
            self._announce_to(host, [host.name], self.random.random() / 2)
            names = self.random.sample(self.names, len(self.hosts) // 3)
            self._announce_to(host, [*names, host.name], 1)
        self.announce()

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a host for a time; what arrives waits."""
        host = self.hosts[name]
        host.frozen_until = self.now + seconds
        self._at(host.frozen_until, self._advance, host)

    def cut(self, *names: str) -> None:
        """Cut off some hosts; only the others learn of it."""
        for name in names:
            host = self.hosts[name]
            host.group = 1
            host.table.control_search.since = self.now + NEWS_SECONDS
        others = [name for name in self.hosts if name not in names]
        for other in others:
            self._announce_to(self.hosts[other], others, NEWS_SECONDS)

    def heal(self) -> None:
        """End the cut."""
        for host in self.hosts.values():
            host.group = 0
            host.table.control_search.since = None
        self.announce()

    def set_quota(self, customer: Customer) -> None:
        """Replace the document; each host applies it within a second."""
        self.customers = (customer,)
        for host in self.hosts.values():
            due = self.now + self.random.random()
            self._at(due, self._install, host)

    def announce(self, delay: float = NEWS_SECONDS) -> None:
        """Tell all hosts which ones are alive, each within ``delay``."""
        for host in self.hosts.values():
            wait = delay * (0.7 + 0.3 * self.random.random())
            self._announce_to(host, self.names, wait)

    def send(
        self,
        rate: float,
        seconds: float,
        choose: Callable[[QuotaFleet], list[str]],
    ) -> None:
        """Send requests at random times to hosts that ``choose`` returns."""
        end = self.now + seconds
        due = self.now + self.random.expovariate(rate)
        while due < end:
            self._at(due, self.request, choose)
            due += self.random.expovariate(rate)
        self.run(seconds)

    def request(self, choose: Callable[[QuotaFleet], list[str]]) -> None:
        """Send one request to a random host that can take it."""
        able = [
            name
            for name in choose(self)
            if name in self.hosts and self.hosts[name].frozen_until <= self.now
        ]
        if able:
            host = self.hosts[self.random.choice(able)]
            decision = host.quotas.admit('c', self.now)
            self.log.append((self.now, decision.is_admitted))
            self._advance(host)

    def excess(self, rate: float, burst: float, since: float = 0) -> float:
        """Return the most admitted in a window beyond rate and burst."""
        times = [due for due in self.admitted if due >= since]
        most = 0
        first = 0
        for last, due in enumerate(times):
            while times[first] <= due - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most - (rate * WINDOW_SECONDS + burst)

    def refused_below(
        self, rate: float, burst: float, since: float = 0
    ) -> tuple[int, int]:
        """Return how many more one bucket would have admitted, and its total.

        The bucket is full at first, and empty at the time ``since``.
        """
        capacity = max(burst, 1.0)
        level = 0 if since else capacity
        last = since
        ideal = 0
        for due, _ in self.log:
            if due >= since:
                level = min(level + (due - last) * rate, capacity)
                last = due
                ideal += level >= 1
                level -= level >= 1
        admitted = sum(due >= since for due in self.admitted)
        return max(ideal - admitted, 0), ideal

    def _at(self, due: float, call: Callable[..., None], *details) -> None:
        event = (due, next(self._numbers), call, details)
        heapq.heappush(self._events, event)

    def _announce_to(self, host: Host, names: list[str], wait: float) -> None:
        records = [
            EntryRecord(name, name, f'd{int(name[1:]) // 3}', 'r')
            for name in names
        ]
        update = HostsUpdate({'c': 'd'}, records, False)
        update.sender = 'c'
        self._at(self.now + wait, self._tell, host, update)

    def _install(self, host: Host) -> None:
        host.table.document = Document(1, (), {}, LIMITS, self.customers)
        host.quotas.apply_document()
        self._advance(host)

    def _tell(self, host: Host, update: HostsUpdate) -> None:
        update_hosts(update, host.table, self.now)
        self._advance(host)

    def _expire(self, host: Host) -> None:
        if not host.group:
            host.table.drop_departed_hosts(self.now)
        self._at(self.now + EXPIRY_SECONDS, self._expire, host)

    def _advance(self, host: Host, timer: int | None = None) -> None:
        is_dead = self.hosts.get(host.name) is not host
        if is_dead or host.frozen_until > self.now:
            return
        if timer is None or timer == host.timer:
            self._execute(host, host.quotas.advance(self.now))
            host.timer += 1
            due = host.quotas.next_due(self.now)
            if due < NEVER:
                due = max(due, self.now)
                self._at(due, self._advance, host, host.timer)

    def _execute(self, host: Host, commands) -> None:
        for command in commands:
            if isinstance(command, SendPeer):
                command.message.sender = host.name
                self.sent_messages += 1
                delay = self.one_way_seconds * (1 + self.random.random())
                self._at(self.now + delay, self._deliver, host, command)

    def _deliver(self, sender: Host, command: SendPeer) -> None:
        host = self.hosts.get(command.host)
        if host is None or host.group != sender.group:
            return
        if host.frozen_until > self.now:
            due = host.frozen_until + 0.001
            self._at(due, self._deliver, sender, command)
        elif isinstance(command.message, QuotaUsage):
            commands = host.quotas.handle_usage(command.message, self.now)
            self._execute(host, commands)
        else:
            commands = host.quotas.handle_levels(command.message, self.now)
            self._execute(host, commands)
            self._advance(host)
