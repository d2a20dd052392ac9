"""Parser for the platform's settings file."""

from __future__ import annotations

import secrets
import tomllib
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.edge.gateway.host_profile import (
    HostProfile,
    ListenAddresses,
    parse_address,
)
from snipejunction.edge.gateway.process_bounds import ProcessBounds
from snipejunction.edge.peers import Address
from snipejunction.errors import SettingsError
from snipejunction.platform.fields import Fields

ROLE_CONTROL: Final = 'control'
ROLE_ENTRY: Final = 'entry'
# Peer port of each role, relative to the first port of the range.
_PORT_OFFSETS: Final = MappingProxyType({ROLE_CONTROL: 0, ROLE_ENTRY: 1})
_INCARNATION_BYTES: Final = 8
_MEBIBYTE: Final = 1048576
_DEFAULT_GRACE_SECONDS: Final = 6
_DEFAULT_HEARTBEAT_MS: Final = 1000
_DEFAULT_TTL_SECONDS: Final = 5
_DEFAULT_RETRY_WINDOW_SECONDS: Final = 10
_DEFAULT_ROLLBACK_MS: Final = 5000


def load_profile(
    path: Path,
    role: str,
    metrics_port: int,
) -> HostProfile:
    """Read a settings file into the profile of a host.

    Raises:
        SettingsError: if the file cannot be read or is not valid.
    """
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(str(path), str(error)) from error
    return make_profile(table, role, metrics_port)


def make_profile(
    table: dict[str, Any],
    role: str,
    metrics_port: int,
) -> HostProfile:
    """Convert decoded settings into the profile of a host.

    Raises:
        SettingsError: if a field is missing or of another type.
    """
    fields = Fields(table)
    ports = table.get('peerPortRange')
    if not isinstance(ports, list) or not ports:
        raise fields.error('peerPortRange', 'not a range of ports')
    first_port = int(ports[0])
    control_port = first_port + _PORT_OFFSETS[ROLE_CONTROL]
    listen = fields.table('listen')
    bounds = fields.table('bounds')
    ip = fields.string('ip')
    limits = RepeatLimits(
        bounds.number('retryRatio', 0),
        bounds.number('retrySlack', 0),
        bounds.number('retryWindowS', _DEFAULT_RETRY_WINDOW_SECONDS),
    )
    return HostProfile(
        ip=ip,
        peer_port=_PORT_OFFSETS[role] + first_port,
        data_centre=fields.string('zone'),
        regions=fields.table('zones').to_strings(),
        seeds=_read_seeds(fields, control_port),
        is_first_start=fields.boolean('bootstrap', default=False),
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        stop_grace_seconds=bounds.number('graceS', _DEFAULT_GRACE_SECONDS),
        announce_seconds=fields.seconds('heartbeatMs', _DEFAULT_HEARTBEAT_MS),
        address_ttl_seconds=bounds.number('ttl_max_s', _DEFAULT_TTL_SECONDS),
        repeat_limits=limits,
        exposure=_read_exposure(bounds),
        bounds=_read_process_bounds(fields.table('limits')),
        data_folder=fields.string('dataDir', '') or None,
        addresses=ListenAddresses(
            callers=_read_address(listen, 'front'),
            ready=_read_address(listen, 'ready'),
            control=_read_address(listen, 'control'),
            directory=_read_address(listen, 'directory'),
            metrics=(ip, metrics_port) if metrics_port else None,
        ),
    )


def _read_exposure(bounds: Fields) -> ExposureBounds | None:
    if not bounds.has('exposureShare'):
        return None
    return ExposureBounds(
        bounds.number('exposureShare'),
        bounds.number('exposureSlack', 0),
        bounds.seconds('rollbackMs', _DEFAULT_ROLLBACK_MS),
    )


def _read_process_bounds(limits: Fields) -> ProcessBounds:
    memory_bytes = None
    if limits.has('memoryMb'):
        memory_bytes = int(limits.number('memoryMb') * _MEBIBYTE)
    descriptors = None
    if limits.has('maxFds'):
        descriptors = limits.integer('maxFds')
    return ProcessBounds(memory_bytes, descriptors)


def _read_seeds(fields: Fields, control_port: int) -> tuple[str, ...]:
    # Seeds hold the port for operators. The peer port of control hosts is the
    # same on every machine.
    hosts = (seed.rpartition(':')[0] for seed in fields.strings('seeds'))
    return tuple(f'{host}:{control_port}' for host in hosts)


def _read_address(listen: Fields, name: str) -> Address | None:
    if not listen.has(name):
        return None
    return parse_address(listen.string(name))
