"""Bounds of a process, from the memory and the descriptors of its machine."""

from __future__ import annotations

import resource
from types import MappingProxyType
from typing import Final

from snipejunction.edge.gateway.const import (
    MAX_CALLER_CONNECTIONS,
    MAX_RECEIVED_BYTES,
    MAX_RECEIVED_REQUEST_BYTES,
    MAX_UNSENT_BYTES,
)

LISTENER_ADDRESSES: Final = 'addresses'
LISTENER_CALLERS: Final = 'callers'
LISTENER_CONTROL: Final = 'control'
LISTENER_METRICS: Final = 'metrics'
LISTENER_READINESS: Final = 'readiness'
_SMALL_SHARE: Final = 0.03
# Parts of the descriptors that the connections of a listener may take. What
# is left serves searchers, peers and files.
_DESCRIPTOR_SHARES: Final = MappingProxyType(
    {
        LISTENER_CALLERS: 2 / 3,
        LISTENER_CONTROL: 2 / 3,
        LISTENER_ADDRESSES: 1 / 8,
        LISTENER_METRICS: _SMALL_SHARE,
        LISTENER_READINESS: _SMALL_SHARE,
    },
)
# Descriptors for modules, logs and the event loop.
_RESERVED_DESCRIPTORS: Final = 200
_MIN_CONNECTIONS: Final = 4
# Parts of the memory of the machine.
_RECEIVED_REQUESTS_SHARE: Final = 1 / 8
_RECEIVED_ANSWERS_SHARE: Final = 1 / 4
_UNSENT_SHARE: Final = 1 / 6


class ProcessBounds:
    """What the connections of a process may take, in bytes and numbers."""

    __slots__ = (
        '_descriptors',
        'received_answer_bytes',
        'received_request_bytes',
        'unsent_bytes',
    )

    def __init__(
        self, memory_bytes: int | None = None, descriptors: int | None = None
    ) -> None:
        """Derive bounds; the process's limit stands for ``descriptors``.

        Without ``memory_bytes`` the largest bounds apply.
        """
        if descriptors is None:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._descriptors = descriptors - _RESERVED_DESCRIPTORS
        self.received_request_bytes = _share(
            memory_bytes, _RECEIVED_REQUESTS_SHARE, MAX_RECEIVED_REQUEST_BYTES
        )
        self.received_answer_bytes = _share(
            memory_bytes, _RECEIVED_ANSWERS_SHARE, MAX_RECEIVED_BYTES
        )
        self.unsent_bytes = _share(
            memory_bytes, _UNSENT_SHARE, MAX_UNSENT_BYTES
        )

    def max_connections(self, listener: str) -> int:
        """Return the number of connections that a listener may accept."""
        share = int(self._descriptors * _DESCRIPTOR_SHARES[listener])
        return max(_MIN_CONNECTIONS, min(share, MAX_CALLER_CONNECTIONS))


def _share(memory_bytes: int | None, share: float, most: int) -> int:
    return (
        most if memory_bytes is None else min(most, int(memory_bytes * share))
    )
