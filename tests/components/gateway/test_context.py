"""Tests of requests on behalf of customers: priority and homes."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.context import make_context
from snipejunction.components.gateway.document import Customer, Route
from snipejunction.components.gateway.parts import (
    SendAttempt,
    SendPartsToRelay,
)
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.updates import update_hosts
from tests.components.gateway.stage import (
    install_document,
    make_record,
    make_route,
    make_table,
    report_searchers,
)

SHARDS = ('s1', 's2')
PLACES = ('near', 'beside', 'far')


def make_customer(*regions: str, priority: int | None = None) -> Customer:
    """Return a customer with homes."""
    return Customer(
        'c', frozenset(), priority=priority, regions=frozenset(regions)
    )


class ContextTest(TestCase):
    """What a customer adds to its route."""

    def test_priority(self) -> None:
        """The priority of the customer goes before that of the route."""
        route = make_route(priority=2)
        for customer, priority in (
            (None, 2),
            (make_customer(), 2),
            (make_customer(priority=0), 0),
            (make_customer(priority=3), 3),
        ):
            context = make_context(route, customer)
            self.assertThat(context.priority, Equals(priority))


class HomesTest(TestCase):
    """Searchers and relays of requests with homes.

    Each place has a relay and searchers of all shards; ``near`` and
    ``beside`` are in the region ``one``, ``far`` in ``two``.
    """

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        entries = [
            EntryRecord(place, place, place, self.table.regions[place])
            for place in PLACES
        ]
        hosts = HostsUpdate({'c1': 'near'}, entries, False)
        hosts.sender = 'c1'
        update_hosts(hosts, self.table, 0)
        self.table.relays.connected_names.update(PLACES)
        report_searchers(
            self.table,
            *(
                make_record(f'{place}-{shard}', shard, data_centre=place)
                for place in PLACES
                for shard in SHARDS
            ),
        )

    def places_of(self, route: Route, customer: Customer | None) -> set[str]:
        """Return the places of all searchers and relays that get parts.

        All parts are repeated until no searcher is left.
        """
        install_document(self.table, route)
        run = RequestRun(
            'r', route, self.table, 9, 0, make_context(route, customer)
        )
        places = set()
        commands = list(run.start(0))
        while commands:
            command = commands.pop()
            attempts = []
            if isinstance(command, SendAttempt):
                attempts = [command.attempt]
            elif isinstance(command, SendPartsToRelay):
                attempts = command.attempts
                places.add(command.relay)
            for attempt in attempts:
                places.add(attempt.upstream.record.data_centre)
                unsent = Outcome(OutcomeKind.UNSENT)
                commands.extend(run.handle_outcome(attempt, unsent, 0))
        self.answer = run.answer
        return places

    def test_both_kinds(self) -> None:
        """The homes of the route and those of the customer both bind."""
        for of_route, of_customer, places in (
            ((), (), {'near', 'beside', 'far'}),
            (('one',), (), {'near', 'beside'}),
            ((), ('two',), {'far'}),
            (('one', 'two'), ('two',), {'far'}),
            (('two',), ('one', 'two'), {'far'}),
        ):
            route = make_route(
                shards=SHARDS, regions=frozenset(of_route), attempts=3
            )
            found = self.places_of(route, make_customer(*of_customer))
            self.assertThat(found, Equals(places))

    def test_no_common_home(self) -> None:
        """Without a common home a request is refused as not run."""
        route = make_route(shards=SHARDS, regions=frozenset(('one',)))
        found = self.places_of(route, make_customer('two'))
        self.assertThat(found, Equals(set()))
        self.assertThat(self.answer.status, Equals(503))
        self.assertTrue(self.answer.retry_after)
