"""Tests of quotas over all entry hosts, in virtual time.

Requests come at random times, without repeats, to random ones of the named
hosts. What is admitted beyond a quota is measured in any window of 5 s, what
is refused below it against one bucket that sees all requests at once.
"""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from snipejunction.components.gateway.document import Customer
from tests.components.quotas.fleet import QuotaFleet

HOSTS = 18
# Rates and bursts of customers.
QUOTAS = ((10, 10), (30, 0), (5, 50), (1, 2), (0.2, 0))
LARGE_AND_SMALL = QUOTAS[:2] + QUOTAS[3:4]


def one_host(fleet: QuotaFleet) -> list[str]:
    """Choose the same host each time."""
    return ['h3']


def all_hosts(fleet: QuotaFleet) -> list[str]:
    """Choose among all hosts."""
    return fleet.names


def moving(fleet: QuotaFleet) -> list[str]:
    """Choose another host each second."""
    return [f'h{int(fleet.now) % HOSTS}']


def hidden_host(fleet: QuotaFleet) -> list[str]:
    """Choose a host that is not advertised."""
    return ['h99']


def make_customer(rate: float, burst: float) -> Customer:
    """Return a customer with a quota."""
    return Customer('c', frozenset(), rate=rate, burst=burst)


class QuotaCase(TestCase):
    """Base class with a fleet that has run for a while."""

    def open(self, rate: float, burst: float) -> QuotaFleet:
        fleet = QuotaFleet(HOSTS)
        self.rate = rate
        self.burst = burst
        fleet.set_quota(make_customer(rate, burst))
        fleet.run(20)
        return fleet

    def send(self, fleet: QuotaFleet, factor: float, seconds: float) -> None:
        """Send a multiple of the rate to all hosts."""
        fleet.send(self.rate * factor, seconds, all_hosts)

    def assert_within(self, fleet: QuotaFleet, since: float = 0) -> None:
        """Check that no window has more than one request ahead a host."""
        excess = fleet.excess(self.rate, self.burst, since)
        bound = HOSTS + self.rate * 0.1
        self.assertThat(excess, LessThan(bound + 1e-6), self.rate)

    def assert_served(
        self, fleet: QuotaFleet, share: float, since: float = 0
    ) -> None:
        """Check the share of requests below the quota that were refused."""
        refused, owed = fleet.refused_below(self.rate, self.burst, since)
        self.assertThat(refused, LessThan(owed * share + 1), self.rate)


class LoadTest(QuotaCase):
    """Loads without any fault."""

    def assert_load(self, factor: float, share: float, choose) -> None:
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            fleet.send(rate * factor, 60, choose)
            self.assert_within(fleet)
            self.assert_served(fleet, share)

    def test_hot_on_one_host(self) -> None:
        """Five times the rate, all at one host."""
        self.assert_load(5, 0, one_host)

    def test_hot_on_all_hosts(self) -> None:
        """Five times the rate at all hosts."""
        self.assert_load(5, 0, all_hosts)

    def test_hot_and_moving(self) -> None:
        """Five times the rate at one host, another one each second."""
        self.assert_load(5, 0.1, moving)

    def test_exact_rate(self) -> None:
        """The rate itself, at one host, at all, and moving each second."""
        for choose in (one_host, all_hosts, moving):
            self.assert_load(1, 0.01, choose)

    def test_many_hosts(self) -> None:
        """Five times the rate of small customers, spread over 70 hosts.

        Hosts that hear of a customer rarely know in time that it has no more.
        """
        for rate, burst in ((1.3, 1), (3, 3)):
            fleet = QuotaFleet(70)
            fleet.set_quota(make_customer(rate, burst))
            fleet.run(20)
            fleet.send(rate * 5, 20, all_hosts)
            allowed = (rate * 5 + burst) * 0.1 + 20
            excess = fleet.excess(rate, burst)
            self.assertThat(excess, LessThan(allowed), rate)
            refused, owed = fleet.refused_below(rate, burst)
            self.assertThat(refused, LessThan(owed * 0.1 + 1), rate)

    def test_slow_network(self) -> None:
        """The rate itself at all hosts; answers take 0.2 to 0.4 s."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            fleet.one_way_seconds = 0.1
            self.send(fleet, 1, 60)
            self.assert_within(fleet)
            self.assert_served(fleet, 0.02)

    def test_host_that_is_not_advertised(self) -> None:
        """Half the rate at a host that has no part."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            fleet.start('h99')
            fleet.tell('h99')
            fleet.run(3)
            fleet.send(rate / 2, 60, hidden_host)
            self.assert_within(fleet)
            self.assert_served(fleet, 0.05)


