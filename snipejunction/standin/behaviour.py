"""Delays and faults of a stand-in, which may be changed at any time."""

from __future__ import annotations

from random import Random

from snipejunction.helpers.records import Record


class Behaviour(Record):
    """Delays in seconds and the faults that are switched on."""

    __slots__ = (
        '_random',
        'delay',
        'is_shedding',
        'jitter',
        'straggler_factor',
        'straggler_share',
    )

    def __init__(
        self,
        delay: float = 0.002,
        jitter: float = 0.002,
        straggler_share: float = 0,
        straggler_factor: float = 1,
        seed: int = 0,
    ) -> None:
        """Create a behaviour without faults."""
        self.delay = delay
        self.jitter = jitter
        self.straggler_share = straggler_share
        self.straggler_factor = straggler_factor
        self.is_shedding = False
        self._random = Random(seed)

    def next_delay(self) -> float:
        """Return the duration of the next request in seconds."""
        delay = self.delay + self.jitter * self._random.random()
        if self._random.random() < self.straggler_share:
            return delay * self.straggler_factor
        return delay
