"""Bound on answers that callers do not read."""

from __future__ import annotations

import asyncio

from snipejunction.edge.gateway.refusals import REASON_UNREAD, RefusalCounts
from snipejunction.edge.receive_budget import ReceiveBudget


class UnreadAnswers:
    """Answers that wait in the write buffer of one connection.

    The connection is aborted if its caller reads nothing for long, or if it
    holds most of all while all together hold too much.
    """

    __slots__ = (
        '_account',
        '_refusals',
        '_since',
        '_transport',
        '_unsent_bytes',
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: ReceiveBudget,
        refusals: RefusalCounts,
        now: float,
    ) -> None:
        """Create the bound of a connection opened at ``now``."""
        self._transport = transport
        self._refusals = refusals
        self._account = budget.open(self._abort)
        # What the buffer would hold if nothing were read.
        self._unsent_bytes = 0
        # Since when nothing was read.
        self._since = now

    def add(self, written: int) -> None:
        """Account for an answer of ``written`` bytes."""
        self._unsent_bytes += written
        self.update()

    def update(self) -> None:
        """Account for what the buffer holds."""
        self._account.update(self._transport.get_write_buffer_size())

    def check(self, now: float, max_seconds: float) -> None:
        """Abort if the caller has read nothing for ``max_seconds``."""
        unsent = self._transport.get_write_buffer_size()
        if unsent < self._unsent_bytes or not unsent:
            self._since = now
        self._unsent_bytes = unsent
        self.update()
        if now > self._since + max_seconds:
            self._abort('not read')

    def release(self) -> None:
        """Empty the account of a connection that is closed."""
        self._account.release()

    def _abort(self, reason: str) -> None:
        self._refusals.add(REASON_UNREAD)
        self._transport.abort()
