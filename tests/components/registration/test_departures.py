"""Tests of the collection of departures."""

from __future__ import annotations

import msgpack
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from snipejunction.components.registration.const import GONE, READY
from snipejunction.components.registration.departures import (
    MAX_DEPARTURES,
    Departures,
    unpack_departures,
)
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.components.registration.searcher_status import SearcherStatus
from snipejunction.helpers.wire import decode, encode
from tests.components.gateway.stage import make_record


class DeparturesTest(TestCase):
    """The collection of departures."""

    def test_bounded(self) -> None:
        """The oldest departures are dropped."""
        departures = Departures()
        for number in range(MAX_DEPARTURES + 1):
            departures.add(make_record(f's{number}', state=GONE))
        states = [
            departures.state_of(make_record(f's{number}', sequence=2))
            for number in (0, 1, MAX_DEPARTURES)
        ]
        self.assertThat(states, Equals([READY, GONE, GONE]))
        packed = departures.pack()
        self.assertThat(packed, HasLength(MAX_DEPARTURES))
        self.assertThat(unpack_departures(packed).pack(), Equals(packed))

    def test_without_times_of_starts(self) -> None:
        """Without its time, a start is told by its first heartbeat."""
        departures = Departures()
        departures.add(SearcherRecord('a', '', '', '', 0, 0, 0, 0, GONE))
        states = [
            departures.state_of(make_record('a', sequence=sequence, born_ms=0))
            for sequence in (1, 2)
        ]
        self.assertThat(states, Equals([READY, GONE]))

    def test_versions(self) -> None:
        """A departure holds for its start, whatever version it states."""
        departures = Departures()
        record = make_record('a', born_ms=5, state=GONE)
        record.version = 'v1'
        departures.add(record)
        copy = unpack_departures(departures.pack())
        self.assertThat(copy.newest(1), Equals([record]))
        self.assertThat(
            copy.state_of(make_record('a', born_ms=5)), Equals(GONE)
        )
        later = make_record('a', born_ms=6)
        later.version = 'v1'
        self.assertThat(copy.state_of(later), Equals(READY))


class VersionTest(TestCase):
    """Versions of searchers on their way between hosts."""

    def test_without_version(self) -> None:
        """A record without a version is the same as before."""
        record = make_record('a')
        self.assertThat(len(msgpack.unpackb(encode(record))), Equals(11))

    def test_with_version(self) -> None:
        """A version reaches other hosts, also when it changes."""
        record = make_record('a')
        record.version = 'v1'
        self.assertThat(decode(encode(record)), Equals(record))
        status = SearcherStatus(record, 'h1', 0)
        self.assertThat(status.to_record(READY, 0).version, Equals('v1'))
        changed = make_record('a', sequence=record.sequence + 1)
        changed.version = 'v2'
        self.assertThat(status.apply_record(changed, 'h1', 1), Equals(True))
        self.assertThat(status.to_record(READY, 1).version, Equals('v2'))
