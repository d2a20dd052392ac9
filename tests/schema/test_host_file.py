"""Tests of the schema of a host's settings file."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from types import MappingProxyType
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.errors import SettingsError
from snipejunction.host_settings import VoterAddress
from snipejunction.schema.host_file import (
    load_host_settings,
    parse_host_settings,
)

VALID = MappingProxyType(
    {
        'name': 'entry-1',
        'ip': '10.0.0.1',
        'peer_port': 7001,
        'http_port': 8001,
        'data_centre': 'kadikoy',
        'region': 'İç Anadolu',
        'voters': [
            {'name': 'entry-1', 'ip': '10.0.0.1', 'peer_port': 7001},
            {'name': 'entry-2', 'ip': '10.0.0.2', 'peer_port': 7001},
        ],
        'data_folder': 'data',
        'lease': {'duration': 3},
        'statsd': {'ip': '127.0.0.1', 'port': 8125},
    },
)


def _validation_error(**changes: Any) -> str:
    fields = {**VALID, **changes}
    try:
        parse_host_settings(json.dumps(fields), 'i')
    except SettingsError as error:
        return str(error)
    return ''


class HostFileTest(TestCase):
    """Tests of parsing and validating the settings file of a host."""

    def test_file_with_comments(self) -> None:
        """Comments are allowed; omitted fields get their defaults."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json5'
            path.write_text(f'// A host.\n{json.dumps(dict(VALID))}', 'utf-8')
            settings = load_host_settings(path, 'i1')
        self.assertThat(settings.identity.incarnation, Equals('i1'))
        self.assertThat(settings.is_voter, Equals(True))
        second = VoterAddress('entry-2', '10.0.0.2', 7001)
        self.assertThat(settings.voters[1], Equals(second))
        self.assertThat(settings.lease.duration, Equals(3))
        self.assertThat(settings.lease.renew_every, Equals(0.5))
        self.assertThat(settings.statsd, Equals(('127.0.0.1', 8125)))

    def test_host_name_is_refused(self) -> None:
        """A host name in place of a peer's IP address is rejected."""
        voters = [{'name': 'a', 'ip': 'control.example', 'peer_port': 1}]
        message = _validation_error(voters=voters)
        self.assertThat(message, Contains('voters.0.ip'))
        self.assertThat(message, Contains('IP number'))

    def test_refused(self) -> None:
        """An invalid value is rejected with the name of its field."""
        voter = VALID['voters'][0]
        invalid = {
            'ip': 'localhost',
            'peer_port': 70000,
            'http_port': '80',
            'name': 'a b',
            'region': '',
            'lease': {'duration': 1, 'renew_every': 0.6},
            'statsd': {'ip': 'statsd', 'port': 1},
            'otlp_url': 'http://collector:4318/v1/traces',
            'trace_share': 1.5,
            'operator_token_sha256': 'secret',
            'voters': [voter, voter],
            'unknown': 1,
        }
        for field, given_value in invalid.items():
            message = _validation_error(**{field: given_value})
            self.assertThat(message, Contains(field))

    def test_own_address_among_voters(self) -> None:
        """A host listed as a voter must be listed with its own address."""
        self.assertThat(_validation_error(peer_port=7002), Contains('voters'))

    def test_missing_file(self) -> None:
        """The error for a missing file contains its path."""
        error = self.assertRaises(
            SettingsError,
            load_host_settings,
            'no-such-file',
            'i',
        )
        self.assertThat(str(error), Contains('no-such-file'))

    @given(st.text() | st.sampled_from(['{', '[' * 100, '{"a": 1, "a": 2}']))
    def test_any_text(self, source: str) -> None:
        """Any invalid text raises ``SettingsError`` and nothing else."""
        self.assertRaises(SettingsError, parse_host_settings, source, 'i')
