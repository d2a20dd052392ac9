"""Detects connections that the other end has reset or closed."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from typing import Final

_CLOSED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_RESET_ERRORS: Final = frozenset((errno.ECONNRESET, errno.EPIPE))


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other end has reset an open connection.

    A transport finds that out by its next read or write only. A write raises
    and catches an error, which it keeps until the next iteration of the event
    loop. The traceback of that error refers to the frames of all callers, and
    thereby to what they hold.

    Once this has returned True, the transport must be aborted: the system
    reports a reset once.
    """
    connection = transport.get_extra_info('socket')
    if connection is None:
        return False
    error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return error in _RESET_ERRORS


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other end has closed or reset an open connection.

    The system knows that before the transport has read what came before the
    end, as after a pause of the process.
    """
    connection = transport.get_extra_info('socket')
    if connection is None or connection.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return any(events & _CLOSED_EVENTS for _, events in poll.poll(0))
