"""Entry process on every machine: serves callers' requests."""

from __future__ import annotations

import secrets
from contextlib import AsyncExitStack
from functools import partial
from typing import Final
from urllib.parse import parse_qs

from snipejunction.components.gateway.addressing import find_addresses
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.gateway_host import GatewayHost
from snipejunction.edge.gateway.process_bounds import (
    LISTENER_ADDRESSES,
    LISTENER_CALLERS,
    LISTENER_READINESS,
)
from snipejunction.edge.keys import PeerKeys
from snipejunction.platform import names
from snipejunction.platform.answers import respond_json, respond_status
from snipejunction.platform.documents import read_accepted_document
from snipejunction.platform.process import PEER_KEY, Process, run
from snipejunction.platform.settings import ROLE_ENTRY

_SEED_BITS: Final = 64
_OK: Final = 200
_NOT_FOUND: Final = 404
# Time that callers may cache addresses. Some cache them three times as long,
# which is about how long a stopping host continues to accept requests.
_MAX_ADDRESS_TTL_SECONDS: Final = 2.0
_UNAVAILABLE: Final = 503


async def async_run_entry(process: Process) -> int:
    """Serve callers until the host has stopped."""
    async with AsyncExitStack() as stack:
        host = GatewayHost(
            process.profile,
            PeerKeys([PEER_KEY]),
            names.HEADER_NAMES,
            read_accepted_document,
            process.log,
            secrets.randbits(_SEED_BITS),
        )
        process.bound_server(LISTENER_CALLERS, host.caller_server)
        await stack.enter_async_context(host)
        address = process.profile.addresses.ready
        respond_readiness = partial(_respond_readiness, host)
        await process.async_listen(
            LISTENER_READINESS, address, respond_readiness, stack
        )
        await process.async_listen(
            LISTENER_ADDRESSES,
            process.profile.addresses.directory,
            partial(_respond_addresses, host),
            stack,
        )
        return await process.async_serve(host, stack)
    return 0


def _respond_readiness(host: GatewayHost, request: CallerRequest) -> None:
    status = _OK if host.is_ready else _UNAVAILABLE
    respond_status(request, status)


def _respond_addresses(host: GatewayHost, request: CallerRequest) -> None:
    path, _, query = request.target.decode('latin-1').partition('?')
    if path != names.PATH_RESOLVE or request.method != b'GET':
        respond_status(request, _NOT_FOUND)
        return
    query_fields = parse_qs(query)
    addresses = find_addresses(
        host.table,
        query_fields.get('zone', [''])[0],
        query_fields.get('region', [''])[0],
        query_fields.get('name', [''])[0],
    )
    if addresses:
        ttl_seconds = min(_MAX_ADDRESS_TTL_SECONDS, host.address_ttl_seconds)
        answer = {'addrs': addresses, 'ttl_s': ttl_seconds}
        respond_json(request, _OK, answer)
    else:
        respond_status(request, _UNAVAILABLE)


def main() -> None:
    """Run the role until it stops."""
    run(ROLE_ENTRY, async_run_entry)
