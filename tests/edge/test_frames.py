"""Tests of the framing of byte streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, MatchesException, Raises

from snipejunction.edge.frames import FrameReader, encode_frame
from snipejunction.errors import PeerError


class FrameReaderTest(TestCase):
    """Frames of a bounded size."""

    @given(st.lists(st.binary(max_size=40)), st.integers(1, 9))
    def test_any_split(self, contents: list[bytes], step: int) -> None:
        """Frames are decoded however the stream is split."""
        stream = b''.join(map(encode_frame, contents))
        reader = FrameReader(40)
        found = [
            content
            for start in range(0, len(stream), step)
            for content in reader.feed(stream[start : start + step])
        ]
        self.assertThat(found, Equals(contents))

    def test_huge_length(self) -> None:
        """A length over the limit is refused before the content arrives."""
        reader = FrameReader(100)
        self.assertThat(
            lambda: list(reader.feed(b'\xff\xff\xff\xff')),
            Raises(MatchesException(PeerError, '.*at most 100')),
        )

    def test_truncated(self) -> None:
        """A truncated frame yields nothing."""
        reader = FrameReader(100)
        found = list(reader.feed(encode_frame(b'abc')[:-1]))
        self.assertThat(found, Equals([]))
