"""Tests of updates from control hosts to an entry host."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from snipejunction.components.deployment.messages import DeploymentUpdate
from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.document import Document
from snipejunction.components.gateway.updates import (
    apply_deployment,
    drop_gone_searchers,
    remove_control,
)
from snipejunction.components.registration.const import (
    GONE,
    GONE_RETENTION_SECONDS,
    LEAVING,
    SILENT,
)
from snipejunction.errors import SettingsError
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)


class SilenceTest(TestCase):
    """Searchers whose announcements reach only some control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.route = make_route()
        install_document(self.table, self.route)

    def is_silent(self, searcher_id: str) -> bool:
        return self.table.upstreams[searcher_id].is_silent

    def test_other_control_hears(self) -> None:
        """A searcher is not silent while any control host receives it.

        A searcher that moved to another control host becomes silent at the
        first one. The second one sends no update while nothing changes,
        although it receives the later announcements.
        """
        report_searchers(self.table, make_record('a', sequence=1), sender='c1')
        report_searchers(self.table, make_record('a', sequence=2), sender='c2')
        silent = make_record('a', sequence=3, state=SILENT)
        report_searchers(self.table, silent, sender='c1')
        self.assertThat(self.is_silent('a'), Is(False))
        silent = make_record('a', sequence=9, state=SILENT)
        report_searchers(self.table, silent, sender='c2')
        self.assertThat(self.is_silent('a'), Is(True))

    def test_silent_is_last_choice(self) -> None:
        """A silent searcher is selected only if there is no other."""
        report_searchers(
            self.table, make_record('a'), make_record('b', data_centre='far')
        )
        report_searchers(self.table, make_record('a', sequence=2, state=SILENT))
        chosen = choose_upstream('s', self.route, (), self.table, 1)
        self.assertThat(chosen.searcher_id, Equals('b'))
        chosen = choose_upstream('s', self.route, {'b'}, self.table, 1)
        self.assertThat(chosen.searcher_id, Equals('a'))

    def test_heard_again(self) -> None:
        """A newer announcement clears the silent state."""
        report_searchers(self.table, make_record('a'))
        report_searchers(self.table, make_record('a', sequence=2, state=SILENT))
        report_searchers(self.table, make_record('a', sequence=3))
        self.assertThat(self.is_silent('a'), Is(False))

    def test_lost_control(self) -> None:
        """Reports of a lost control host are dropped."""
        report_searchers(self.table, make_record('a', sequence=1), sender='c1')
        report_searchers(self.table, make_record('a', sequence=2), sender='c2')
        silent = make_record('a', sequence=9, state=SILENT)
        report_searchers(self.table, silent, sender='c2')
        self.assertThat(self.is_silent('a'), Is(False))
        remove_control('c1', self.table, 0)
        self.assertThat(self.is_silent('a'), Is(True))


