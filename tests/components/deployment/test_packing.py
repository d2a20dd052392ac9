"""Compressed documents."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.components.deployment.packing import (
    pack_document,
    unpack_document,
)
from snipejunction.errors import SettingsError


class PackingTest(TestCase):
    """What goes into the log comes out again."""

    @given(st.binary(max_size=2000))
    def test_round_trip(self, content: bytes) -> None:
        """Any content is the same after both ways."""
        self.assertThat(
            unpack_document(pack_document(content)), Equals(content)
        )

    def test_no_document(self) -> None:
        """Nothing stays nothing."""
        self.assertThat(unpack_document(b''), Equals(b''))

    def test_smaller(self) -> None:
        """Documents repeat themselves and shrink to a fraction."""
        content = b'{"name":"r","host":"a.example","timeoutMs":2000},' * 400
        packed = pack_document(content)
        self.assertThat(len(packed), LessThan(len(content) / 5))

    @given(st.binary(min_size=1, max_size=200))
    def test_garbage(self, packed: bytes) -> None:
        """Bytes that are no packed document are refused with a reason."""
        try:
            unpack_document(packed)
        except SettingsError as error:
            self.assertThat(error.path, Equals('document'))

    def test_cut_short(self) -> None:
        """Half of a document is none."""
        with ExpectedException(SettingsError):
            unpack_document(pack_document(b'x' * 500)[:-4])
