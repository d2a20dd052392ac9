"""Tests of the replicated state and its deduplication of change ids."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.replication.codec import (
    pack_documents,
    pack_snapshot,
    unpack_group_snapshot,
)
from snipejunction.components.control.replication.messages import (
    HostChange,
    SettingsEntry,
    ViewEntry,
)
from snipejunction.components.control.replication.state import ReplicatedState
from snipejunction.components.control.view import HostEntry
from snipejunction.const import (
    CODE_CONFLICT,
    CODE_ID_EXPIRED,
    CODE_ID_REUSED,
)

WINDOW = 4


def _entry(change_id: str, base: int, team: str = 'a') -> SettingsEntry:
    written = pack_documents({f'/teams/{team}/services/s': {'deadline': 1}})
    return SettingsEntry(change_id, BOOTSTRAP_OPERATOR, 'h', 0, base, written)


def _host(incarnation: str) -> HostEntry:
    return HostEntry('h', '10.0.0.1', 1, 2, 'dc', 'r', incarnation)


class ChangeIdTest(TestCase):
    """Deduplication of changes by their ids."""

    def setUp(self) -> None:
        super().setUp()
        self.state = ReplicatedState(WINDOW)

    def test_resend(self) -> None:
        """A resend with the same id and content gets the first answer."""
        first = self.state.apply_change(5, _entry('one', 0))
        again = self.state.apply_change(6, _entry('one', 0))
        self.assertThat(again, Equals(first))
        self.assertThat(self.state.revision, Equals(5))

    def test_resend_of_refused_change(self) -> None:
        """A refused change stays refused with the winner's revision."""
        self.state.apply_change(5, _entry('one', 0))
        first = self.state.apply_change(6, _entry('two', 0))
        self.state.apply_change(7, _entry('three', 5))
        again = self.state.apply_change(8, _entry('two', 0))
        self.assertThat(again, Equals(first))
        self.assertThat(
            (again.code, again.revision), Equals((CODE_CONFLICT, 5))
        )

    def test_other_content(self) -> None:
        """The same id with another base counts as other content."""
        self.state.apply_change(5, _entry('one', 0))
        answer = self.state.apply_change(6, _entry('one', 5))
        self.assertThat(answer.code, Equals(CODE_ID_REUSED))

    def test_forgotten_id_never_runs_again(self) -> None:
        """An id older than the window is refused."""
        self.state.apply_change(1, _entry('old', 0, 'quiet'))
        for index in range(2, WINDOW + 3):
            self.state.apply_change(index, _entry(f'c{index}', index - 1))
        # The subtree of the old change was not changed since.
        answer = self.state.apply_change(20, _entry('old', 0, 'quiet'))
        self.assertThat(answer.code, Equals(CODE_ID_EXPIRED))

    @given(st.lists(st.integers(0, 12), min_size=1, max_size=60))
    def test_each_id_runs_once(self, sends: list[int]) -> None:
        """Each id has an effect at most once for any order of resends."""
        state = ReplicatedState(WINDOW)
        entries: dict[int, SettingsEntry] = {}
        effects = []
        for index, number in enumerate(sends, start=1):
            entry = entries.setdefault(
                number,
                _entry(f'c{number}', state.revision, f't{number}'),
            )
            before = state.revision
            state.apply_change(index, entry)
            if state.revision > before:
                effects.append(number)
            state = _copy(state)
        self.assertThat(len(effects), Equals(len(set(effects))))


class ViewChangeTest(TestCase):
    """Entries that change the view."""

    def test_stale_removal(self) -> None:
        """A removal of an earlier incarnation has no effect."""
        state = ReplicatedState()
        state.apply_view(1, ViewEntry([HostChange('h', '', _host('i1'))]))
        state.apply_view(2, ViewEntry([HostChange('h', 'i1', _host('i2'))]))
        removal = ViewEntry([HostChange('h', 'i1', None)])
        self.assertThat(state.apply_view(3, removal), Is(False))
        self.assertThat(state.joined_at('h'), Equals(2))

    def test_double_join(self) -> None:
        """Of two joins of a new host only the first has an effect."""
        state = ReplicatedState()
        state.apply_view(1, ViewEntry([HostChange('h', '', _host('i1'))]))
        join = ViewEntry([HostChange('h', '', _host('i2'))])
        self.assertThat(state.apply_view(2, join), Is(False))
        self.assertThat(state.hosts['h'].incarnation, Equals('i1'))


class SnapshotTest(TestCase):
    """Snapshots of the replicated state."""

    def test_whole_state_survives(self) -> None:
        """A restored state gives the same snapshot as the original."""
        state = ReplicatedState(WINDOW)
        state.apply_view(1, ViewEntry([HostChange('h', '', _host('i1'))]))
        for index in range(2, 12):
            state.apply_change(index, _entry(f'c{index}', index - 1))
        packed = pack_snapshot(state.snapshot())
        self.assertThat(pack_snapshot(_copy(state).snapshot()), Equals(packed))


def _copy(state: ReplicatedState) -> ReplicatedState:
    restored = ReplicatedState(WINDOW)
    packed = pack_snapshot(state.snapshot())
    restored.restore(unpack_group_snapshot(packed))
    return restored