class NewsTest(TestCase):
    """Ordering of updates about one searcher."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install_document(self.table, make_route())

    def chosen(self):
        return choose_upstream('s', make_route(), (), self.table, 100)

    def test_leaving(self) -> None:
        """A leaving searcher is not selected; older updates are ignored."""
        report_searchers(
            self.table, make_record('a', sequence=5, state=LEAVING)
        )
        report_searchers(self.table, make_record('a', sequence=4), sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_gone_stays_gone(self) -> None:
        """A late announcement does not restore a searcher that is gone."""
        report_searchers(self.table, make_record('a', sequence=5))
        report_searchers(self.table, make_record('a', sequence=5, state=GONE))
        report_searchers(self.table, make_record('a', sequence=6), sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_gone_without_details(self) -> None:
        """A record without details marks a known searcher as gone."""
        report_searchers(self.table, make_record('a', sequence=5))
        unknown = make_record('a', '', sequence=0, born_ms=0, state=GONE)
        report_searchers(self.table, unknown, sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_new_start_under_same_id(self) -> None:
        """A restarted searcher replaces its older record and may be cold."""
        report_searchers(self.table, make_record('a', sequence=50, state=GONE))
        fresh = make_record('a', sequence=1, born_ms=2, cold=3)
        report_searchers(self.table, fresh, now=99)
        self.assertThat(self.table.upstreams['a'].cold_until, Equals(102))
        report_searchers(self.table, make_record('a', sequence=51, born_ms=1))
        self.assertThat(self.table.upstreams['a'].record.born_ms, Equals(2))


class ForgettingTest(TestCase):
    """Removal of searchers that are gone."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install_document(self.table, make_route())
        report_searchers(self.table, make_record('a'), make_record('b'), now=10)
        report_searchers(self.table, make_record('a', state=GONE), now=20)

    def test_no_choice_but_remembered(self) -> None:
        """A searcher that is gone is not selected again after late updates."""
        drop_gone_searchers(self.table, 21)
        of_service = self.table.upstreams_by_service['s']
        self.assertThat(list(of_service), Equals(['b']))
        report_searchers(self.table, make_record('a', sequence=9), now=22)
        self.assertThat(list(of_service), Equals(['b']))

    def test_forgotten_in_the_end(self) -> None:
        """A searcher is dropped after the retention time, to bound memory."""
        drop_gone_searchers(self.table, 20 + GONE_RETENTION_SECONDS + 1)
        self.assertThat(list(self.table.upstreams), Equals(['b']))

    def test_kept_with_work_in_flight(self) -> None:
        """A searcher with requests in flight is kept until they end."""
        self.table.upstreams['a'].in_flight = 1
        drop_gone_searchers(self.table, 20 + GONE_RETENTION_SECONDS + 1)
        self.assertThat(sorted(self.table.upstreams), Equals(['a', 'b']))


class DeploymentTest(TestCase):
    """Documents and drains from several control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.route = make_route()
        install_document(self.table, self.route)
        report_searchers(self.table, make_record('a'))

    def apply_update(self, index: int, version: int, out, now: float = 10.0):
        update = DeploymentUpdate(index, version, b'x', out)
        update.sender = 'c2'
        return list(
            apply_deployment(update, self.table, self.reject_document, now)
        )

    def reject_document(self, content: bytes):
        raise SettingsError('/', 'unreadable')

    def test_older_changes_nothing(self) -> None:
        """An older deployment does not end a drain."""
        self.apply_update(5, 1, {'near': True})
        self.apply_update(4, 1, {'near': False})
        self.assertThat(self.table.drained['near'], Is(True))

    def test_drained(self) -> None:
        """A drained data centre gets no requests and is cold afterwards."""
        self.apply_update(5, 1, {'near': True})
        chosen = choose_upstream('s', self.route, (), self.table, 11)
        self.assertThat(chosen, Is(None))
        self.apply_update(6, 1, {'near': False}, now=20)
        self.assertThat(self.table.upstreams['a'].cold_until, Equals(23))

    def test_unreadable(self) -> None:
        """An unreadable document does not replace the current one."""
        events = self.apply_update(7, 2, {})
        self.assertThat(events[0].event.number, Equals(941))
        self.assertThat(self.table.document.version, Equals(1))
        self.assertThat(self.table.index, Equals(1))

    def test_removed_route(self) -> None:
        """Nothing is kept of routes that a newer document lacks."""
        scheduling = self.table.scheduling
        scheduling.throttle('r', 10)
        scheduling.turns.take('r', 12, 1, 9, 10)
        known = self.table.document
        newer = Document(2, (), known.services, known.limits)
        update = DeploymentUpdate(7, 2, b'', {})
        update.sender = 'c1'
        list(apply_deployment(update, self.table, lambda _: newer, 10))
        self.assertThat(scheduling.throttles, Equals({}))
        self.assertThat(scheduling.turns.take('r', 10, 1, 9, 10), LessThan(1))
