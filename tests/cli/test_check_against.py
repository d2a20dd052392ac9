"""Check of a deployment document before it is sent."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import tempfile
from pathlib import Path
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from snipejunction.cli.program import run
from tests.platform.test_documents import CUSTOMERS, DOCUMENT, KEYS, digest_of

NEW_KEY = 'key-four'


class CheckCase(TestCase):
    """A document in force and a changed one."""

    def setUp(self) -> None:
        """Write the version in force; prepare a change of it."""
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.in_force = Path(folder) / 'in_force.json'
        self.file = Path(folder) / 'new.json'
        self.in_force.write_text(json.dumps(dict(DOCUMENT)))
        self.changed: dict[str, Any] = copy.deepcopy(dict(DOCUMENT))
        self.changed['version'] += 1
        self.route = self.changed['routes'][0]
        self.backends = self.changed['routes'][1]['backends']

    def check(self, *options: str) -> tuple[int, str]:
        """Return the exit code and the output for the changed document."""
        self.file.write_text(json.dumps(self.changed))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = run(
                (
                    'check',
                    str(self.file),
                    '--against',
                    str(self.in_force),
                    *options,
                )
            )
        return code, printed.getvalue()

    def check_remark(self, remark: str, *options: str) -> None:
        code, printed = self.check(*options)
        self.assertThat(printed, Contains(f'remark: {remark}'))
        self.assertThat(code, Equals(1))


class CheckAgainstTest(CheckCase):
    """Errors, remarks and changes with their exit codes."""

    def test_fine(self) -> None:
        """A version that only is newer has neither remarks nor changes."""
        self.assertThat(self.check(), Equals((0, '')))

    def test_error(self) -> None:
        """What a control host refuses is an error, with its field."""
        self.route['pathPrefix'] = 'p'
        code, printed = self.check()
        self.assertThat(printed, Contains('error: /routes/0/pathPrefix'))
        self.assertThat(code, Equals(2))

    def test_hidden_prefix(self) -> None:
        """A route behind another one with its host and prefix is an error."""
        self.changed['routes'].append(dict(self.route, name='r-3'))
        code, printed = self.check()
        self.assertThat(printed, Contains('same host and prefix'))
        self.assertThat(code, Equals(2))

    def test_unreadable(self) -> None:
        """A version in force that is missing is an error."""
        self.in_force.unlink()
        self.assertThat(self.check()[0], Equals(2))

    def test_unused_service(self) -> None:
        """A service that no route uses."""
        self.changed['services'].append({'name': 's9'})
        self.check_remark('services/s9: no route uses it')

    def test_timeout_below_objective(self) -> None:
        """A timeout before the objective."""
        self.route['sloMs'] = self.route['timeoutMs'] + 1
        self.check_remark('routes/r-1: the timeout of 0.5 s')

    def test_weight_zero(self) -> None:
        """A part of the requests that is none."""
        self.backends[0]['weight'] = 0
        self.check_remark('routes/r-2: s0 has weight 0')

    def test_region_without_data_centre(self) -> None:
        """A home that has no data centre."""
        self.check_remark(
            'routes/r-2: region lagos has no data centre', '--region', 'kano'
        )

    def test_version_not_above(self) -> None:
        """A version that would change nothing is named."""
        self.changed['version'] = DOCUMENT['version']
        self.check_remark('version: 7 is not above 7')

    def test_changes(self) -> None:
        """Entries that were added, removed and changed."""
        self.route['attempts'] = 3
        self.changed['routes'][1]['name'] = 'r-9'
        code, printed = self.check('--json')
        found = {
            (change['path'], change['problem'])
            for change in json.loads(printed)['changes']
        }
        expected = {
            ('routes/r-1/attempts', '2 becomes 3'),
            ('routes/r-2', 'removed'),
            ('routes/r-9', 'added'),
        }
        self.assertThat(found, Equals(expected))
        self.assertThat(code, Equals(0))

    def test_changed_keys(self) -> None:
        """Changes of keys are counted; nothing made from a key is printed."""
        customer = {'name': 'large', 'apiKeys': ['k-1', 'k-2']}
        empty = {'name': 'empty', 'apiKeys': []}
        in_force = {**DOCUMENT, 'tenants': [customer]}
        self.in_force.write_text(json.dumps(in_force))
        customers = [{**customer, 'apiKeys': ['k-1', 'k-3', 'k-4']}, empty]
        self.changed['tenants'] = customers
        _, printed = self.check()
        self.assertThat(
            printed.splitlines(),
            Equals(
                [
                    f'{self.file}: remark: customers/empty: without keys it '
                    'can send no request',
                    f'{self.file}: change: customers/empty: added',
                    f'{self.file}: change: customers/large/keys: 1 removed, '
                    '2 added',
                ]
            ),
        )

    def test_list_of_customers(self) -> None:
        """A list of customers, even an empty one, asks for keys."""
        self.changed['tenants'] = []
        _, printed = self.check()
        self.assertThat(
            printed, Contains('change: customers: requests need keys')
        )
        self.in_force.write_text(json.dumps({**DOCUMENT, 'tenants': []}))
        self.changed.pop('tenants')
        _, printed = self.check()
        self.assertThat(
            printed, Contains('change: customers: requests need no keys')
        )


class CheckCustomersTest(CheckCase):
    """Customers: their keys, quotas and regions."""

    def setUp(self) -> None:
        """Give both versions the same customers."""
        super().setUp()
        table = {**DOCUMENT, 'tenants': CUSTOMERS}
        self.in_force.write_text(json.dumps(table))
        self.changed['tenants'] = copy.deepcopy(list(CUSTOMERS))
        self.large = self.changed['tenants'][0]
        self.small = self.changed['tenants'][1]

    def check_error(self, *parts: str) -> None:
        code, printed = self.check()
        for part in ('error: /tenants/', *parts):
            self.assertThat(printed, Contains(part))
        self.assert_secret(printed)
        self.assertThat(code, Equals(2))

    def assert_secret(self, printed: str) -> None:
        """Check that neither keys nor their digests are printed."""
        for key in (*KEYS, NEW_KEY):
            digest = digest_of(key)
            for secret in (key, digest.hex(), repr(digest)[2:-1]):
                self.assertThat(printed, Not(Contains(secret)))

    def test_fine(self) -> None:
        """Customers that stay have neither remarks nor changes."""
        self.assertThat(self.check(), Equals((0, '')))

    def test_shared_key(self) -> None:
        """A key of two customers is an error that names both."""
        self.small['apiKeys'].append(KEYS[0])
        self.check_error('large', 'small')

    def test_shared_name(self) -> None:
        """A name of two customers is an error that names both entries."""
        self.small['name'] = 'large'
        self.check_error('large', 'entries 0 and 1')

    def test_burst_without_rate(self) -> None:
        """A burst beyond no limit."""
        self.small['burst'] = 5
        self.check_remark('customers/small: a burst without a rate')

    def test_burst_below_one(self) -> None:
        """A burst that holds no request."""
        self.large['burst'] = 0.5
        self.check_remark('customers/large: a burst of 0.5 is below one')

    def test_without_keys(self) -> None:
        """A customer that can send nothing; its keys were removed."""
        self.small['apiKeys'] = []
        self.check_remark('customers/small: without keys')
        self.assertThat(
            self.check()[1],
            Contains('customers/small/keys: 1 removed, 0 added'),
        )

    def test_no_common_region(self) -> None:
        """A route that never serves a customer, also if it is public."""
        self.large['homeRegions'] = ['kano']
        remark = 'customers/large: no region in common with route r-2'
        self.check_remark(remark)
        self.changed['routes'][1]['public'] = True
        self.check_remark(remark)

    def test_region_without_data_centre(self) -> None:
        """A home that has no data centre."""
        self.check_remark(
            'customers/large: region lagos has no data centre',
            '--region',
            'kano',
        )

    def test_changes(self) -> None:
        """Changes of customers; of keys, numbers only."""
        self.large.update(
            apiKeys=[KEYS[0], NEW_KEY],
            burst=9,
            homeRegions=['oyo', 'lagos'],
            priority=None,
            ratePerS=7,
        )
        self.small['name'] = 'new'
        code, printed = self.check('--json')
        self.assert_secret(printed)
        changes = json.loads(printed)['changes']
        found = {change['path']: change['problem'] for change in changes}
        expected = {
            'customers/small': 'removed',
            'customers/new': 'added',
            'customers/large/burst': '5 becomes 9',
            'customers/large/keys': '1 removed, 1 added',
            'customers/large/priority': '0 becomes None',
            'customers/large/rate': '2.5 becomes 7',
            'customers/large/regions': 'lagos becomes lagos, oyo',
        }
        self.assertThat(found, Equals(expected))
        self.assertThat(code, Equals(0))
