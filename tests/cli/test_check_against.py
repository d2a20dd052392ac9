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
from testtools.matchers import Contains, Equals

from snipejunction.cli.program import run
from tests.platform.test_documents import DOCUMENT


class CheckAgainstTest(TestCase):
    """Errors, remarks and changes with their exit codes."""

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
