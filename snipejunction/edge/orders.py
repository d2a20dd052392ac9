"""Orders of operators and searchers to a control host.

A host may stand still between any two steps, and an order may wait meanwhile
in a socket, a queue or a log, until its sender has left and newer orders have
been acknowledged. So an order takes the revision of its subject first; then it
is checked that the sender still waits, so that all its later orders have later
revisions; and the log applies it only if that revision is still in force.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial, singledispatch
from typing import Final, TypeAlias

from snipejunction.commands import Command
from snipejunction.components.consensus.conditional import ConditionalEntry
from snipejunction.components.deployment.messages import (
    OrderEntry,
    OrderRequest,
    OrderResult,
)
from snipejunction.components.registration.messages import (
    DepartureRequest,
    SearcherAnnounced,
    SearcherLeft,
)
from snipejunction.messages import Message
from snipejunction.node import Node

Call: TypeAlias = Callable[
    [Callable[[int], Message]], Awaitable[Command | None]
]
IsWaiting: TypeAlias = Callable[[], bool]
# Time after which an overtaken order is not tried again, in seconds: senders
# try another host after one second.
_RETRY_SECONDS: Final = 0.85
# Bytes that a link delayed arrive before the end of their connection, which
# follows within a round trip.
_SETTLE_SECONDS: Final = 0.02


class OrderCalls:
    """Passes orders to the core of a control host."""

    __slots__ = ('_call', '_loop', '_node')

    def __init__(
        self, node: Node, call: Call, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Create calls; ``call`` submits a message and waits for its answer."""
        self._node = node
        self._call = call
        self._loop = loop

    async def async_send(
        self, entry: OrderEntry, is_waiting: IsWaiting
    ) -> OrderResult | None:
        """Commit an order; return None if the outcome is unknown.

        ``is_waiting`` returns whether the sender waits for the answer at the
        moment of the call. If it does not, the order is dropped.
        """
        # Each base has to be older than the check that follows it.
        based_entry = self._with_base(entry, 0)
        await asyncio.sleep(_SETTLE_SECONDS)
        end = self._loop.time() + _RETRY_SECONDS
        while is_waiting() and self._loop.time() < end:
            answer = await self._call(partial(OrderRequest, entry=based_entry))
            if not isinstance(answer, OrderResult):
                return None
            if not answer.overtaken_by:
                return answer
            based_entry = self._with_base(entry, answer.overtaken_by)
        return None

    async def async_depart(
        self, notice: SearcherAnnounced | SearcherLeft, is_waiting: IsWaiting
    ) -> bool:
        """Commit a departure; return True only if it is known to be."""
        if not _names_start(notice):
            # The id may belong to a later start by now.
            await asyncio.sleep(_SETTLE_SECONDS)
            if not is_waiting():
                return False
        answer = await self._call(partial(DepartureRequest, notice=notice))
        return isinstance(answer, OrderResult) and answer.is_accepted

    def _with_base(self, entry: OrderEntry, revision: int) -> OrderEntry:
        if not isinstance(entry, ConditionalEntry):
            return entry
        known = self._node.deployment.state.revisions.of(entry.subject)
        return entry.with_base(max(known, revision))


@singledispatch
def _names_start(notice: Message) -> bool:
    """Return whether a notice says which start of the searcher leaves."""
    raise TypeError(f'{type(notice).__name__} is not about a departure')


@_names_start.register
def _announcement_names_start(notice: SearcherAnnounced) -> bool:
    return bool(notice.searcher.born_ms)


@_names_start.register
def _end_names_start(notice: SearcherLeft) -> bool:
    return notice.born_ms is not None
