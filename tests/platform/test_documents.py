"""Parsing of the platform's configurations and heartbeats."""

from __future__ import annotations

import copy
import json
from hashlib import sha256
from types import MappingProxyType

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from snipejunction.components.registration.const import LEAVING
from snipejunction.components.registration.messages import SearcherUpdate
from snipejunction.errors import SettingsError
from snipejunction.helpers.wire import decode, encode
from snipejunction.platform.announcements import read_announcement
from snipejunction.platform.documents import (
    read_accepted_document,
    read_document,
)

DOCUMENT = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'a.example',
                'pathPrefix': '/p/q/',
                'kind': 'safe',
                'timeoutMs': 500,
                'sloMs': 88,
                'priority': 2,
                'gather': ['s0', 's1'],
                'attempts': 2,
                'topK': 5,
                'minShare': 0.75,
                'homeRegions': [],
            },
            {
                'name': 'r-2',
                'host': 'b.example',
                'pathPrefix': '/',
                'kind': 'unsafe',
                'timeoutMs': 3000,
                'sloMs': 542,
                'backends': [
                    {'service': 's0', 'weight': 1},
                    {'service': 's1', 'weight': 3},
                ],
                'attempts': 1,
                'homeRegions': ['lagos'],
            },
        ],
        'services': [
            {'name': 's0', 'healthPath': '/health', 'maxConns': 33},
            {'name': 's1', 'maxConns': 48, 'coldStartS': 3.0, 'coldPerS': 0.0},
        ],
        'limits': {'maxHeaderBytes': 100, 'idleTimeoutMs': 9000},
        'unknown': {'is': 'ignored'},
    }
)
ANNOUNCEMENT = MappingProxyType(
    {
        'service': 's0',
        'address': '10.128.0.9:8080',
        'zone': 'z',
        'version': 'v1',
        'slots': 6,
        'state': 'draining',
        'coldLeftMs': 1500,
        'sequence': 4,
        'born': 1787800178171,
    }
)


KEYS = ('key-one', 'key-two', 'key-three')
CUSTOMERS = (
    {
        'name': 'large',
        'apiKeys': list(KEYS[:2]),
        'priority': 0,
        'ratePerS': 2.5,
        'burst': 5,
        'homeRegions': ['lagos'],
    },
    {'name': 'small', 'apiKeys': [KEYS[2]]},
)


