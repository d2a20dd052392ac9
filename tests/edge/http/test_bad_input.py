"""Tests of invalid input: a clear error, and the host keeps running."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.demo.cluster import CALLER_TOKEN
from snipejunction.edge.const import (
    MAX_BODY_BYTES,
    MAX_JSON_DEPTH,
    MAX_JSON_VALUES,
)
from snipejunction.edge.http import bodies
from snipejunction.edge.http.upstreams import parse_announcement
from snipejunction.errors import RefusedError
from tests.edge.http.support import SEARCH_PATH, HostSite
from tests.edge.support import in_loop

_DEEP = b'[' * (MAX_JSON_DEPTH + 1) + b']' * (MAX_JSON_DEPTH + 1)
_WIDE = json.dumps(list(range(MAX_JSON_VALUES))).encode()
_ENDLESS = b'[' * 100_000
_HUGE = b' ' * (MAX_BODY_BYTES + 1)
_GARBAGE = b'\x00\xff\xfe' * 2000
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
_FIELDS = st.sampled_from(
    [
        *('query', 'request_id', 'deadline_ms', 'coverage', 'top', 'body'),
        *('key', 'searcher', 'service', 'ip', 'port', 'snapshots', 'shards'),
        *('documents', 'version', 'layout', 'sequence', 'slots', 'state'),
    ],
)


class BodiesTest(TestCase):
    """Validation of JSON bodies."""

    @given(st.binary(max_size=100))
    def test_any_bytes(self, body: bytes) -> None:
        """Any bytes are parsed or refused as *not run*."""
        with suppress(RefusedError):
            bodies.parse_json(body)

    @given(
        st.dictionaries(_FIELDS, _JSON, max_size=12),
        st.sampled_from([bodies.SEARCH, bodies.RUN, bodies.VOTER_CHANGE]),
    )
    def test_any_fields(self, value: Any, schema: Any) -> None:
        """Any fields are valid or refused as *not run*."""
        with suppress(RefusedError):
            bodies.validate(value, schema)

    @given(st.dictionaries(_FIELDS, _JSON, max_size=12))
    def test_any_announcement(self, value: Any) -> None:
        """Any announcement is valid or refused as *not run*."""
        with suppress(RefusedError):
            parse_announcement(bodies.validate(value, bodies.ANNOUNCEMENT))


class BadInputTest(TestCase):
    """Invalid requests and bytes on the ports of a running host."""

    @in_loop
    async def test_bodies(self) -> None:
        """An invalid body is refused with its limit, and the host stays up."""
        async with HostSite() as site:
            refused = await asyncio.gather(
                *(
                    site.async_request(
                        'POST',
                        SEARCH_PATH,
                        CALLER_TOKEN,
                        data=body,
                    )
                    for body in (_DEEP, _WIDE, _ENDLESS, _HUGE, b'{"a": NaN}')
                ),
            )
            details = [answer['detail'] for _, answer in refused]
            alive, _ = await site.async_request('GET', '/healthz', '')
        self.assertThat({status for status, _ in refused}, Equals({400}))
        self.assertThat(
            {answer['verdict'] for _, answer in refused},
            Equals({'not run'}),
        )
        self.assertThat(details[0], Contains(str(MAX_JSON_DEPTH)))
        self.assertThat(details[1], Contains(str(MAX_JSON_VALUES)))
        self.assertThat(details[3], Contains(str(MAX_BODY_BYTES)))
        self.assertThat(alive, Equals(200))

    @in_loop
    async def test_paths_and_methods(self) -> None:
        """Unknown paths, methods and tokens get a JSON refusal."""
        async with HostSite() as site:
            nowhere = await site.async_request('GET', '/nowhere', CALLER_TOKEN)
            method = await site.async_request(
                'DELETE', SEARCH_PATH, CALLER_TOKEN
            )
            token = await site.async_request('POST', SEARCH_PATH, 'made-up')
            long = await site.async_request('POST', SEARCH_PATH, 'x' * 600)
        answers = (nowhere, method, token, long)
        self.assertThat(
            [status for status, _ in answers],
            Equals([404, 405, 401, 401]),
        )
        self.assertThat(
            {answer['verdict'] for _, answer in answers},
            Equals({'not run'}),
        )

    @in_loop
    async def test_garbage_on_ports(self) -> None:
        """Garbage on either port closes that connection only."""
        async with HostSite() as site:
            identity = site.cluster.hosts[0].settings.identity
            ports = (identity.http_port, identity.peer_port)
            await asyncio.gather(
                *(_async_send(port, _GARBAGE) for port in ports),
                *(_async_send(port, b'\xff' * 9) for port in ports),
            )
            alive, _ = await site.async_request('GET', '/healthz', '')
        self.assertThat(alive, Equals(200))


async def _async_send(port: int, content: bytes) -> None:
    """Send bytes and wait until the host closes the connection."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(content)
    with suppress(ConnectionResetError):
        await reader.read()
    writer.close()
