"""Tests of the headers of the upstream protocol."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.components.owner.const import ENDED_ERROR, ENDED_OK
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.owner.upstream_messages import DispatchRequest
from snipejunction.edge import upstream_protocol as protocol

_OUTCOMES = protocol.REFUSALS | {ENDED_OK, ENDED_ERROR}


class UpstreamProtocolTest(TestCase):
    """Requests and answers between owners and upstreams."""

    @given(
        st.sampled_from([200, 404, 500, 503]),
        st.dictionaries(
            st.sampled_from(
                [
                    protocol.HEADER_SNAPSHOT,
                    protocol.HEADER_SHARDS,
                    protocol.HEADER_REFUSAL,
                    protocol.HEADER_RETRY_AFTER,
                    protocol.HEADER_RATE_LIMIT,
                ],
            ),
            st.text(max_size=12),
        ),
    )
    def test_any_headers(self, status: int, headers: dict[str, str]) -> None:
        """Any headers result in one of the known outcomes."""
        ended = protocol.parse_response(7, status, headers, b'')
        self.assertThat(_OUTCOMES, Contains(ended.outcome))

    @given(st.integers(0, 2**53), st.text(min_size=1, max_size=9))
    def test_snapshot(self, version: int, layout: str) -> None:
        """A snapshot survives a round trip through its header value."""
        snapshot = SnapshotId(version, layout)
        text = protocol.format_snapshot(snapshot)
        self.assertThat(protocol.parse_snapshot(text), Equals(snapshot))

    def test_refusals(self) -> None:
        """Known refusals are the outcome; an unknown one is an error."""
        for refusal in protocol.REFUSALS:
            headers = {
                protocol.HEADER_REFUSAL: refusal,
                protocol.HEADER_RETRY_AFTER: '250',
            }
            ended = protocol.parse_response(1, 503, headers, b'')
            self.assertThat(ended.outcome, Equals(refusal))
            self.assertThat(ended.retry_after, Equals(0.25))
        made_up = {protocol.HEADER_REFUSAL: 'made_up'}
        ended = protocol.parse_response(1, 503, made_up, b'')
        self.assertThat(ended.outcome, Equals(ENDED_ERROR))

    def test_request(self) -> None:
        """Request headers hold the deadline, snapshot and shards."""
        command = DispatchRequest(
            1,
            1,
            't/s',
            't/a',
            SnapshotId(3, '8'),
            [1, 4],
            '',
            0.2,
            b'',
            '',
        )
        headers = protocol.build_request_headers(command, 'h/1', 0.15, '')
        self.assertThat(headers[protocol.HEADER_DEADLINE], Equals('150'))
        self.assertThat(headers[protocol.HEADER_SNAPSHOT], Equals('3:8'))
        self.assertThat(headers[protocol.HEADER_SHARDS], Equals('1,4'))
