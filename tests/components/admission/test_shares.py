"""Tests of system-wide caller limits."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Final

from testtools import TestCase
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from snipejunction.components.admission import systems
from snipejunction.components.admission.coordinator import coordinator_in
from snipejunction.components.admission.messages import AdmissionReply
from snipejunction.components.admission.systems.admit import (
    release_slot,
    request_admission,
)
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.control.systems.addresses import rank_addresses
from snipejunction.const import (
    CODE_CONCURRENCY_LIMIT,
    CODE_FORBIDDEN,
    CODE_RATE_LIMIT,
)
from snipejunction.handling import handle
from snipejunction.messages import Message
from snipejunction.verdict import Verdict
from tests.virtual_hosts import VirtualHosts

HOSTS: Final = tuple('a0 b0 c0 a1 b1 c1 a2 b2 c2 a3 b3'.split())
CALLER = 'desk/scanner'
SERVICE = 'desk/lookup'
SYSTEMS = systems.SYSTEMS


class _Request(Message):
    """Request of a caller to a host."""

    __slots__ = ('caller', 'client')

    def __init__(self, client: _Client, caller: str = CALLER) -> None:
        self.client = client
        self.caller = caller


class _Reply(AdmissionReply):
    """Admission reply to a request of a client."""

    __slots__ = ('client',)

    def __init__(self, client: _Client, caller: str) -> None:
        super().__init__(caller, SERVICE)
        self.client = client


class _Client:
    """Client that counts admitted and refused requests.

    An admitted request stays open for ``open_seconds``.
    """

    def __init__(self, hosts: VirtualHosts, open_seconds: float = 0) -> None:
        self.hosts = hosts
        self.open_seconds = open_seconds
        self.admitted: list[tuple[float, str]] = []
        self.refused: Counter[str] = Counter()
        self.verdicts: set[Verdict] = set()
        self.open_count = 0
        self.max_open = 0

    def send_requests(self, name: str, rate: float, seconds: float) -> None:
        """Send requests to a host at a steady rate."""
        send = partial(self._send_request, name)
        for number in range(int(rate * seconds)):
            self.hosts.schedule.after(number / rate, send)

    def record(self, name: str, reply: _Reply) -> None:
        if reply.refusal is not None:
            self.refused[reply.refusal.code] += 1
            self.verdicts.add(reply.refusal.verdict)
            return
        self.admitted.append((self.hosts.now, name))
        self.open_count += 1
        self.max_open = max(self.max_open, self.open_count)
        self.hosts.schedule.after(
            self.open_seconds,
            lambda: self._finish(name, reply),
        )

    def admitted_between(self, start: float, end: float) -> int:
        return sum(start <= time < end for time, _ in self.admitted)

    def _send_request(self, name: str) -> None:
        self.hosts.receive(name, _Request(self))

    def _finish(self, name: str, reply: _Reply) -> None:
        self.open_count -= 1
        node = self.hosts.cores[name].node
        release_slot(node, reply.caller, SERVICE, self.hosts.now)


@handle.register
def _on_request(message: _Request, node, now):  # type: ignore[no-untyped-def]
    yield from request_admission(
        node, _Reply(message.client, message.caller), now
    )


@handle.register
def _on_reply(message: _Reply, node, now):  # type: ignore[no-untyped-def]
    message.client.record(node.name, message)
    return iter(())


def make_hosts(rate: float, concurrency: int, seed: int = 1) -> VirtualHosts:
    hosts = VirtualHosts(list(HOSTS), seed)
    limit = {'rate': rate, 'concurrency': concurrency}
    service = {'callers': {CALLER: limit}, 'deadline': 0.5}
    hosts.write_settings(1, {'/teams/desk/services/lookup': service})
    hosts.run(3)
    return hosts


def coordinator_of(hosts: VirtualHosts, name: str = 'a0') -> str:
    view = hosts.cores[name].node.view.current
    coordinator = coordinator_in(view, CALLER, SERVICE)
    assert coordinator is not None
    return coordinator


def held_rates(hosts: VirtualHosts) -> float:
    """Return the total rate of the valid shares."""
    total = 0.0
    for core in hosts.cores.values():
        account = core.node.admission.accounts.get((CALLER, SERVICE))
        if account is not None and account.remaining_seconds(hosts.now):
            total += account.rate
    return total


def held_slots(hosts: VirtualHosts) -> int:
    """Return the total concurrency of the valid shares."""
    total = 0
    for core in hosts.cores.values():
        account = core.node.admission.accounts.get((CALLER, SERVICE))
        if account is not None and account.remaining_seconds(hosts.now):
            total += account.slots
    return total


class AdmissionTest(TestCase):
    """Admission of single requests."""

    def test_first_request_waits_for_its_share(self) -> None:
        """A host without a share queues the request until it gets one."""
        hosts = make_hosts(rate=100, concurrency=10)
        client = _Client(hosts)
        for name in HOSTS:
            hosts.receive(name, _Request(client))
            hosts.run(0.2)
        self.assertThat(client.admitted, HasLength(11))
        self.assertThat(client.refused, Equals({}))

    def test_unknown_caller_is_refused_not_run(self) -> None:
        """A caller that is missing from the settings is forbidden."""
        hosts = make_hosts(rate=100, concurrency=10)
        client = _Client(hosts)
        hosts.receive(HOSTS[0], _Request(client, 'other/caller'))
        self.assertThat(client.refused, Equals({CODE_FORBIDDEN: 1}))
        self.assertThat(client.verdicts, Equals({Verdict.NOT_RUN}))

    def test_open_requests_are_bounded(self) -> None:
        """Requests above the concurrency are refused with NOT_RUN."""
        hosts = make_hosts(rate=1000, concurrency=4)
        client = _Client(hosts, open_seconds=0.3)
        for name in HOSTS:
            client.send_requests(name, rate=20, seconds=2)
        hosts.run(3)
        self.assertThat(client.max_open, LessThan(5))
        self.assertThat(client.max_open, GreaterThan(2))
        self.assertThat(client.refused[CODE_CONCURRENCY_LIMIT], GreaterThan(0))
        self.assertThat(client.verdicts, Equals({Verdict.NOT_RUN}))


class CoordinatorTest(TestCase):
    """Selection of the coordinator of a limit."""

    def test_coordinator_is_not_an_entry_host_of_its_caller(self) -> None:
        """The loss of a host affects a share or its coordinator, not both."""
        hosts = make_hosts(rate=100, concurrency=10)
        node = hosts.cores['a0'].node
        node.lifecycle.enter_phase(Phase.SERVING)
        coordinators: set[str | None] = set()
        for number in range(50):
            caller = f'team/caller{number}'
            name = coordinator_in(node.view.current, caller, SERVICE)
            coordinators.add(name)
            for region in 'abc':
                answer = rank_addresses(node, caller, region, hosts.now)
                self.assertThat(answer.hosts[0].name, Not(Equals(name)))
        self.assertThat(coordinators, Equals(set(HOSTS)))

    def test_single_host_is_coordinator(self) -> None:
        """A single host coordinates the limit although it is an entry host."""
        hosts = VirtualHosts(['a0'])
        view = hosts.cores['a0'].node.view.current
        self.assertThat(coordinator_in(view, CALLER, SERVICE), Equals('a0'))


class RateShareTest(TestCase):
    """Distribution of a rate limit over hosts."""

    def test_one_host_gets_nearly_the_whole_limit(self) -> None:
        """A caller that uses one of eleven hosts gets nearly its limit."""
        hosts = make_hosts(rate=200, concurrency=100)
        client = _Client(hosts, open_seconds=0.01)
        client.send_requests(HOSTS[3], rate=190, seconds=3)
        start = hosts.now
        hosts.run(3)
        served = client.admitted_between(start + 0.5, start + 2.5)
        self.assertThat(served, GreaterThan(0.98 * 190 * 2))

    def test_eleven_hosts_stay_below_the_limit(self) -> None:
        """Load of three times the limit on all hosts is cut to the limit."""
        for seed in range(3):
            hosts = make_hosts(rate=200, concurrency=1000, seed=seed)
            client = _Client(hosts, open_seconds=0.01)
            start = hosts.now
            for name in HOSTS:
                client.send_requests(name, rate=600 / 11, seconds=4)
            hosts.run(4)
            total = client.admitted_between(start, start + 4)
            # Bursts allow 0.1 s of the rate and one request on each host.
            self.assertThat(total, LessThan(200 * 4 + 20 + 11 + 1))
            served = client.admitted_between(start + 1, start + 4)
            self.assertThat(served, GreaterThan(0.9 * 200 * 3))
            self.assertThat(client.refused[CODE_RATE_LIMIT], GreaterThan(0))

    def test_share_follows_load_to_another_host(self) -> None:
        """A caller that switches hosts gets its share on the new host."""
        hosts = make_hosts(rate=200, concurrency=100)
        client = _Client(hosts, open_seconds=0.01)
        client.send_requests(HOSTS[0], rate=180, seconds=2)
        hosts.run(2)
        client.send_requests(HOSTS[5], rate=180, seconds=2)
        start = hosts.now
        hosts.run(2)
        served = client.admitted_between(start + 1, start + 2)
        self.assertThat(served, GreaterThan(0.95 * 180))

    def test_caller_that_returns_later_gets_a_share(self) -> None:
        """Share requests are accepted after an account was removed."""
        hosts = make_hosts(rate=200, concurrency=100)
        client = _Client(hosts, open_seconds=0.01)
        client.send_requests(HOSTS[3], rate=50, seconds=2)
        # Another host keeps the pool of the coordinator alive.
        client.send_requests(HOSTS[4], rate=20, seconds=12)
        hosts.run(10)
        client.send_requests(HOSTS[3], rate=50, seconds=2)
        hosts.run(3)
        self.assertThat(client.refused, Equals({}))
        self.assertThat(client.admitted, HasLength(440))


class PartitionTest(TestCase):
    """Limits during partitions, coordinator changes and message loss."""

    def test_shares_never_exceed_the_limit(self) -> None:
        """Lost, duplicate and late messages never raise the sum of shares."""
        for seed in range(4):
            hosts = make_hosts(rate=100, concurrency=20, seed=seed)
            hosts.loss_rate = 0.1
            hosts.duplicate_rate = 0.2
            hosts.max_extra_delay = 0.15
            client = _Client(hosts, open_seconds=0.05)
            for index, name in enumerate(HOSTS):
                client.send_requests(name, rate=5 + 5 * (index % 4), seconds=6)
            for _ in range(120):
                hosts.run(0.05)
                self.assertThat(held_rates(hosts), LessThan(100 + 1e-6))
                self.assertThat(held_slots(hosts), LessThan(21))
            self.assertThat(client.admitted, Not(HasLength(0)))
            self.assertThat(client.max_open, LessThan(21))

    def test_new_coordinator_allows_for_the_shares_of_the_old(self) -> None:
        """Shares of a partitioned coordinator expire before new grants."""
        for seed in range(4):
            hosts = make_hosts(rate=100, concurrency=20, seed=seed)
            client = _Client(hosts, open_seconds=0.05)
            for name in HOSTS:
                client.send_requests(name, rate=20, seconds=10)
            hosts.run(1.3)
            old = coordinator_of(hosts)
            hosts.isolated.add(old)
            others = [name for name in HOSTS if name != old]
            cut_at = hosts.now
            # The other hosts wait for the lease of the old coordinator to
            # expire, with a margin.
            show = partial(
                hosts.install_view,
                2,
                others,
                is_settled=False,
                to=others,
            )
            hosts.schedule.after(2.1, show)
            settle = partial(hosts.settle_view, 2, others)
            hosts.schedule.after(2.2, settle)
            for _ in range(120):
                hosts.run(0.05)
                self.assertThat(held_rates(hosts), LessThan(100 + 1e-6))
                self.assertThat(held_slots(hosts), LessThan(21))
            self.assertThat(coordinator_of(hosts, others[0]), Not(Equals(old)))
            late = client.admitted_between(cut_at + 3.5, cut_at + 5.5)
            self.assertThat(late, GreaterThan(0.85 * 100 * 2))
            self.assertThat(client.max_open, LessThan(21))

    def test_cut_off_host_stops_with_its_share(self) -> None:
        """A host without a reachable coordinator stops admitting requests."""
        hosts = make_hosts(rate=100, concurrency=20)
        client = _Client(hosts, open_seconds=0.05)
        name = next(host for host in HOSTS if host != coordinator_of(hosts))
        client.send_requests(name, rate=50, seconds=6)
        hosts.run(1)
        hosts.isolated.add(name)
        cut_at = hosts.now
        hosts.run(5)
        self.assertThat(
            client.admitted_between(cut_at + 2.1, cut_at + 5),
            Equals(0),
        )
