"""Bound on the memory of what the connections of a host are receiving.

Each connection reports what it holds of messages that are not complete. Over
the limit, the connection that holds most is closed, so that one that receives
without end does not cost the others. Whole messages count, too, but no
connection is closed for them.
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

    __slots__ = ('_budget', 'close', 'held', 'whole')

    def __init__(
        self, budget: ReceiveBudget, close: Callable[[str], None]
    ) -> None:
        """Create an empty account; ``close`` gets the reason."""
        self._budget = budget
        self.close = close
        self.held = 0
        self.whole = 0

    def update(self, held: int, whole: int = 0) -> None:
        """Set what the connection holds; enforce the limit if it grew.

        ``held`` is what closing the connection would free, and ``whole`` what
        whole messages take until they are handled.
        """
        growth = held + whole - self.held - self.whole
        self.held = held
        self.whole = whole
        self._budget.change(self, growth)

    def release(self) -> None:
        """Empty the account of a connection that is closed."""
        self.update(0)
        self.close = _ignore


class ReceiveBudget:
    """Sum of the accounts of the connections of one kind."""

    __slots__ = ('_accounts', '_kind', '_total', 'limit', 'log')

    def __init__(
        self, kind: str, limit: int, log: Callable[[LogEvent], None]
    ) -> None:
        """Create an empty budget of ``limit`` bytes; logs name ``kind``."""
        self._kind = kind
        self.limit = limit
        self.log = log
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
        while growth > 0 and self._total > self.limit and self._accounts:
            self._close_largest()

    def _close_largest(self) -> None:
        largest = max(self._accounts, key=lambda account: account.held)
        self.log(
            LogEvent(
                EVENT_RECEIVED_TOO_MUCH,
                kind=self._kind,
                held=largest.held,
                total=self._total,
                limit=self.limit,
            )
        )
        largest.close(f'all connections over {self.limit} bytes')
        # A connection that is closed gives up what it holds.
        largest.update(0, largest.whole)


def _ignore(reason: str) -> None:
    """Do nothing: the connection is closed."""
