"""Configurations of the platform as deployment documents."""

from __future__ import annotations

import copy
import json
from types import MappingProxyType

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.components.registration.const import LEAVING
from snipejunction.errors import SettingsError
from snipejunction.platform.announcements import read_announcement
from snipejunction.platform.documents import read_document

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


def pack(table: object) -> bytes:
    return json.dumps(table).encode()


class DocumentTest(TestCase):
    """Whole configurations."""

    def change(self, *path, to) -> SettingsError:
        table = copy.deepcopy(dict(DOCUMENT))
        place = table
        for step in path[:-1]:
            place = place[step]
        place[path[-1]] = to
        error = self.assertRaises(SettingsError, read_document, pack(table))
        assert error is not None
        return error

    def test_valid(self) -> None:
        """All fields reach the typed document, times in seconds."""
        document = read_document(pack(dict(DOCUMENT)))
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

    def test_cut_short(self) -> None:
        """A body that ends early is refused."""
        content = pack(dict(DOCUMENT))
        for end in range(0, len(content) - 1, 37):
            self.assertRaises(SettingsError, read_document, content[:end])

    def test_unknown_service(self) -> None:
        """Shards and targets have to be services of the document."""
        error = self.change('routes', 0, 'gather', 1, to='s9')
        self.assertThat(str(error), Contains('/routes/0/service'))
        self.change('routes', 1, 'backends', 0, 'service', to='s9')

    def test_same_place(self) -> None:
        """Two routes cannot share a host and prefix."""
        table = copy.deepcopy(dict(DOCUMENT))
        table['routes'].append({**table['routes'][0], 'name': 'r-3'})
        error = self.assertRaises(SettingsError, read_document, pack(table))
        self.assertThat(str(error), Contains('same host and prefix'))

    def test_no_weight(self) -> None:
        """Weights that add up to nothing are refused."""
        table = copy.deepcopy(dict(DOCUMENT))
        for target in table['routes'][1]['backends']:
            target['weight'] = 0
        error = self.assertRaises(SettingsError, read_document, pack(table))
        self.assertThat(str(error), Contains('weights'))

    def test_bad_fields(self) -> None:
        """Each error names its field."""
        for path, wrong in (
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
            error = self.change(*path, to=wrong)
            self.assertThat(str(error), Contains(str(path[-1])))

    @given(st.binary(max_size=200))
    def test_any_bytes(self, content: bytes) -> None:
        """Bytes that are no configuration never do anything else."""
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
        """JSON of another shape raises nothing but a settings error."""
        try:
            read_document(pack(table))
        except SettingsError:
            return


class AnnouncementTest(TestCase):
    """Heartbeats of searchers."""

    def test_valid(self) -> None:
        """All fields reach the record, times in seconds."""
        record = read_announcement('i-1', pack(dict(ANNOUNCEMENT)))
        self.assertThat(record.state, Equals(LEAVING))
        self.assertThat(record.cold_left, Equals(1.5))
        place = (record.born_ms, record.sequence)
        self.assertThat(place, Equals((1787800178171, 4)))

    def test_forged(self) -> None:
        """Fields that are missing or of another type name no searcher."""
        for name, wrong in (
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
            content = pack({**ANNOUNCEMENT, name: wrong})
            self.assertRaises(
                SettingsError,
                read_announcement,
                'i-1',
                content,
            )

    @given(st.binary(max_size=60))
    def test_any_bytes(self, content: bytes) -> None:
        """Unreadable bytes raise nothing but a settings error."""
        self.assertRaises(SettingsError, read_announcement, 'i', content)
