"""The settings file of one host: JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import pyjson5
import voluptuous as vol

from snipejunction.errors import SettingsError
from snipejunction.host_settings import (
    HostIdentity,
    HostSettings,
    LeaseTimings,
    TlsFiles,
    VoterAddress,
)
from snipejunction.schema import checks

MAX_FILE_BYTES: Final = 1_048_576
MAX_VOTERS: Final = 9
MAX_LEASE_SECONDS: Final = 60
MIN_LEASE_SECONDS: Final = 0.2
MIN_INTERVAL_SECONDS: Final = 0.01
_MAX_DEPTH: Final = 16
_MAX_PATH_CHARACTERS: Final = 4096

_port: Final = checks.IntegerRange(1, checks.MAX_PORT)
_file: Final = checks.PrintableText(_MAX_PATH_CHARACTERS)
_seconds: Final = checks.NumberRange(MIN_INTERVAL_SECONDS, MAX_LEASE_SECONDS)
_region: Final = checks.PrintableText(checks.MAX_NAME_CHARACTERS)

VOTER: Final = vol.Schema(
    {
        vol.Required('name'): checks.check_name,
        vol.Required('ip'): checks.check_ip_address,
        vol.Required('peer_port'): _port,
    },
)
LEASE: Final = vol.Schema(
    {
        vol.Optional('duration'): checks.NumberRange(
            MIN_LEASE_SECONDS,
            MAX_LEASE_SECONDS,
        ),
        vol.Optional('renew_every'): _seconds,
        vol.Optional('drift_margin'): _seconds,
        vol.Optional('lag_grace'): _seconds,
    },
)
TLS: Final = vol.Schema(
    {
        vol.Required('certificate'): _file,
        vol.Required('key'): _file,
        vol.Required('authority'): _file,
    },
)
HOST_FILE: Final = vol.Schema(
    {
        vol.Required('name'): checks.check_name,
        vol.Required('ip'): checks.check_ip_address,
        vol.Required('peer_port'): _port,
        vol.Required('http_port'): _port,
        vol.Required('data_centre'): checks.check_name,
        vol.Required('region'): _region,
        vol.Required('voters'): checks.Sequence(VOTER, 1, MAX_VOTERS),
        vol.Optional('data_folder'): _file,
        vol.Optional('peer_key_file'): _file,
        vol.Optional('lease'): LEASE,
        vol.Optional('tls'): TLS,
        vol.Optional('statsd'): vol.Schema(
            {
                vol.Required('ip'): checks.check_ip_address,
                vol.Required('port'): _port,
            },
        ),
        vol.Optional('otlp_url'): checks.check_url,
        vol.Optional('trace_share'): checks.NumberRange(0, 1),
        vol.Optional('operator_token_sha256'): checks.check_token_hash,
    },
)


def load_host_settings(path: Path | str, incarnation: str) -> HostSettings:
    """Load and validate the settings file of a host.

    ``incarnation`` identifies this start of the host process.

    Raises:
        SettingsError: states the field and the bound.
    """
    return parse_host_settings(_read(Path(path)), incarnation)


def parse_host_settings(source: str, incarnation: str) -> HostSettings:
    """Parse and validate host settings in JSON with comments.

    Raises:
        SettingsError: states the field and the bound.
    """
    fields = checks.validate(HOST_FILE, _parse(source), '')
    voters = tuple(VoterAddress(**voter) for voter in fields['voters'])
    _check_voters(fields, voters)
    lease = LeaseTimings(**fields.get('lease', {}))
    _check_lease(lease)
    return HostSettings(
        _identity(fields, incarnation),
        voters,
        peer_key_file=fields.get('peer_key_file'),
        data_folder=fields.get('data_folder'),
        lease=lease,
        tls=TlsFiles(**fields['tls']) if 'tls' in fields else None,
        statsd=_statsd(fields),
        otlp_url=fields.get('otlp_url'),
        trace_share=fields.get('trace_share', 0),
        operator_token_sha256=fields.get('operator_token_sha256'),
    )


def _read(path: Path) -> str:
    try:
        with path.open('rb') as opened:
            raw = opened.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(str(path), error.strerror or 'unreadable') from None
    if len(raw) > MAX_FILE_BYTES:
        raise SettingsError(str(path), f'at most {MAX_FILE_BYTES} bytes')
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise SettingsError(str(path), 'expected UTF-8') from None


def _parse(source: str) -> Any:
    try:
        return pyjson5.decode(source, _MAX_DEPTH)
    except pyjson5.Json5DecoderException as error:
        raise SettingsError('file', f'invalid JSON: {error}') from None


def _identity(fields: dict[str, Any], incarnation: str) -> HostIdentity:
    return HostIdentity(
        fields['name'],
        fields['ip'],
        fields['peer_port'],
        fields['http_port'],
        fields['data_centre'],
        fields['region'],
        incarnation,
    )


def _statsd(fields: dict[str, Any]) -> tuple[str, int] | None:
    statsd = fields.get('statsd')
    return None if statsd is None else (statsd['ip'], statsd['port'])


def _check_voters(
    fields: dict[str, Any],
    voters: tuple[VoterAddress, ...],
) -> None:
    names = {voter.name for voter in voters}
    addresses = {(voter.ip, voter.peer_port) for voter in voters}
    if len(names) < len(voters) or len(addresses) < len(voters):
        raise SettingsError('voters', 'expected each name and address once')
    own = VoterAddress(fields['name'], fields['ip'], fields['peer_port'])
    if own.name in names and own not in voters:
        raise SettingsError(
            'voters',
            f'expected the ip and peer_port of {own.name} itself',
        )


def _check_lease(lease: LeaseTimings) -> None:
    if lease.renew_every * 2 > lease.duration:
        raise SettingsError(
            'lease.renew_every',
            'expected at most half of lease.duration',
        )
    if lease.drift_margin >= lease.duration:
        raise SettingsError(
            'lease.drift_margin',
            'expected less than lease.duration',
        )
