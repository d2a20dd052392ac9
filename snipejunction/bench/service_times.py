"""Service times of fake searchers under load."""

from __future__ import annotations

from random import Random
from typing import Final

from snipejunction.bench.fake_upstream import FakeUpstream, ServiceTime

MIN_STRAGGLER_FACTOR: Final = 10
MAX_STRAGGLER_FACTOR: Final = 50


class ContendedTime:
    """Service times that grow once requests exceed the slots.

    A searcher with twice as many requests as slots serves each half as fast.
    """

    __slots__ = ('_base', '_straggler_share', '_upstream')

    def __init__(
        self,
        upstream: FakeUpstream,
        base: ServiceTime,
        straggler_share: float,
    ) -> None:
        """Create service times for ``upstream``.

        A ``straggler_share`` of them is 10 to 50 times longer.
        """
        self._upstream = upstream
        self._base = base
        self._straggler_share = straggler_share

    def __call__(self, random: Random) -> float:
        """Return a service time in seconds."""
        seconds = self._base(random)
        if random.random() < self._straggler_share:
            seconds *= random.uniform(
                MIN_STRAGGLER_FACTOR,
                MAX_STRAGGLER_FACTOR,
            )
        slot_load = self._upstream.running / self._upstream.slots
        return seconds * max(1, slot_load)
