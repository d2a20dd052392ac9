"""Announces a stand-in searcher to entry hosts and renews it."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from snipejunction.const import SEARCHER_LEAVING, SEARCHER_READY
from snipejunction.standin import catalogue
from snipejunction.standin.searcher import Searcher

_RETRY_SECONDS: Final = 0.1
_TIMEOUT_SECONDS: Final = 5.0
_OK: Final = 200


class Announcer:
    """Announces one searcher; switches to the next host on failure."""

    __slots__ = (
        '_hosts',
        '_searcher',
        '_sequence',
        '_session',
        '_token',
        '_host_index',
    )

    def __init__(
        self,
        searcher: Searcher,
        hosts: list[str],
        token: str,
        session: ClientSession,
        first_host: int = 0,
    ) -> None:
        """Create an announcer; ``hosts`` are base URLs of entry hosts.

        ``first_host`` is the index of the first host to contact, modulo their
        number.
        """
        self._searcher = searcher
        self._hosts = hosts
        self._token = token
        self._session = session
        self._sequence = itertools.count(1)
        self._host_index = first_host

    async def async_run(self) -> None:
        """Announce the searcher until it leaves or the task is cancelled."""
        while not self._searcher.is_leaving:
            await asyncio.sleep(await self._async_renew(SEARCHER_READY))

    async def async_announce(self) -> None:
        """Announce the searcher, retrying until a host accepts it."""
        while not await self._async_send(SEARCHER_READY):
            await asyncio.sleep(_RETRY_SECONDS)

    async def async_leave(self) -> None:
        """Announce leaving; return once the hosts send no new work."""
        while not await self._async_send(SEARCHER_LEAVING):
            await asyncio.sleep(_RETRY_SECONDS)
        self._searcher.is_leaving = True
        self._searcher.has_left = True

    async def _async_renew(self, state: str) -> float:
        answer = await self._async_send(state)
        if answer is None:
            return _RETRY_SECONDS
        return float(answer['renew_after'])

    async def _async_send(self, state: str) -> dict[str, Any] | None:
        host = self._hosts[self._host_index % len(self._hosts)]
        try:
            answer = await self._async_post(host, state)
        except (ClientError, OSError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            self._host_index += 1
        return answer

    async def _async_post(
        self,
        host: str,
        state: str,
    ) -> dict[str, Any] | None:
        async with self._session.post(
            f'{host}/v1/upstreams',
            json=announcement_of(self._searcher, next(self._sequence), state),
            headers={'Authorization': f'Bearer {self._token}'},
            timeout=ClientTimeout(total=_TIMEOUT_SECONDS),
        ) as response:
            if response.status != _OK:
                return None
            answer: dict[str, Any] = await response.json()
            return answer


def announcement_of(
    searcher: Searcher,
    sequence: int,
    state: str,
) -> dict[str, Any]:
    """Return the JSON announcement of a searcher."""
    return {
        'searcher': searcher.name,
        'service': searcher.service,
        'data_centre': searcher.data_centre,
        'ip': searcher.ip,
        'port': searcher.port,
        'boot_id': searcher.boot_id,
        'sequence': sequence,
        'slots': searcher.limits.slots,
        'connections': searcher.limits.connections,
        'cold_capacity': searcher.limits.cold_capacity,
        'state': state,
        'snapshots': [
            {
                'version': snapshot.version,
                'layout': snapshot.layout,
                'shards': list(shards),
                'documents': list(catalogue.documents_of(snapshot)),
            }
            for snapshot, shards in searcher.held.items()
        ],
    }
