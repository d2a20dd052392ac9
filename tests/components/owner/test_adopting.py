"""Tests of the registration of searchers."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.owner.const import BASELINE_TTL_SECONDS
from snipejunction.components.owner.searcher import searcher_key
from tests.components.owner.harness import SERVICE, OwnerRun, announcement
from tests.components.owner.test_announcing import Announcer

_OTHER_SERVICE = 'toys/loans'
_BASELINE_SECONDS = 0.02


class BaselineTest(TestCase):
    """New searchers start with the baseline of their service."""

    def setUp(self) -> None:
        """Register one warm searcher."""
        super().setUp()
        self.owners = OwnerRun()
        self.owners.set_settings(
            {
                '/teams/toys/services/catalogue': {},
                '/teams/toys/services/loans': {},
            },
        )
        self.announce('s1')
        self.set_baseline('s1', _BASELINE_SECONDS)
        self.owners.advance(BASELINE_TTL_SECONDS)

    def set_baseline(self, name: str, baseline: float) -> None:
        """Set the baseline of a searcher in seconds."""
        self.owners.searcher(name).warmth.restore(1, baseline)

    def announce(self, name: str, service: str = SERVICE) -> float | None:
        """Register a searcher and return its initial baseline."""
        sent = announcement(searcher=name, service=service, boot_id=name)
        Announcer(self.owners).announce('h1', sent)
        key = searcher_key(service, name)
        return self.owners.node().owner.searchers[key].warmth.baseline

    def test_only_of_the_same_service(self) -> None:
        """The baseline of another service is not used."""
        self.assertThat(self.announce('s2'), Equals(_BASELINE_SECONDS))
        other = self.announce('s2', _OTHER_SERVICE)
        self.assertThat(other, Equals(None))

    def test_cached(self) -> None:
        """The median is not computed again for each new searcher."""
        self.announce('s2')
        self.set_baseline('s1', 2 * _BASELINE_SECONDS)
        self.set_baseline('s2', 2 * _BASELINE_SECONDS)
        self.assertThat(self.announce('s3'), Equals(_BASELINE_SECONDS))

    def test_updated_after_expiry(self) -> None:
        """Once the cached baseline expires, a new median is used."""
        self.announce('s2')
        self.set_baseline('s1', 2 * _BASELINE_SECONDS)
        self.set_baseline('s2', 2 * _BASELINE_SECONDS)
        self.owners.advance(BASELINE_TTL_SECONDS)
        self.assertThat(self.announce('s3'), Equals(2 * _BASELINE_SECONDS))
