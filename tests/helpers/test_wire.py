"""Tests of encoding and decoding the frames between hosts."""

from __future__ import annotations

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import (
    Equals,
    HasLength,
    LessThan,
    MatchesException,
    Raises,
)

from snipejunction.components.gateway.messages import PartReport
from snipejunction.components.owner.messages import (
    SnapshotId,
    SubBatch,
    SubResult,
    SubResults,
)
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.helpers.wire import decode, encode
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.verdict import not_run_refusal
from tests.components.gateway.stage import make_record

_raises_wire_error = Raises(MatchesException(WireError))


class WireTest(TestCase):
    """Tests of frames of typed records."""

    def test_nested_records_survive(self) -> None:
        """A message with nested records decodes to an equal message."""
        refusal = not_run_refusal('shed', 'the searcher shed it', 0.5)
        snapshot = SnapshotId(3, 'a')
        results = SubResults(
            [SubResult(1, 's', refusal, b'', snapshot, [0, 2], 0, 0.1, True)],
        )
        self.assertThat(decode(encode(results)), Equals(results))

    def test_optional_fields(self) -> None:
        """Fields that an earlier release lacks are sent if they say more."""
        plain = PartReport(3, 'answered', 200, 'sig', 0.1, '')
        frame = msgpack.packb([1, 155, 3, 'answered', 200, 'sig', 0.1, ''])
        self.assertThat(encode(plain), Equals(frame))
        self.assertThat(decode(frame), Equals(plain))
        limited = PartReport(3, 'answered', 200, 'sig', 0.1, '', 2.5)
        self.assertThat(decode(encode(limited)), Equals(limited))
        too_short = msgpack.packb([1, 155, 3, 'answered', 200, 'sig', 0.1])
        self.assertThat(lambda: decode(too_short), _raises_wire_error)

    def test_wrong_field_type(self) -> None:
        """A string in place of a list is rejected."""
        frame = msgpack.packb([1, 66, 'results'])
        self.assertThat(lambda: decode(frame), _raises_wire_error)

    def test_boolean_is_not_a_number(self) -> None:
        """A boolean in place of an int is rejected."""
        frame = msgpack.packb([1, 60, True, 'a'])
        self.assertThat(lambda: decode(frame), _raises_wire_error)

    def test_unknown_version(self) -> None:
        """A frame of another version is rejected."""
        frame = msgpack.packb([2, 60, 1, 'a'])
        self.assertThat(lambda: decode(frame), _raises_wire_error)

    def test_short_error(self) -> None:
        """The error does not repeat what a long frame holds."""
        for head in (['x' * 5000], [1, bytes(5000)], [list(range(5000))]):
            frame = msgpack.packb([*head, 60, 1])
            error = self.assertRaises(WireError, decode, frame)
            self.assertThat(len(str(error)), LessThan(100))

    def test_missing_field(self) -> None:
        """A frame with too few fields is rejected."""
        frame = msgpack.packb([1, 60, 1])
        self.assertThat(lambda: decode(frame), _raises_wire_error)

    def test_bad_entry_of_an_independent_list(self) -> None:
        """An entry that cannot be sent or read is left out, no other one.

        Guards against one searcher that stops all lists of searchers.
        """
        good = [make_record('a'), make_record('b')]
        update = SearcherUpdate([good[0], make_record('\ud83c'), good[1]])
        self.assertThat(lambda: encode(update), _raises_wire_error)
        skipped: list[str] = []
        frame = encode(update, skipped)
        self.assertThat(decode(frame), Equals(SearcherUpdate(good)))
        self.assertThat(skipped, HasLength(1))
        body = msgpack.unpackb(frame)
        body[2].insert(1, ['c', 5])
        frame = msgpack.packb(body)
        self.assertThat(lambda: decode(frame), _raises_wire_error)
        self.assertThat(decode(frame, skipped), Equals(SearcherUpdate(good)))
        self.assertThat(skipped, HasLength(2))

    @given(st.binary(max_size=200))
    def test_garbage(self, garbage: bytes) -> None:
        """Any bytes decode to a record or raise ``WireError``."""
        try:
            decode(garbage)
        except WireError:
            return

    @given(st.integers(0, 200), st.lists(st.integers() | st.text()))
    def test_wrong_fields(self, number: int, fields: list[object]) -> None:
        """Fields of any type decode to a record or raise ``WireError``."""
        try:
            frame = msgpack.packb([1, number, *fields])
        except OverflowError:
            return
        try:
            decode(frame)
        except WireError:
            return

    def test_batch(self) -> None:
        """A batch of subqueries decodes to an equal one."""
        batch = SubBatch(
            't/s',
            'app',
            SnapshotId(1, 'a'),
            0.2,
            b'{}',
            '',
            [1, 2],
            ['s1', 's2'],
            [[0], [1]],
        )
        self.assertThat(decode(encode(batch)), Equals(batch))