def digest_of(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    return sha256(key.encode()).digest()


def encode_json(table: object) -> bytes:
    return json.dumps(table).encode()


class DocumentTest(TestCase):
    """Parsing of configurations."""

    def assert_refused(self, *path, to) -> SettingsError:
        """Set a field, expect a settings error and return it."""
        table = copy.deepcopy(dict(DOCUMENT))
        node = table
        for key in path[:-1]:
            node = node[key]
        node[path[-1]] = to
        error = self.assertRaises(
            SettingsError, read_document, encode_json(table)
        )
        assert error is not None
        return error

    def test_valid(self) -> None:
        """All fields are read, with times converted to seconds."""
        document = read_document(encode_json(dict(DOCUMENT)))
        first, second = document.routes
        self.assertThat(document.version, Equals(7))
        self.assertThat(first.shards, Equals(('s0', 's1')))
        self.assertThat(first.timeout, Equals(0.5))
        self.assertThat(first.objective, Equals(0.088))
        self.assertThat(first.is_idempotent, Equals(True))
        self.assertThat(second.is_idempotent, Equals(False))
        weights = [target.weight for target in second.targets]
        self.assertThat(weights, Equals([1, 3]))
        self.assertThat(second.regions, Equals(frozenset(('lagos',))))
        self.assertThat(document.services['s1'].cold_seconds, Equals(3.0))
        self.assertThat(document.limits.idle_seconds, Equals(9.0))

    def test_truncated(self) -> None:
        """A truncated body is refused."""
        content = encode_json(dict(DOCUMENT))
        for end in range(0, len(content) - 1, 37):
            self.assertRaises(SettingsError, read_document, content[:end])

    def test_unknown_service(self) -> None:
        """Shards and targets must be services of the document."""
        error = self.assert_refused('routes', 0, 'gather', 1, to='s9')
        self.assertThat(str(error), Contains('/routes/0/service'))
        self.assert_refused('routes', 1, 'backends', 0, 'service', to='s9')

    def test_unknown_service_beside_others(self) -> None:
        """All services that a route names must be known."""
        self.assert_refused('routes', 0, 'service', to='s9')
        self.assert_refused('routes', 1, 'service', to='s9')
        backends = [{'service': 's9', 'weight': 1}]
        self.assert_refused('routes', 0, 'backends', to=backends)

    def test_zero_weights_beside_shards(self) -> None:
        """Weights are checked wherever a route has them."""
        backends = [{'service': 's0', 'weight': 0}]
        error = self.assert_refused('routes', 0, 'backends', to=backends)
        self.assertThat(str(error), Contains('weights'))

    def test_constants_that_are_not_json(self) -> None:
        """A body with NaN or an infinity is not JSON, in no field."""
        for constant in ('NaN', 'Infinity', '-Infinity'):
            table = {**DOCUMENT, 'note': float(constant)}
            self.assertRaises(SettingsError, read_document, encode_json(table))

    def test_empty_fields(self) -> None:
        """Lists and names that are empty are those that are absent."""
        table = copy.deepcopy(dict(DOCUMENT))
        table['routes'][0].update({'service': '', 'backends': []})
        table['routes'][1].update({'service': '', 'gather': []})
        single = {**table['routes'][1], 'name': 'r-3', 'pathPrefix': '/one/'}
        table['routes'].append({**single, 'service': 's1', 'backends': []})
        first, second, third = read_document(encode_json(table)).routes
        self.assertThat(first.services, Equals(('s0', 's1')))
        self.assertThat(second.services, Equals(('s0', 's1')))
        self.assertThat(third.services, Equals(('s1',)))
        self.assert_refused('routes', 1, 'backends', to=[])

    def test_same_prefix(self) -> None:
        """Two routes cannot share a host and prefix."""
        table = copy.deepcopy(dict(DOCUMENT))
        for host in ('a.example', 'A.example'):
            copied = {**table['routes'][0], 'name': 'r-3', 'host': host}
            routes = [*table['routes'], copied]
            content = encode_json({**table, 'routes': routes})
            error = self.assertRaises(SettingsError, read_document, content)
            self.assertThat(str(error), Contains('same host and prefix'))

    def test_accepted_by_an_earlier_release(self) -> None:
        """A document that calls no longer accept stays in force."""
        for path, field in (
            (('note',), float('nan')),
            (('routes', 0, 'service'), 's9'),
            (('routes', 0, 'backends'), [{'service': 's0', 'weight': 0}]),
            (('routes', 1, 'service'), 9),
            (('routes', 1, 'host'), 'A.example'),
        ):
            table = copy.deepcopy(dict(DOCUMENT))
            table['routes'][1]['pathPrefix'] = '/p/q/'
            node = table
            for key in path[:-1]:
                node = node[key]
            node[path[-1]] = field
            content = encode_json(table)
            self.assertRaises(SettingsError, read_document, content)
            first, second = read_accepted_document(content).routes
            self.assertThat(first.services, Equals(('s0', 's1')))
            self.assertThat(second.services, Equals(('s0', 's1')))

    def test_not_fit_to_be_sent(self) -> None:
        """Text and numbers that messages cannot hold are refused."""
        self.assert_refused('version', to=2**64)
        self.assert_refused('routes', 0, 'name', to='\ud83c')
        self.assert_refused('routes', 0, 'homeRegions', to=['\ud83c'])
        self.assert_refused('routes', 0, 'timeoutMs', to=10**400)
        self.assert_refused('routes', 0, 'priority', to=2**63)

    def test_zero_weights(self) -> None:
        """Weights that add up to 0 are refused."""
        table = copy.deepcopy(dict(DOCUMENT))
        for target in table['routes'][1]['backends']:
            target['weight'] = 0
        error = self.assertRaises(
            SettingsError, read_document, encode_json(table)
        )
        self.assertThat(str(error), Contains('weights'))

    def test_invalid_fields(self) -> None:
        """Each invalid field raises an error that names it."""
        for path, bad_field in (
            (('version',), 0),
            (('version',), '7'),
            (('routes', 0, 'timeoutMs'), 0),
            (('routes', 0, 'kind'), 'odd'),
            (('routes', 0, 'pathPrefix'), 'p'),
            (('routes', 0, 'host'), ''),
            (('routes', 0, 'attempts'), 0),
            (('routes', 1, 'backends', 0, 'weight'), -1),
            (('services', 0, 'maxConns'), 0),
            (('limits', 'idleTimeoutMs'), True),
        ):
            error = self.assert_refused(*path, to=bad_field)
            self.assertThat(str(error), Contains(str(path[-1])))

    def test_customers(self) -> None:
        """Customers are read; their keys are kept as digests only."""
        table = copy.deepcopy(dict(DOCUMENT))
        table['routes'][0]['public'] = True
        table['tenants'] = copy.deepcopy(list(CUSTOMERS))
        document = read_document(encode_json(table))
        first, second = document.customers.values()
        self.assertThat(
            [document.customers_by_digest.get(digest_of(key)) for key in KEYS],
            Equals([first, first, second]),
        )
        self.assertThat(
            (first.priority, first.rate, first.burst, first.regions),
            Equals((0, 2.5, 5, frozenset(('lagos',)))),
        )
        self.assertThat((second.priority, second.rate), Equals((None, 0)))
        is_public = [route.is_public for route in document.routes]
        self.assertThat(is_public, Equals([True, False]))
        for key in KEYS:
            self.assertThat(repr(document), Not(Contains(key)))
            self.assertThat(repr(first), Not(Contains(key)))
        self.assertTrue(document.needs_keys)

    def test_no_customers(self) -> None:
        """A list of customers asks for keys, also if it is empty."""
        for fields, needs_keys in (
            ({}, False),
            ({'tenants': None}, False),
            ({'tenants': []}, True),
        ):
            content = encode_json({**DOCUMENT, **fields})
            for read in (read_document, read_accepted_document):
                document = read(content)
                self.assertThat(document.customers, Equals({}))
                self.assertThat(document.needs_keys, Equals(needs_keys))

    def test_shared_key(self) -> None:
        """No two customers share a key; an accepted document may."""
        customers = copy.deepcopy(list(CUSTOMERS))
        customers[1]['apiKeys'].append(KEYS[0])
        error = self.assert_refused('tenants', to=customers)
        self.assertThat(str(error), Contains('large'))
        self.assertThat(str(error), Contains('small'))
        self.assertThat(str(error), Not(Contains(KEYS[0])))
        content = encode_json({**DOCUMENT, 'tenants': customers})
        accepted = read_accepted_document(content)
        self.assertThat(len(accepted.customers_by_digest), Equals(3))

    def test_invalid_customers(self) -> None:
        """Each invalid field of a customer raises an error that names it."""
        for field, bad_field in (
            ('name', ''),
            ('name', 'small'),
            ('name', 'a\r\nX-Other: b'),
            ('apiKeys', 'key'),
            ('apiKeys', [5]),
            ('apiKeys', ['']),
            ('priority', -1),
            ('priority', 1.5),
            ('ratePerS', -1),
            ('ratePerS', '5'),
            ('burst', -1),
            ('homeRegions', 'lagos'),
        ):
            customers = copy.deepcopy(list(CUSTOMERS))
            customers[0][field] = bad_field
            error = self.assert_refused('tenants', to=customers)
            self.assertThat(str(error), Contains('/tenants/'))
            self.assertThat(str(error), Contains(field))
        self.assert_refused('tenants', to={'name': 'a'})
        self.assert_refused('routes', 0, 'public', to='yes')

    @given(st.binary(max_size=200))
    def test_any_bytes(self, content: bytes) -> None:
        """Random bytes raise a settings error."""
        try:
            read_document(content)
        except SettingsError:
            return
        self.fail('random bytes are a document')

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=4),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(['version', 'routes', 'services', 'name']),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        ),
    )
    def test_any_json(self, table: object) -> None:
        """JSON of any shape raises no other error than a settings error."""
        try:
            read_document(encode_json(table))
        except SettingsError:
            return


