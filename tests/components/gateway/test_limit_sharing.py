"""Tests of the hosts among which bounds are shared."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.deployment.messages import EntryRecord
from snipejunction.components.gateway.const import (
    DEPARTED_HOST_SECONDS,
    MIN_ADVERTISED_SECONDS,
)
from snipejunction.components.gateway.limit_sharing import LimitSharing

_START = 100.0


class DepartedHostsTest(TestCase):
    """Hosts that are no longer advertised."""

    def setUp(self) -> None:
        super().setUp()
        self.sharing = LimitSharing('h0')
        self.advertise(_START, 'h0', 'h1', 'h2')

    def advertise(self, now: float, *names: str) -> None:
        """Replace the advertised hosts."""
        active = {name: EntryRecord(name, name, 'd', 'r') for name in names}
        self.sharing.replace_active(active, now)
        self.sharing.drop_departed(now)

    def test_counts_for_a_while(self) -> None:
        """A host that had callers keeps its share until they are gone."""
        departed_at = _START + 60
        self.advertise(departed_at, 'h0', 'h1')
        self.assertThat(self.sharing.host_count, Equals(3))
        self.sharing.drop_departed(departed_at + DEPARTED_HOST_SECONDS - 1)
        self.assertThat(self.sharing.host_count, Equals(3))
        self.sharing.drop_departed(departed_at + DEPARTED_HOST_SECONDS)
        self.assertThat(self.sharing.host_count, Equals(2))

    def test_own_share_after_departure(self) -> None:
        """A host keeps its own share as long as the others count it."""
        departed_at = _START + 60
        self.advertise(departed_at, 'h1', 'h2')
        self.assertTrue(self.sharing.has_share)
        self.sharing.drop_departed(departed_at + DEPARTED_HOST_SECONDS)
        self.assertFalse(self.sharing.has_share)

    def test_advertised_briefly(self) -> None:
        """Lists that change while hosts start leave no shares behind."""
        self.advertise(_START + 60, 'h0', 'h3')
        self.advertise(_START + 60 + MIN_ADVERTISED_SECONDS / 2, 'h0', 'h4')
        # h3 is gone; h1 and h2 had callers.
        self.assertThat(self.sharing.host_count, Equals(4))

    def test_returns_briefly(self) -> None:
        """A host that returns and departs again still has its callers."""
        self.advertise(_START + 60, 'h0', 'h1')
        self.advertise(_START + 61, 'h0', 'h1', 'h2')
        self.advertise(_START + 61.5, 'h0', 'h1')
        self.assertThat(self.sharing.host_count, Equals(3))
