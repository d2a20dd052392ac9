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
    """Raised if no host could be reached."""


class ClientSettings(Record):
    """Hosts to contact, bearer token and TLS authority."""

    __slots__ = ('ca_file', 'hosts', 'token')

    def __init__(
        self,
        hosts: tuple[str, ...],
        token: str,
        ca_file: str | None = None,
    ) -> None:
        """Create settings; ``ca_file`` enables TLS with that authority."""
        self.hosts = hosts
        self.token = token
        self.ca_file = ca_file


class ApiClient:
    """Sends requests to hosts in turn until one of them answers.

    If a refusal lists other addresses and the request certainly did not run,
    the client retries at those addresses.
    """

    __slots__ = ('_settings', '_scheme', '_session')

    def __init__(self, settings: ClientSettings) -> None:
        """Create a client; use it as an asynchronous context manager."""
        self._settings = settings
        tls: ssl.SSLContext | bool = True
        self._scheme = 'http'
        if settings.ca_file is not None:
            tls = ssl.create_default_context(cafile=settings.ca_file)
            self._scheme = 'https'
        self._session = ClientSession(
            connector=TCPConnector(ssl=tls),
            timeout=ClientTimeout(total=_TIMEOUT_SECONDS),
            headers={'Authorization': f'Bearer {settings.token}'},
        )

    async def __aenter__(self) -> ApiClient:
        """Return the client."""
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Close the connections."""
        await self._session.close()

    async def async_request(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> dict[str, Any]:
        """Return the JSON answer of the first host that answers a request.

        Raises:
            RefusedError: if the request was refused.
            UnreachableError: if no host could be reached.
        """
        pending = deque(self._settings.hosts)
        tried: set[str] = set()
        last_error: SnipejunctionError = UnreachableError('no host to contact')
        while pending and len(tried) < _MAX_HOSTS_TRIED:
            host = pending.popleft()
            if host in tried:
                continue
            tried.add(host)
            try:
                return await self._async_request_host(
                    host, method, path, document
                )
            except _RetryElsewhereError as error:
                last_error = error
                pending.extend(error.addresses)
            except UnreachableError as error:
                last_error = error
        raise last_error

    async def _async_request_host(
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
        raise _parse_refusal(answer)


class _RetryElsewhereError(RefusedError):
    """Raised if the request did not run and other hosts may accept it."""

    def __init__(self, refusal: Refusal, addresses: list[str]) -> None:
        super().__init__(refusal)
        self.addresses = addresses


def _parse_refusal(answer: dict[str, Any]) -> RefusedError:
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
        return _RetryElsewhereError(refusal, addresses)
    return RefusedError(refusal)