class AnnouncementTest(TestCase):
    """Parsing of heartbeats of searchers."""

    def test_valid(self) -> None:
        """All fields are read, with times converted to seconds."""
        record = read_announcement('i-1', encode_json(dict(ANNOUNCEMENT)))
        self.assertThat(record.state, Equals(LEAVING))
        self.assertThat(record.cold_left, Equals(1.5))
        ordering_key = (record.born_ms, record.sequence)
        self.assertThat(ordering_key, Equals((1787800178171, 4)))
        self.assertThat(record.version, Equals('v1'))

    def test_any_version(self) -> None:
        """A version of any other form counts as none."""
        for version in (None, 5, '', 'v' * 300, '\ud83c', ['v1']):
            content = encode_json({**ANNOUNCEMENT, 'version': version})
            record = read_announcement('i-1', content)
            self.assertThat(record.version, Equals(''))
        content = encode_json(dict(ANNOUNCEMENT))
        record = read_announcement('i-1', content, takes_version=False)
        self.assertThat(record.version, Equals(''))

    def test_invalid_fields(self) -> None:
        """Missing fields and fields of another type are refused."""
        for name, bad_field in (
            ('state', 'odd'),
            ('state', None),
            ('service', 5),
            ('address', 'nowhere'),
            ('sequence', 'x'),
            ('sequence', True),
            ('slots', 0),
            ('born', 1.5),
            ('coldLeftMs', 'soon'),
        ):
            content = encode_json({**ANNOUNCEMENT, name: bad_field})
            self.assertRaises(
                SettingsError,
                read_announcement,
                'i-1',
                content,
            )

    def test_not_fit_to_be_sent(self) -> None:
        """Fields that messages or request heads cannot hold are refused.

        Guards against one heartbeat that stops all lists of searchers.
        """
        for name, bad_field in (
            ('service', 'toy shop \ud83c'),
            ('service', 's' * 300),
            ('zone', '\udc00'),
            ('slots', 2**64 - 1),
            ('sequence', 2**63),
            ('born', 10**400),
            ('coldLeftMs', 10**400),
            ('address', '10.128.0.9:80800'),
            ('address', '10.128.0.9:0'),
            ('address', 'shop\x00:80'),
        ):
            content = encode_json({**ANNOUNCEMENT, name: bad_field})
            self.assertRaises(SettingsError, read_announcement, 'i-1', content)
        content = encode_json(dict(ANNOUNCEMENT))
        for searcher_id in (
            '',
            'i 1',
            'i-1\r\nX-Other: 1',
            'i\ufffd',
            'i' * 300,
        ):
            self.assertRaises(
                SettingsError, read_announcement, searcher_id, content
            )

    @example({'service': '\ud83c'})
    @example({'sequence': 2**64})
    @given(
        st.dictionaries(
            st.sampled_from(sorted(ANNOUNCEMENT)),
            st.integers()
            | st.floats()
            | st.text(st.characters(exclude_categories=())),
        )
    )
    def test_all_accepted_can_be_sent(self, changes: dict) -> None:
        """Each heartbeat is refused or fits into a list of searchers."""
        content = encode_json({**ANNOUNCEMENT, **changes})
        try:
            record = read_announcement('i-1', content)
        except SettingsError:
            return
        update = SearcherUpdate([record])
        self.assertThat(decode(encode(update)), Equals(update))

    @given(st.binary(max_size=60))
    def test_any_bytes(self, content: bytes) -> None:
        """Random bytes raise a settings error."""
        self.assertRaises(SettingsError, read_announcement, 'i', content)
