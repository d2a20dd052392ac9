"""A caller as the documentation asks for: it follows address answers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)

from snipejunction.helpers.records import Record

_OK: Final = 200
# Far above the deadlines that the demonstration uses.
_PATIENCE_SECONDS: Final = 15
_MAX_ATTEMPTS: Final = 12
_PAUSE_SECONDS: Final = 0.05
NOT_RUN: Final = 'not run'
# What a caller notes where a connection broke after its request left.
CUT: Final = 'cut off'


class Reply(Record):
    """What became of a request: the HTTP status and the document.

    ``refusals`` lists the codes of attempts that were not run.
    """

    __slots__ = ('document', 'refusals', 'status')

    def __init__(
        self,
        status: int,
        document: dict[str, Any],
        refusals: list[str],
    ) -> None:
        """Create a reply."""
        self.status = status
        self.document = document
        self.refusals = refusals

    @property
    def is_ok(self) -> bool:
        """Return whether the request was answered."""
        return self.status == _OK


class Caller:
    """Keeps an address answer for as long as it may, then asks again."""

    __slots__ = (
        '_addresses',
        '_fresh_until',
        '_known',
        '_loop',
        '_session',
        '_turn',
    )

    def __init__(
        self,
        known: list[str],
        token: str,
        turn: int = 0,
    ) -> None:
        """Create a caller that knows some hosts by ``IP:PORT``."""
        self._known = known
        self._turn = turn
        self._addresses: list[str] = []
        self._fresh_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._session = ClientSession(
            headers={'Authorization': f'Bearer {token}'},
            timeout=ClientTimeout(total=_PATIENCE_SECONDS),
        )

    async def __aenter__(self) -> Caller:
        """Return the caller."""
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Close the connections."""
        await self._session.close()

    async def async_search(
        self,
        service: str,
        document: dict[str, Any],
    ) -> Reply:
        """Search a service."""
        return await self._async_ask(f'/v1/services/{service}/search', document)

    async def async_run(
        self,
        service: str,
        document: dict[str, Any],
    ) -> Reply:
        """Run a request that is not idempotent; its id makes it safe."""
        return await self._async_ask(f'/v1/services/{service}/run', document)

    async def async_run_at(
        self,
        host: str,
        service: str,
        document: dict[str, Any],
    ) -> Reply:
        """Run a request at one host, once."""
        path = f'/v1/services/{service}/run'
        return await self._async_ask_host(host, path, document, [])

    async def async_addresses(self) -> list[str]:
        """Return the hosts to use, best first."""
        if self._loop.time() >= self._fresh_until:
            await self._async_refresh()
        return self._addresses

    async def _async_ask(self, path: str, document: dict[str, Any]) -> Reply:
        """Try again as long as refusals say that the request did not run."""
        refusals: list[str] = []
        while True:
            addresses = await self.async_addresses() or self._known
            host = addresses[len(refusals) % len(addresses)]
            reply = await self._async_ask_host(host, path, document, refusals)
            if reply.document.get('verdict') != NOT_RUN:
                return reply
            refusals.append(str(reply.document.get('code')))
            pause = reply.document.get('retry_after', _PAUSE_SECONDS)
            if pause is None or len(refusals) >= _MAX_ATTEMPTS:
                return reply
            await asyncio.sleep(max(pause, _PAUSE_SECONDS))

    async def _async_ask_host(
        self,
        host: str,
        path: str,
        document: dict[str, Any],
        refusals: list[str],
    ) -> Reply:
        try:
            async with self._session.post(
                f'http://{host}{path}',
                json=document,
            ) as response:
                answer: dict[str, Any] = await response.json()
        except ClientConnectorError:
            # The port is closed, so nothing was sent.
            self._fresh_until = 0
            gone = {'verdict': NOT_RUN, 'code': 'port_closed'}
            return Reply(0, gone, refusals)
        except (ClientError, OSError) as error:
            self._fresh_until = 0
            cut = {'verdict': CUT, 'code': repr(error)}
            return Reply(0, cut, refusals)
        return Reply(response.status, answer, refusals)

    async def _async_refresh(self) -> None:
        """Ask the hosts of the last answer, then those known from before."""
        waiting = deque([*self._addresses, *self._known])
        waiting.rotate(-self._turn)
        answer = None
        while waiting and answer is None:
            answer = await self._async_ask_addresses(waiting.popleft())
        if answer is None:
            return
        self._fresh_until = self._loop.time() + answer['keep_seconds']
        self._addresses = [
            f'{entry["ip"]}:{entry["port"]}' for entry in answer['addresses']
        ]

    async def _async_ask_addresses(self, host: str) -> dict[str, Any] | None:
        try:
            async with self._session.get(
                f'http://{host}/v1/addresses',
            ) as response:
                answer: dict[str, Any] = await response.json()
        except (ClientError, OSError):
            return None
        is_usable = response.status == _OK and bool(answer['addresses'])
        return answer if is_usable else None
