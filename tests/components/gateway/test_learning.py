"""What an entry host believes of searchers and of the deployment."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.components.deployment.messages import DeploymentFed
from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.learning import (
    apply_deployment,
    drop_gone_searchers,
    remove_control,
)
from snipejunction.components.registration.const import (
    GONE,
    GONE_SECONDS,
    LEAVING,
    SILENT,
)
from snipejunction.errors import SettingsError
from tests.components.gateway.stage import (
    install,
    make_record,
    make_route,
    make_table,
    tell,
)


class SilenceTest(TestCase):
    """Searchers that one control host hears and another does not."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.route = make_route()
        install(self.table, self.route)

    def is_silent(self, searcher_id: str) -> bool:
        return self.table.upstreams[searcher_id].is_silent

    def test_other_control_hears(self) -> None:
        """A searcher is not silent while any control host hears it.

        Announcements go to one control host after the other; the second
        one tells nothing more while nothing changes, though it hears later
        announcements than the first.
        """
        tell(self.table, make_record('a', sequence=1), sender='c1')
        tell(self.table, make_record('a', sequence=2), sender='c2')
        silent = make_record('a', sequence=3, state=SILENT)
        tell(self.table, silent, sender='c1')
        self.assertThat(self.is_silent('a'), Is(False))
        silent = make_record('a', sequence=9, state=SILENT)
        tell(self.table, silent, sender='c2')
        self.assertThat(self.is_silent('a'), Is(True))

    def test_silent_is_last_choice(self) -> None:
        """A silent searcher is asked only if no other is there."""
        tell(self.table, make_record('a'), make_record('b', place='far'))
        tell(self.table, make_record('a', sequence=2, state=SILENT))
        chosen = choose_upstream('s', self.route, (), self.table, 1)
        self.assertThat(chosen.searcher_id, Equals('b'))
        chosen = choose_upstream('s', self.route, {'b'}, self.table, 1)
        self.assertThat(chosen.searcher_id, Equals('a'))

    def test_heard_again(self) -> None:
        """A newer announcement ends the silence."""
        tell(self.table, make_record('a'))
        tell(self.table, make_record('a', sequence=2, state=SILENT))
        tell(self.table, make_record('a', sequence=3))
        self.assertThat(self.is_silent('a'), Is(False))

    def test_lost_control(self) -> None:
        """What a control host said counts no more once it is lost."""
        tell(self.table, make_record('a', sequence=1), sender='c1')
        tell(self.table, make_record('a', sequence=2), sender='c2')
        silent = make_record('a', sequence=9, state=SILENT)
        tell(self.table, silent, sender='c2')
        self.assertThat(self.is_silent('a'), Is(False))
        remove_control('c1', self.table)
        self.assertThat(self.is_silent('a'), Is(True))


class NewsTest(TestCase):
    """Order of news about one searcher."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install(self.table, make_route())

    def chosen(self):
        return choose_upstream('s', make_route(), (), self.table, 100)

    def test_leaving(self) -> None:
        """A leaving searcher gets no work, whoever is late with news."""
        tell(self.table, make_record('a', sequence=5, state=LEAVING))
        tell(self.table, make_record('a', sequence=4), sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_gone_stays_gone(self) -> None:
        """A late announcement does not bring a searcher back."""
        tell(self.table, make_record('a', sequence=5))
        tell(self.table, make_record('a', sequence=5, state=GONE))
        tell(self.table, make_record('a', sequence=6), sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_gone_without_details(self) -> None:
        """A control host that never heard of it may say that it is gone."""
        tell(self.table, make_record('a', sequence=5))
        stub = make_record('a', '', sequence=0, born=0, state=GONE)
        tell(self.table, stub, sender='c2')
        self.assertThat(self.chosen(), Is(None))

    def test_new_start_under_same_id(self) -> None:
        """A searcher that starts again counts anew, and may be cold."""
        tell(self.table, make_record('a', sequence=50, state=GONE))
        fresh = make_record('a', sequence=1, born=2, cold=3)
        tell(self.table, fresh, now=99)
        self.assertThat(self.table.upstreams['a'].cold_until, Equals(102))
        tell(self.table, make_record('a', sequence=51, born=1))
        self.assertThat(self.table.upstreams['a'].record.born_ms, Equals(2))


class ForgettingTest(TestCase):
    """Searchers that are gone."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        install(self.table, make_route())
        tell(self.table, make_record('a'), make_record('b'), now=10)
        tell(self.table, make_record('a', state=GONE), now=20)

    def test_no_choice_but_remembered(self) -> None:
        """One that is gone is no choice, and late news change nothing."""
        drop_gone_searchers(self.table, 21)
        of_service = self.table.upstreams_by_service['s']
        self.assertThat(list(of_service), Equals(['b']))
        tell(self.table, make_record('a', sequence=9), now=22)
        self.assertThat(list(of_service), Equals(['b']))

    def test_forgotten_in_the_end(self) -> None:
        """Restarts of searchers do not fill the memory of a host."""
        drop_gone_searchers(self.table, 20 + GONE_SECONDS + 1)
        self.assertThat(list(self.table.upstreams), Equals(['b']))

    def test_kept_with_work_in_flight(self) -> None:
        """One that still has requests is kept until they end."""
        self.table.upstreams['a'].in_flight = 1
        drop_gone_searchers(self.table, 20 + GONE_SECONDS + 1)
        self.assertThat(sorted(self.table.upstreams), Equals(['a', 'b']))


class DeploymentTest(TestCase):
    """Documents and drains from several control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.route = make_route()
        install(self.table, self.route)
        tell(self.table, make_record('a'))

    def feed(self, index: int, version: int, out, now: float = 10.0):
        fed = DeploymentFed(index, version, b'x', out)
        fed.sender = 'c2'
        return list(apply_deployment(fed, self.table, self.refuse, now))

    def refuse(self, content: bytes):
        raise SettingsError('/', 'unreadable')

    def test_older_changes_nothing(self) -> None:
        """An older deployment does not end a drain."""
        self.feed(5, 1, {'near': True})
        self.feed(4, 1, {'near': False})
        self.assertThat(self.table.drained['near'], Is(True))

    def test_drained(self) -> None:
        """A drained data centre gets nothing, and returns cold."""
        self.feed(5, 1, {'near': True})
        chosen = choose_upstream('s', self.route, (), self.table, 11)
        self.assertThat(chosen, Is(None))
        self.feed(6, 1, {'near': False}, now=20)
        self.assertThat(self.table.upstreams['a'].cold_until, Equals(23))

    def test_unreadable(self) -> None:
        """A document that cannot be read leaves the old one in force."""
        events = self.feed(7, 2, {})
        self.assertThat(events[0].event.number, Equals(941))
        self.assertThat(self.table.document.version, Equals(1))
        self.assertThat(self.table.index, Equals(1))
