"""HTTP client of the command line."""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from snipejunction.errors import RefusedError, SnipejunctionError
from snipejunction.helpers.records import Record
from snipejunction.verdict import Refusal, Verdict, may_have_run_refusal

_OK: Final = 200
_TIMEOUT_SECONDS: Final = 70.0
_MAX_HOSTS_TRIED: Final = 8


class UnreachableError(SnipejunctionError):
    """No host could be reached."""


class Access(Record):
    """Which hosts to ask, and with what token."""

    __slots__ = ('authority', 'hosts', 'token')

    def __init__(
        self,
        hosts: tuple[str, ...],
        token: str,
        authority: str | None = None,
    ) -> None:
        """Create access; ``authority`` is a file that makes it use TLS."""
        self.hosts = hosts
        self.token = token
        self.authority = authority


class ApiClient:
    """Asks hosts one after another until one of them answers.

    A refusal that names other addresses is followed there if the request
    certainly did not run.
    """

    __slots__ = ('_access', '_scheme', '_session')

    def __init__(self, access: Access) -> None:
        """Create a client, to be used as an asynchronous context."""
        self._access = access
        tls: ssl.SSLContext | bool = True
        self._scheme = 'http'
        if access.authority is not None:
            tls = ssl.create_default_context(cafile=access.authority)
            self._scheme = 'https'
        self._session = ClientSession(
            connector=TCPConnector(ssl=tls),
            timeout=ClientTimeout(total=_TIMEOUT_SECONDS),
            headers={'Authorization': f'Bearer {access.token}'},
        )

    async def __aenter__(self) -> ApiClient:
        """Return the client."""
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Close the connections."""
        await self._session.close()

    async def async_ask(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> dict[str, Any]:
        """Return the JSON answer of the first host that has one.

        Raises:
            RefusedError: if the request was refused.
            UnreachableError: if no host could be reached.
        """
        waiting = deque(self._access.hosts)
        tried: set[str] = set()
        failure: SnipejunctionError = UnreachableError('no host to ask')
        while waiting and len(tried) < _MAX_HOSTS_TRIED:
            host = waiting.popleft()
            if host in tried:
                continue
            tried.add(host)
            try:
                return await self._async_ask_host(host, method, path, document)
            except _RefusedElsewhereError as error:
                failure = error
                waiting.extend(error.addresses)
            except UnreachableError as error:
                failure = error
        raise failure

    async def _async_ask_host(
        self,
        host: str,
        method: str,
        path: str,
        document: Any,
    ) -> dict[str, Any]:
        try:
            async with self._session.request(
                method,
                f'{self._scheme}://{host}{path}',
                json=document,
            ) as response:
                answer: dict[str, Any] = await response.json()
        except asyncio.TimeoutError:
            raise RefusedError(
                may_have_run_refusal(
                    'timeout', f'no answer from {host} in time'
                ),
            ) from None
        except (ClientError, OSError, ValueError) as error:
            raise UnreachableError(f'no answer from {host}: {error}') from None
        if response.status == _OK:
            return answer
        raise _refused(answer)


class _RefusedElsewhereError(RefusedError):
    """Refused, certainly not run, and other hosts may do better."""

    def __init__(self, refusal: Refusal, addresses: list[str]) -> None:
        super().__init__(refusal)
        self.addresses = addresses


def _refused(answer: dict[str, Any]) -> RefusedError:
    retry_after = answer.get('retry_after')
    refusal = Refusal(
        str(answer.get('verdict', Verdict.MAY_HAVE_RUN.value)),
        str(answer.get('code', 'unknown')),
        str(answer.get('detail', '')),
        -1 if retry_after is None else float(retry_after),
    )
    addresses = [
        f'{entry["ip"]}:{entry["port"]}'
        for entry in answer.get('addresses', ())
    ]
    if addresses and refusal.verdict.may_retry:
        return _RefusedElsewhereError(refusal, addresses)
    return RefusedError(refusal)
