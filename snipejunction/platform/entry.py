"""The process that takes callers' requests, on every machine."""

from __future__ import annotations

import secrets
from contextlib import AsyncExitStack
from functools import partial
from typing import Final

from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.gateway_host import GatewayHost
from snipejunction.edge.keys import PeerKeys
from snipejunction.platform import names
from snipejunction.platform.documents import read_document
from snipejunction.platform.process import PEER_KEY, Process, run
from snipejunction.platform.settings import ROLE_ENTRY

_SEED_BITS: Final = 64
_OK: Final = 200
_UNAVAILABLE: Final = 503


async def async_run_entry(process: Process) -> int:
    """Serve callers until a planned stop is complete."""
    async with AsyncExitStack() as stack:
        host = GatewayHost(
            process.profile,
            PeerKeys([PEER_KEY]),
            names.DIALECT,
            read_document,
            process.log,
            secrets.randbits(_SEED_BITS),
        )

        await stack.enter_async_context(host)
        address = process.profile.addresses.ready
        show = partial(_show_readiness, host)
        await process.async_listen(address, show, stack)
        return await process.async_serve(host, stack)
    return 0


def _show_readiness(host: GatewayHost, request: CallerRequest) -> None:
    status = _OK if host.is_ready else _UNAVAILABLE
    request.respond(status, [], b'')


if __name__ == '__main__':
    run(ROLE_ENTRY, async_run_entry)
