"""Replica choice, hedging and retries of the baseline policies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Final, Protocol

FIXED_HEDGE_SECONDS: Final = 0.05
FIXED_RETRIES: Final = 2


class ReplicaRules(Protocol):
    """Rules by which a host without owners sends its sub-requests."""

    @property
    def name(self) -> str:
        """Return the name of the policy in reports."""

    @property
    def hedge_seconds(self) -> float:
        """Return the delay before the only hedge, zero for no hedge."""

    @property
    def retries(self) -> int:
        """Return how many times a failed sub-request is retried."""

    def choose(
        self,
        replicas: Sequence[str],
        outstanding: Counter[str],
        random: Random,
    ) -> str:
        """Return the replica for a sub-request.

        ``outstanding`` counts the open sub-requests of the host by replica.
        """


class RandomReplicas:
    """Baseline (a): random replica, no hedge, no retries, no limits."""

    __slots__ = ()

    name: Final = 'random'
    hedge_seconds: Final = 0.0
    retries: Final = 0

    def choose(
        self,
        replicas: Sequence[str],
        outstanding: Counter[str],
        random: Random,
    ) -> str:
        """Return a random replica."""
        return random.choice(replicas)


class LeastOutstanding:
    """Baseline (b): least loaded replica, fixed hedge, fixed retries."""

    __slots__ = ()

    name: Final = 'least outstanding'
    hedge_seconds: Final = FIXED_HEDGE_SECONDS
    retries: Final = FIXED_RETRIES

    def choose(
        self,
        replicas: Sequence[str],
        outstanding: Counter[str],
        random: Random,
    ) -> str:
        """Return a random one of the replicas with the fewest sub-requests."""
        least = min(outstanding[name] for name in replicas)
        least_loaded = [name for name in replicas if outstanding[name] == least]
        return random.choice(least_loaded)
