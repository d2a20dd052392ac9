"""Reads of roll-outs at a control host."""

from __future__ import annotations

import time
from asyncio import AbstractEventLoop
from typing import Final

from snipejunction.components.deployment.messages import (
    ReadRequest,
    ReadResult,
)
from snipejunction.components.rollouts import systems
from snipejunction.components.rollouts.messages import RolloutRecord
from snipejunction.edge.orders import Call
from snipejunction.node import Node

SYSTEMS: Final = systems


class RolloutCalls:
    """Passes calls about roll-outs to the core of a control host."""

    __slots__ = ('_call', '_loop', '_node')

    def __init__(self, node: Node, call: Call, loop: AbstractEventLoop) -> None:
        """Create calls; ``call`` submits a message and waits for its answer."""
        self._node = node
        self._call = call
        self._loop = loop

    def start(self, is_in_force: bool) -> None:
        """Note the start of this process and whether there are roll-outs."""
        table = self._node.rollouts
        table.is_in_force = is_in_force
        table.up_since = self._loop.time()
        table.unix_offset = time.time() - table.up_since

    async def async_has_service(self, service: str) -> bool | None:
        """Return whether a service has a version or announced searchers.

        Return None if that is unknown, since this host hears no leader.
        """
        if self._has_service(service):
            return True
        # This host may not have applied the whole log yet.
        records = await self.async_read()
        return None if records is None else self._has_service(service)

    async def async_read(self) -> dict[str, RolloutRecord] | None:
        """Return the roll-outs by service, None if they are unconfirmed."""
        answer = await self._call(ReadRequest)
        if not isinstance(answer, ReadResult) or answer.content is None:
            return None
        # This host has applied the log up to the confirmed index.
        return self._node.deployment.state.rollouts.records

    def _has_service(self, service: str) -> bool:
        if service in self._node.deployment.state.rollouts.versions:
            return True
        return any(
            known.record.service == service
            for known in self._node.registration.searchers.values()
        )