class FaultTest(QuotaCase):
    """Five times the rate at all hosts, with faults."""

    def halve_quota(self, fleet: QuotaFleet) -> None:
        self.rate /= 2
        self.burst /= 2
        fleet.set_quota(make_customer(self.rate, self.burst))

    def test_lowered(self) -> None:
        """A halved quota binds a window after all hosts have applied it."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            self.send(fleet, 5, 20)
            self.halve_quota(fleet)
            lowered_at = fleet.now + 1
            self.send(fleet, 10, 30)
            self.assert_within(fleet, lowered_at)
            self.assert_served(fleet, 0.05, lowered_at)

    def test_home_dies_while_lowering(self) -> None:
        """The home dies while some hosts have the lower quota."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            self.send(fleet, 5, 20)
            self.halve_quota(fleet)
            fleet.run(0.3)
            fleet.kill(fleet.home)
            lowered_at = fleet.now + 1
            self.send(fleet, 10, 30)
            self.assert_within(fleet, lowered_at)

    def test_home_dies(self) -> None:
        """The home dies, or it stops as planned."""
        for rate, burst in QUOTAS:
            for is_planned in (False, True):
                fleet = self.open(rate, burst)
                self.send(fleet, 5, 20)
                if is_planned:
                    fleet.retire(fleet.home, 4)
                else:
                    fleet.kill(fleet.home)
                self.send(fleet, 5, 20)
                self.assert_within(fleet)

    def test_home_dies_at_half_the_rate(self) -> None:
        """The hosts' own parts and the next home serve a usual load."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            self.send(fleet, 0.5, 20)
            fleet.kill(fleet.home)
            self.send(fleet, 0.5, 40)
            self.assert_within(fleet)
            self.assert_served(fleet, 0.03)

    def test_freeze(self) -> None:
        """A host with a lease, or the home, freezes and wakes."""
        for rate, burst in LARGE_AND_SMALL:
            for seconds in (0.7, 3, 8):
                for is_home in (False, True):
                    fleet = self.open(rate, burst)
                    self.send(fleet, 5, 20)
                    frozen = fleet.home if is_home else fleet.others[0]
                    fleet.freeze(frozen, seconds)
                    self.send(fleet, 5, 20)
                    self.assert_within(fleet)

    def test_cut_in_two(self) -> None:
        """A third of the hosts is cut off, also past their departure."""
        for rate, burst in LARGE_AND_SMALL:
            for seconds in (10, 40):
                for has_home in (False, True):
                    fleet = self.open(rate, burst)
                    self.send(fleet, 5, 20)
                    side = fleet.others[:5]
                    side.append(fleet.home if has_home else fleet.others[5])
                    fleet.cut(*side)
                    self.send(fleet, 5, seconds)
                    fleet.heal()
                    self.send(fleet, 5, 20)
                    # What the smaller side uses of its parts then.
                    bound = HOSTS + rate
                    excess = fleet.excess(rate, burst)
                    self.assertThat(excess, LessThan(bound), rate)
                    self.assertThat(bound, LessThan(20 + burst / 10 + rate))

    def test_all_restarted(self) -> None:
        """All hosts restart at once and learn of each other step by step."""
        for rate, burst in QUOTAS:
            fleet = self.open(rate, burst)
            self.send(fleet, 5, 20)
            fleet.restart_all()
            self.send(fleet, 5, 20)
            self.assert_within(fleet)
            self.assertThat(len(fleet.admitted), GreaterThan(rate * 30))


class AccountTest(QuotaCase):
    """Single requests, and what is kept of customers."""

    def test_given_back(self) -> None:
        """Requests that have not run do not use up the quota."""
        fleet = self.open(1, 5)
        for _ in range(100):
            fleet.request(one_host)
            self.assertTrue(fleet.log[-1][-1])
            fleet.hosts['h3'].quotas.give_back('c', fleet.now)
            fleet.run(0.1)

    def test_burst_at_once(self) -> None:
        """A rested customer may send its whole burst to one host at once."""
        fleet = self.open(10, 20)
        fleet.request(one_host)
        fleet.run(2)
        for _ in range(30):
            fleet.request(one_host)
        self.assertThat(len(fleet.admitted), Equals(22))

    def test_repeats_are_spread(self) -> None:
        """Each further refusal names a later time, up to a bound."""
        fleet = self.open(10, 1)
        fleet.request(one_host)
        fleet.run(0.1)
        quotas = fleet.hosts['h3'].quotas
        decisions = [quotas.admit('c', fleet.now) for _ in range(100)]
        waits = [decision.wait for decision in decisions[10:]]
        self.assertThat(waits, Equals(sorted(waits)))
        self.assertThat(waits[5] - waits[0], GreaterThan(0.4))
        self.assertThat(waits[-1], LessThan(3))

    def test_removed_customer(self) -> None:
        """Nothing is kept of a customer that a newer document removes."""
        fleet = self.open(1, 5)
        self.send(fleet, 1, 10)
        fleet.set_quota(Customer('d', frozenset(), rate=1))
        fleet.run(2)
        for host in fleet.hosts.values():
            quotas = host.quotas
            kept = quotas.spending_count + quotas.home.bucket_count
            self.assertThat(kept, Equals(0))

    def test_no_quotas(self) -> None:
        """Without a quota nothing is refused and no message is sent."""
        fleet = QuotaFleet(HOSTS)
        fleet.set_quota(Customer('c', frozenset()))
        fleet.send(100, 10, all_hosts)
        self.assertThat(len(fleet.admitted), Equals(len(fleet.log)))
        self.assertThat(fleet.sent_messages, Equals(0))
