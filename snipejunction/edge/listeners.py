"""Listening sockets of a host, bound before it starts."""

from __future__ import annotations

import socket
from typing import Final

from snipejunction.errors import SettingsError

_BACKLOG: Final = 512


class Listeners:
    """Listening sockets for peers and HTTP; port 0 binds any free port."""

    __slots__ = ('http', 'peer')

    def __init__(self, ip: str, peer_port: int, http_port: int) -> None:
        """Bind both sockets.

        Raises:
            SettingsError: if an address cannot be bound.
        """
        self.peer = _bind(ip, peer_port, 'peer_port')
        try:
            self.http = _bind(ip, http_port, 'http_port')
        except SettingsError:
            self.peer.close()
            raise

    @property
    def peer_port(self) -> int:
        """Return the port for peers."""
        return int(self.peer.getsockname()[1])

    @property
    def http_port(self) -> int:
        """Return the port for HTTP."""
        return int(self.http.getsockname()[1])

    def close(self) -> None:
        """Close both sockets."""
        self.peer.close()
        self.http.close()


def _bind(ip: str, port: int, field: str) -> socket.socket:
    try:
        return socket.create_server((ip, port), backlog=_BACKLOG)
    except OSError as error:
        raise SettingsError(field, f'{ip}:{port}: {error}') from error
