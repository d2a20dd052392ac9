"""Tests of the collection of departures."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from snipejunction.components.registration.const import GONE, READY
from snipejunction.components.registration.departures import (
    MAX_DEPARTURES,
    Departures,
    unpack_departures,
)
from snipejunction.components.registration.messages import SearcherRecord
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
