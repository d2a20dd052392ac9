"""Bound on the memory of what the connections of a host are receiving.

Each connection reports what it holds of messages that are not complete. Over
the limit, the connection that holds most is closed, so that one that receives
without end does not cost the others.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from snipejunction.commands import LogEvent
from snipejunction.edge.const import EVENT_RECEIVED_TOO_MUCH

# Memory of a stored header beyond its bytes on the wire: a pair of byte
# strings in a list.
HEADER_OVERHEAD_BYTES: Final = 176


class ReceiveAccount:
    """What one connection holds, in bytes."""

    __slots__ = ('_budget', 'close', 'held')

    def __init__(
        self, budget: ReceiveBudget, close: Callable[[str], None]
    ) -> None:
        """Create an empty account; ``close`` gets the reason."""
        self._budget = budget
        self.close = close
        self.held = 0

    def update(self, held: int) -> None:
        """Set what the connection holds; enforce the limit if it grew."""
        growth = held - self.held
        self.held = held
        self._budget.change(self, growth)


class ReceiveBudget:
    """Sum of the accounts of the connections of one kind."""

    __slots__ = ('_accounts', '_kind', '_limit', '_log', '_total')

    def __init__(
        self, kind: str, limit: int, log: Callable[[LogEvent], None]
    ) -> None:
        """Create an empty budget of ``limit`` bytes; logs name ``kind``."""
        self._kind = kind
        self._limit = limit
        self._log = log
        self._total = 0
        self._accounts: set[ReceiveAccount] = set()

    @property
    def total(self) -> int:
        """Return what all connections hold, in bytes."""
        return self._total

    def open(self, close: Callable[[str], None]) -> ReceiveAccount:
        """Return the empty account of a new connection."""
        return ReceiveAccount(self, close)

    def change(self, account: ReceiveAccount, growth: int) -> None:
        """Add a change of an account; close the largest over the limit."""
        self._total += growth
        if account.held:
            self._accounts.add(account)
        else:
            self._accounts.discard(account)
        while growth > 0 and self._total > self._limit:
            self._close_largest()

    def _close_largest(self) -> None:
        largest = max(self._accounts, key=lambda account: account.held)
        self._log(
            LogEvent(
                EVENT_RECEIVED_TOO_MUCH,
                kind=self._kind,
                held=largest.held,
                total=self._total,
                limit=self._limit,
            )
        )
        largest.close(f'all connections over {self._limit} bytes')
        # A connection that is closed gives up what it holds.
        largest.update(0)
