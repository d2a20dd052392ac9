"""Control process: stores the deployment and tracks the searchers."""

from __future__ import annotations

import secrets
from contextlib import AsyncExitStack
from typing import Final

from snipejunction.edge.control_host import ControlHost
from snipejunction.edge.gateway.process_bounds import LISTENER_CONTROL
from snipejunction.edge.keys import PeerKeys
from snipejunction.platform.calls import ControlCalls
from snipejunction.platform.process import PEER_KEY, Process, run
from snipejunction.platform.settings import ROLE_CONTROL

_SEED_BITS: Final = 64


async def async_run_control(process: Process) -> int:
    """Serve operators and searchers until the host has stopped."""
    profile = process.profile
    async with AsyncExitStack() as stack:
        host = ControlHost(
            profile,
            PeerKeys([PEER_KEY]),
            process.log,
            secrets.randbits(_SEED_BITS),
            process.stop_requested,
        )
        await stack.enter_async_context(host)
        calls = ControlCalls(host, profile)
        await process.async_listen(
            LISTENER_CONTROL,
            profile.addresses.control,
            calls.handle,
            stack,
        )
        return await process.async_serve(host, stack)
    return 0


def main() -> None:
    """Run the role until it stops."""
    run(ROLE_CONTROL, async_run_control)
