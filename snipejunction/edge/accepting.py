"""Listening sockets that accept few connections at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

# Accepted connections count towards the limit of a listener only two
# iterations of the event loop later.
MAX_ACCEPTED_AT_ONCE: Final = 16


async def async_open_listener(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    address: tuple[str, int],
    backlog: int,
) -> asyncio.Server:
    """Listen on an address; port 0 selects a free port.

    ``backlog`` is the number of connections that may wait in the system.
    asyncio would accept as many in one iteration of its loop.

    Raises:
        OSError: if the address cannot be bound.
    """
    listener = socket.create_server(address, backlog=backlog)
    server = await asyncio.get_running_loop().create_server(
        make_protocol, sock=listener, backlog=MAX_ACCEPTED_AT_ONCE
    )
    listener.listen(backlog)
    return server
