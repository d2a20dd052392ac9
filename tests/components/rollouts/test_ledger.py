"""Tests of what one host may send to a target."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.ledger import Ledger


def most_sends(ledger: Ledger, hosts: int, position: int | None) -> int:
    """Return how many sends to the target the ledger allows."""
    bounds = ExposureBounds(0.1, 50, 5)
    sends = 0
    while ledger.may_send_to_target(bounds, hosts, position):
        ledger.count_target(0)
        sends += 1
    return sends


class LedgerTest(TestCase):
    """A share of 0.1 and a slack of 50, six tenths of which are used."""

    def test_share(self) -> None:
        """Sends to the target are a share of all sends of this host."""
        ledger = Ledger()
        self.assertThat(most_sends(ledger, 1, None), Equals(0))
        ledger.current_answered = 940
        self.assertThat(most_sends(ledger, 1, None), Equals(60))

    def test_slack(self) -> None:
        """The first hosts use what cannot be shared equally."""
        for hosts, expected in ((8, 30), (30, 30), (80, 30)):
            sends = [
                most_sends(Ledger(), hosts, position)
                for position in range(hosts)
            ]
            self.assertThat(sum(sends), Equals(expected), str(hosts))

    def test_hosts_gone(self) -> None:
        """The part of a host that is gone goes to no other."""
        ledger = Ledger()
        most_sends(ledger, 30, None)
        self.assertThat(most_sends(ledger, 1, 0), Equals(1))
        self.assertThat(most_sends(ledger, 1, 0), Equals(0))

    def test_tries_are_spread(self) -> None:
        """A try of the target is due some time after the last one."""
        ledger = Ledger()
        due = [ledger.is_try_due(5)]
        ledger.count_target(5)
        due += [ledger.is_try_due(5.05), ledger.is_try_due(5.15)]
        self.assertThat(due, Equals([True, False, True]))
