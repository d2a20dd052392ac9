"""Mutated requests of callers, however they are split."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.edge.gateway.caller_connection import (
    CallerConnection,
    CallerRequest,
)
from snipejunction.edge.gateway.http_server import HttpServer
from snipejunction.edge.gateway.input_bounds import EndOfInputError
from snipejunction.edge.receive_budget import ReceiveBudget
from tests.fuzz.mutations import check_memory, mutate

BUDGET_BYTES = 1000000
# A header of three bytes is held in an object of many times that size.
HELD_FOR_EACH = 64
MEMORY_FOR_EACH = 400
SEEDS = (
    b'GET /p/q?r=1 HTTP/1.1\r\nHost: a.example\r\nX-Key: abc\r\n\r\n',
    b'POST /p HTTP/1.1\r\nContent-Length: 4\r\nA: b\r\n\r\nbodyGET / HTTP/1.1'
    b'\r\n\r\n',
    b'PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\n'
    b'T: u\r\n\r\n',
    b'POST / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
    b'Content-Length: 2\r\nExpect: 100-continue\r\n\r\nab',
    b'CONNECT a:1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n',
)
TOKENS = (
    b'\r\n',
    b'\n',
    b'\r\n\r\n',
    b'a:\r\n',
    b'a: b\r\n',
    b' c\r\n',
    b'\x00',
    b'\xff',
    b'Content-Length: 99999999999999999999\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
    b'ffffffffffffffff\r\n',
    b'1\r\nx\r\n',
    b'HTTP/0.9',
    b'HTTP/2.0',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
)
STREAMS = st.one_of(*(mutate(seed, TOKENS) for seed in SEEDS))

CALLBACKS = (
    'on_url',
    'on_header',
    'on_headers_complete',
    'on_body',
    'on_message_complete',
)


class StrictConnection(CallerConnection):
    """Connection that keeps what its callbacks raise by mistake.

    The parser hides that behind an error of its own.
    """

    def __init__(self, *arguments: Any) -> None:
        self.mistakes: list[Exception] = []
        for name in CALLBACKS:
            callback = getattr(self, name)
            setattr(self, name, functools.partial(self._call, callback))
        super().__init__(*arguments)

    def _call(self, callback: Callable[..., None], *arguments: Any) -> None:
        try:
            callback(*arguments)
        except EndOfInputError:
            raise
        except Exception as error:
            self.mistakes.append(error)
            raise


class Handler:
    """Keeps requests and answers them if it ``answers``."""

    def __init__(self, answers: bool) -> None:
        self.requests: list[Any] = []
        self._answers = answers

    def handle(self, request: CallerRequest) -> None:
        """Keep a request."""
        self.requests.append(
            (
                request.method,
                request.target,
                request.headers,
                request.body,
                request.is_last,
            )
        )
        if self._answers:
            request.respond(200, [], b'')


class FakeTransport(asyncio.Transport):
    """Transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.closed = False

    def write(self, content: Any) -> None:
        """Keep some bytes."""
        self.written += content

    def is_closing(self) -> bool:
        """Return whether it was closed."""
        return self.closed

    def close(self) -> None:
        """Take nothing more."""
        self.closed = True

    def abort(self) -> None:
        """Take nothing more."""
        self.closed = True

    def get_write_buffer_size(self) -> int:
        """Return 0: all is sent at once."""
        return 0


class CallerFuzzTest(TestCase):
    """Streams of bytes from callers."""

    def serve(self, parts: list[bytes], *, answers: bool) -> list[Any]:
        """Return the requests of a stream and all that was written."""
        handler = Handler(answers)
        loop = mock.Mock()
        loop.time.return_value = 0
        budget = ReceiveBudget('callers', BUDGET_BYTES, print)
        server = HttpServer(handler.handle, loop, budget)
        connection = StrictConnection(server, loop)
        transport = FakeTransport()
        connection.connection_made(transport)
        fed = 0
        for part in parts:
            if transport.closed:
                break
            fed += len(part)
            connection.data_received(part)
            limit = HELD_FOR_EACH * fed + 1
            self.assertThat(budget.total, LessThan(limit))
        connection.connection_lost(None)
        self.assertThat(budget.total, Equals(0))
        self.assertThat(connection.mistakes, Equals([]))
        return [*handler.requests, bytes(transport.written)]

    @given(STREAMS, st.lists(st.integers(1, 200), max_size=6))
    def test_any_split(self, stream: bytes, sizes: list[int]) -> None:
        """However a stream is split, the same requests are served."""
        parts = []
        rest = stream
        for size in sizes:
            parts.append(rest[:size])
            rest = rest[size:]
        parts.append(rest)
        parts = [part for part in parts if part]
        whole = self.serve([stream], answers=True)
        self.assertThat(self.serve(parts, answers=True), Equals(whole))

    @given(STREAMS)
    def test_memory(self, stream: bytes) -> None:
        """Requests that wait take memory in proportion to their bytes."""
        parts = [
            stream[start : start + 64] for start in range(0, len(stream), 64)
        ]
        with check_memory(len(stream), self.fail, MEMORY_FOR_EACH):
            self.serve(parts, answers=False)
