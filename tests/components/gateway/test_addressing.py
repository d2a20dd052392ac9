"""Tests of the entry host addresses that callers receive."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.components.deployment.messages import (
    EntryRecord,
    HostsUpdate,
)
from snipejunction.components.gateway.addressing import find_addresses
from snipejunction.components.gateway.updates import (
    remove_control,
    update_hosts,
)
from tests.components.gateway.stage import (
    install_document,
    make_route,
    make_table,
)


class AddressingTest(TestCase):
    """Entry hosts of several data centres, listed by two control hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.table = make_table()
        self.send_hosts('c1', ('a', 'near', 'one'), ('b', 'far', 'two'))
        self.send_hosts('c2', ('c', 'near', 'one'))

    def send_hosts(self, sender: str, *entries: tuple[str, str, str]) -> None:
        records = [
            EntryRecord(name, f'{name}:80', data_centre, region)
            for name, data_centre, region in entries
        ]
        update = HostsUpdate({sender: 'near'}, records, False)
        update.sender = sender
        update_hosts(update, self.table, 0)

    def addresses_for(self, data_centre: str, region: str) -> list[str]:
        return find_addresses(self.table, data_centre, region)

    def test_same_data_centre(self) -> None:
        """Hosts in the caller's data centre are merged from all lists."""
        self.assertThat(
            self.addresses_for('near', 'one'), Equals(['a:80', 'c:80'])
        )

    def test_same_region(self) -> None:
        """Hosts of the region are the fallback, then all hosts."""
        self.assertThat(self.addresses_for('new', 'two'), Equals(['b:80']))
        self.assertThat(
            self.addresses_for('new', 'new'),
            Equals(['a:80', 'b:80', 'c:80']),
        )

    def test_homes(self) -> None:
        """Callers of other regions get hosts in the homes of the routes."""
        home = make_route(regions=frozenset(('two', 'three')))
        install_document(self.table, home)
        found = find_addresses(self.table, 'new', 'new', 'A.example:80')
        self.assertThat(found, Equals(['b:80']))
        near = find_addresses(self.table, 'near', 'one', 'a.example')
        self.assertThat(near, Equals(['a:80', 'c:80']))
        other = find_addresses(self.table, 'new', 'new', 'b.example')
        self.assertThat(other, Equals(['a:80', 'b:80', 'c:80']))

    def test_lost_control_host(self) -> None:
        """Hosts that only a lost control host listed are dropped."""
        remove_control('c1', self.table, 0)
        self.assertThat(self.addresses_for('near', 'one'), Equals(['c:80']))

    def test_control_host_without_entries(self) -> None:
        """An empty list does not replace that of a lost control host."""
        self.send_hosts('c2')
        remove_control('c1', self.table, 0)
        self.assertThat(self.addresses_for('near', 'one'), Equals(['a:80']))

    def test_replaced_later(self) -> None:
        """A lost control host's list is kept until another one lists hosts."""
        self.send_hosts('c2')
        remove_control('c1', self.table, 0)
        self.send_hosts('c2', ('c', 'near', 'one'))
        self.assertThat(self.addresses_for('near', 'one'), Equals(['c:80']))

    def test_last_control_host(self) -> None:
        """The list of the last control host is kept after its loss."""
        remove_control('c1', self.table, 0)
        remove_control('c2', self.table, 0)
        self.assertThat(self.addresses_for('near', 'one'), Equals(['c:80']))

    def test_stopping_host(self) -> None:
        """A host that was removed from a list is dropped."""
        self.send_hosts('c2')
        self.assertThat(self.addresses_for('near', 'one'), Equals(['a:80']))

    def test_limited_selection(self) -> None:
        """The selection is limited and independent of the list order."""
        hosts = [(f'h{number}', 'near', 'one') for number in range(14)]
        self.send_hosts('c1', *hosts)
        addresses = self.addresses_for('near', 'one')
        self.assertThat(len(addresses), Equals(3))
        self.send_hosts('c1', *reversed(hosts))
        self.assertThat(self.addresses_for('near', 'one'), Equals(addresses))

    def test_replacement_of_a_lost_host(self) -> None:
        """A lost host is replaced without changing the other addresses."""
        hosts = [(f'h{number}', 'near', 'one') for number in range(14)]
        self.send_hosts('c1', *hosts)
        addresses = self.addresses_for('near', 'one')
        lost = addresses[0].partition(':')[0]
        self.send_hosts('c1', *(host for host in hosts if host[0] != lost))
        after = self.addresses_for('near', 'one')
        self.assertThat(len(after), Equals(3))
        self.assertThat(len(set(after) & set(addresses)), Equals(2))
