"""Tests of address answers and of tokens."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan, Not

from snipejunction.components.control.const import (
    ADDRESS_TTL_SECONDS,
    BOOTSTRAP_OPERATOR,
)
from snipejunction.components.control.systems.access import (
    find_caller,
    find_operator,
)
from snipejunction.components.control.systems.addresses import rank_addresses
from snipejunction.components.control.tokens import hash_token
from tests.components.control.harness import ControlRun


class AddressTest(TestCase):
    """Address answers to callers."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlRun(100, voters=3, others=6)
        self.cluster.start_and_wait()

    def test_own_region_first(self) -> None:
        """The hosts of the region come before all others."""
        virtual = self.cluster.hosts['h003']
        node = virtual.core.node
        answer = rank_addresses(node, 'desk/app', 'region1', virtual.now)
        regions = [entry.region for entry in answer.hosts]
        self.assertThat(regions[:3], Equals(['region1', 'region1', 'region1']))
        self.assertThat(len(regions), Equals(9))

    def test_callers_are_spread(self) -> None:
        """Different callers begin with different hosts."""
        firsts = {
            self._names('h003', f'a/c{number}')[0] for number in range(30)
        }
        self.assertThat(len(firsts), Equals(3))

    def test_all_hosts_give_equal_answers(self) -> None:
        """Hosts of one region rank the addresses in the same order."""
        self.assertThat(self._names('h003'), Equals(self._names('h006')))

    def test_own_address_extends_serving(self) -> None:
        """A host that returns its own address serves until it expires."""
        virtual = self.cluster.hosts['h003']
        self._names('h003')
        self.assertThat(
            virtual.core.node.lifecycle.serve_until,
            Equals(virtual.now + ADDRESS_TTL_SECONDS),
        )

    def test_data_centre_out(self) -> None:
        """Hosts of a data centre that is out of service are not returned."""
        self.cluster.change(
            'h003',
            'out',
            path='/data-centres/dc1',
            document={'state': 'out'},
        )
        self.cluster.run_for(2)
        names = self._names('h004')
        self.assertThat(len(names), Equals(6))
        self.assertThat(names, Not(Contains('h004')))

    def test_without_lease(self) -> None:
        """A host without a lease omits itself and shortens the expiry."""
        self.cluster.network.isolate('h003')
        self.cluster.run_for(3)
        virtual = self.cluster.hosts['h003']
        answer = rank_addresses(virtual.core.node, 'a/c', '', virtual.now)
        names = [entry.name for entry in answer.hosts]
        self.assertThat(names, Not(Contains('h003')))
        self.assertThat(len(names), Equals(8))
        self.assertThat(answer.keep_seconds, LessThan(ADDRESS_TTL_SECONDS))

    def _names(self, host: str, caller: str = 'desk/app') -> list[str]:
        virtual = self.cluster.hosts[host]
        answer = rank_addresses(virtual.core.node, caller, '', virtual.now)
        return [entry.name for entry in answer.hosts]


class TokenTest(TestCase):
    """Lookup of callers and operators by their tokens."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = ControlRun(101, voters=1, others=1)
        self.cluster.start_and_wait()
        self.node = self.cluster.node('h001')

    def test_caller(self) -> None:
        """A caller is found until its document is removed."""
        path = '/teams/desk/callers/app'
        self._write(path, {'token_sha256': hash_token('secret')})
        self.assertThat(find_caller(self.node, 'secret'), Equals('desk/app'))
        self.assertThat(find_caller(self.node, 'Secret'), Equals(None))
        self._write(path, None)
        self.assertThat(find_caller(self.node, 'secret'), Equals(None))

    def test_operator(self) -> None:
        """An operator may write its subtrees and nothing else."""
        document = {
            'token_sha256': hash_token('secret'),
            'subtrees': ['/teams/desk'],
        }
        self._write('/operators/ann', document)
        operator = find_operator(self.node, 'secret')
        allowed = [
            operator.may_write('/teams/desk/services/s'),
            operator.may_write('/teams/desktop/services/s'),
            operator.may_write('/'),
        ]
        self.assertThat(allowed, Equals([True, False, False]))

    def test_bootstrap_operator(self) -> None:
        """The token in the settings file may write all paths."""
        digest = hash_token('first')
        self.node.host_settings.operator_token_sha256 = digest
        operator = find_operator(self.node, 'first')
        self.assertThat(operator.name, Equals(BOOTSTRAP_OPERATOR))
        self.assertThat(operator.may_write('/'), Equals(True))
        self.assertThat(find_operator(self.node, 'second'), Equals(None))

    def _write(self, path: str, document: object) -> None:
        self.cluster.change('h001', f'{path}{document}', None, path, document)
        self.cluster.run_for(1)
