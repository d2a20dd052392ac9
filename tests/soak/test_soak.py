"""A short run of the soak, and the seeds that once failed."""

from __future__ import annotations

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from tests.soak.run import async_play

SECONDS = 8
LIMIT_SECONDS = 120


class SoakTest(TestCase):
    """Promises that hold while processes and connections fail."""

    def play(self, seed: int) -> None:
        """Play one seed within bounded time."""
        found = asyncio.run(
            asyncio.wait_for(async_play(seed, SECONDS), LIMIT_SECONDS),
        )
        self.assertThat(found, Equals([]))

    def test_mixed(self) -> None:
        """Kills, freezes, stops, losses and changes of all kinds."""
        self.play(4)

    def test_reset_at_once(self) -> None:
        """Connections that searchers reset as soon as they are open.

        Seed 1 once left attempts without an outcome: the connection was gone
        before the request could be written to it.
        """
        self.play(1)
