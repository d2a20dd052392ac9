"""Tests of connections that the other end has closed."""

from __future__ import annotations

import socket
import struct
from unittest import mock

from testtools import TestCase
from testtools.matchers import Is

from snipejunction.edge.resets import is_closed_by_peer

NO_LINGER = struct.pack('ii', 1, 0)


class ClosedTest(TestCase):
    """What the system knows of a connection before anything is read."""

    def setUp(self) -> None:
        super().setUp()
        with socket.create_server(('127.0.0.1', 0)) as server:
            self.peer = socket.create_connection(server.getsockname())
            self.accepted = server.accept()[0]
        self.addCleanup(self.peer.close)
        self.addCleanup(self.accepted.close)
        self.transport = mock.Mock()
        self.transport.get_extra_info.return_value = self.accepted

    def is_closed(self) -> bool:
        return is_closed_by_peer(self.transport)

    def test_open(self) -> None:
        """A connection with unread bytes is open."""
        self.assertThat(self.is_closed(), Is(False))
        self.peer.send(b'order')
        self.assertThat(self.is_closed(), Is(False))

    def test_closed_behind_bytes(self) -> None:
        """The end is known although the bytes before it are unread."""
        self.peer.send(b'order')
        self.peer.close()
        self.assertThat(self.is_closed(), Is(True))

    def test_reset(self) -> None:
        """A reset counts as closed."""
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.peer.close()
        self.assertThat(self.is_closed(), Is(True))

    def test_own_end(self) -> None:
        """A transport without an open socket is closed."""
        self.accepted.close()
        self.assertThat(self.is_closed(), Is(True))
        self.transport.get_extra_info.return_value = None
        self.assertThat(self.is_closed(), Is(True))
