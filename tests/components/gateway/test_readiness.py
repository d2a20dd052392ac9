"""Tests of the readiness of an entry host."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Is

from snipejunction.components.gateway.document import Target
from snipejunction.components.gateway.readiness import is_prepared
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)


class ReadinessTest(TestCase):
    """A host that receives requests while it starts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()

    def test_without_document(self) -> None:
        """A host without a document cannot serve, however long it runs."""
        report_searchers(self.table, make_record('a'))
        self.assertThat(is_prepared(self.table, 100), Is(False))

    def test_searchers_for_all_routes(self) -> None:
        """Enough shards and each unsharded service need a searcher."""
        install_document(
            self.table,
            make_route('one'),
            make_route('all', shards=('s0', 's1', 's2'), min_share=0.6),
        )
        report_searchers(self.table, make_record('a'), make_record('b', 's0'))
        self.assertThat(is_prepared(self.table, 1), Is(False))
        report_searchers(self.table, make_record('c', 's1'))
        self.assertThat(is_prepared(self.table, 1), Is(True))

    def test_services_without_searchers(self) -> None:
        """A service without searchers delays a host only for a limited time."""
        install_document(self.table, make_route())
        self.assertThat(is_prepared(self.table, 1.4), Is(False))
        self.assertThat(is_prepared(self.table, 1.5), Is(True))

    def test_route_to_a_service_that_is_gone(self) -> None:
        """A route without searchers among others does not delay a host."""
        dead = make_route('dead', targets=(Target('gone', 1),))
        install_document(self.table, make_route(), dead)
        report_searchers(self.table, make_record('a'))
        self.assertThat(is_prepared(self.table, 0.1), Is(True))

    def test_stays_prepared(self) -> None:
        """A prepared host stays prepared when its searchers are lost."""
        install_document(self.table, make_route())
        report_searchers(self.table, make_record('a'))
        self.assertThat(is_prepared(self.table, 1), Is(True))
        self.table.upstreams_by_service.clear()
        self.assertThat(is_prepared(self.table, 2), Is(True))
