"""Tests of the schemas of shared settings documents."""

from __future__ import annotations

from types import MappingProxyType

import pyjson5
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.components.control.settings_table import SettingsTable
from snipejunction.errors import SettingsError
from snipejunction.schema.shared import check_change

SERVICE = '/teams/desk/services/shelf'
VALID = MappingProxyType(
    {
        'callers': {'desk/app': {'rate': 10, 'concurrency': 3}},
        'prefer': 'coverage',
        'deadline': 0.2,
        'max_deadline': 2,
        'slots': 3,
    },
)
_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*VALID, 'rate', 'x']), inner)
    ),
    max_leaves=8,
)


def _validation_error(written: dict) -> str:
    try:
        check_change(written)
    except SettingsError as error:
        return str(error)
    return ''


class SharedSchemaTest(TestCase):
    """Tests of validating a change."""

    def test_good_service(self) -> None:
        """A service document with fields of each type is valid."""
        self.assertThat(_validation_error({SERVICE: dict(VALID)}), Equals(''))

    def test_error_names_path_and_bound(self) -> None:
        """The error states the path of the value and its bounds."""
        message = _validation_error({SERVICE: {'hedge_budget': 2}})
        self.assertThat(message, Contains(f'{SERVICE}: hedge_budget'))
        self.assertThat(message, Contains('0 to 0.5'))

    def test_nested_error(self) -> None:
        """The error for a caller limit states the path within the document."""
        limit = {'rate': -1, 'concurrency': 3}
        message = _validation_error({SERVICE: {'callers': {'desk/app': limit}}})
        self.assertThat(message, Contains('callers.desk/app.rate'))

    def test_refused(self) -> None:
        """Invalid documents and paths are rejected."""
        invalid = (
            {},
            {SERVICE: {'unknown': 1}},
            {SERVICE: {'slots': True}},
            {SERVICE: {'slots': 1.5}},
            {SERVICE: {'deadline': float('nan')}},
            {SERVICE: {'deadline': 3, 'max_deadline': 2}},
            {SERVICE: {'callers': {'app': {'rate': 1, 'concurrency': 1}}}},
            {SERVICE: []},
            {'/teams/desk/shelf': dict(VALID)},
            {'/teams/desk/services/a/b': dict(VALID)},
            {'/teams/../services/a': dict(VALID)},
            {'teams/desk/services/a': dict(VALID)},
            {f'{SERVICE}/': dict(VALID)},
            {'/teams/desk/callers/app': {'token_sha256': 'secret'}},
            {'/data-centres/dc': {'state': 'gone'}},
            {'/operators/bootstrap': None},
            {'/operators/ann': {'token_sha256': '0' * 64}},
            {SERVICE: dict(VALID), '/data-centres/dc': {}},
        )
        passed = [
            written for written in invalid if not _validation_error(written)
        ]
        self.assertThat(passed, Equals([]))

    @given(_json)
    def test_valid_document_can_be_applied(self, document: object) -> None:
        """Any document that validates can be applied by hosts."""
        if not _validation_error({SERVICE: document}):
            SettingsTable().apply(1, {SERVICE: document})

    def test_removal(self) -> None:
        """A change may remove a document."""
        self.assertThat(_validation_error({SERVICE: None}), Equals(''))

    def test_deep_nesting(self) -> None:
        """A document nested too deeply is rejected."""
        deep = pyjson5.decode('[' * 400 + ']' * 400, 500)
        self.assertThat(
            _validation_error({SERVICE: {'callers': deep}}) != '', Equals(True)
        )
