"""Addresses that callers are told to use."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsFed,
)
from snipejunction.components.gateway.addressing import find_addresses
from snipejunction.components.gateway.learning import (
    remove_control,
    update_hosts,
)
from tests.components.gateway.stage import make_table


class AddressingTest(TestCase):
    """Entry hosts of several data centres, told by two control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.tell('c1', ('a', 'near', 'one'), ('b', 'far', 'two'))
        self.tell('c2', ('c', 'near', 'one'))

    def tell(self, sender: str, *entries: tuple[str, str, str]) -> None:
        records = [
            EntryRecord(name, f'{name}:80', place, region)
            for name, place, region in entries
        ]
        fed = HostsFed({sender: 'near'}, records, False)
        fed.sender = sender
        update_hosts(fed, self.table, 0)

    def found(self, data_centre: str, region: str) -> list[str]:
        return find_addresses(self.table, data_centre, region)

    def test_same_data_centre(self) -> None:
        """Hosts of the caller's data centre that any control host knows."""
        self.assertThat(self.found('near', 'one'), Equals(['a:80', 'c:80']))

    def test_same_region(self) -> None:
        """Without any there, hosts of the region; else all hosts."""
        self.assertThat(self.found('new', 'two'), Equals(['b:80']))
        self.assertThat(
            self.found('new', 'new'),
            Equals(['a:80', 'b:80', 'c:80']),
        )

    def test_lost_control_host(self) -> None:
        """Hosts that only a lost control host named are not told."""
        remove_control('c1', self.table)
        self.assertThat(self.found('near', 'one'), Equals(['c:80']))

    def test_control_host_without_entries(self) -> None:
        """One that names nobody does not replace a lost one."""
        self.tell('c2')
        remove_control('c1', self.table)
        self.assertThat(self.found('near', 'one'), Equals(['a:80']))

    def test_replaced_later(self) -> None:
        """What nobody vouches for holds until another one names hosts."""
        self.tell('c2')
        remove_control('c1', self.table)
        self.tell('c2', ('c', 'near', 'one'))
        self.assertThat(self.found('near', 'one'), Equals(['c:80']))

    def test_last_control_host(self) -> None:
        """What the last control host said holds on without it."""
        remove_control('c1', self.table)
        remove_control('c2', self.table)
        self.assertThat(self.found('near', 'one'), Equals(['c:80']))

    def test_stopping_host(self) -> None:
        """A host that stops is named no more."""
        self.tell('c2')
        self.assertThat(self.found('near', 'one'), Equals(['a:80']))

    def test_few_of_many(self) -> None:
        """A few hosts of a data centre are named, the same by all hosts."""
        hosts = [(f'h{number}', 'near', 'one') for number in range(14)]
        self.tell('c1', *hosts)
        found = self.found('near', 'one')
        self.assertThat(len(found), Equals(3))
        self.tell('c1', *reversed(hosts))
        self.assertThat(self.found('near', 'one'), Equals(found))

    def test_successor_of_a_lost_host(self) -> None:
        """When a named host is lost, another takes its place."""
        hosts = [(f'h{number}', 'near', 'one') for number in range(14)]
        self.tell('c1', *hosts)
        found = self.found('near', 'one')
        lost = found[0].partition(':')[0]
        self.tell('c1', *(host for host in hosts if host[0] != lost))
        after = self.found('near', 'one')
        self.assertThat(len(after), Equals(3))
        self.assertThat(len(set(after) & set(found)), Equals(2))
