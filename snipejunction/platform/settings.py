"""The platform's settings file as the profile of a host."""

from __future__ import annotations

import secrets
import tomllib
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.edge.gateway.host_profile import (
    HostProfile,
    ListenAddresses,
    parse_address,
)
from snipejunction.edge.peers import Address
from snipejunction.errors import SettingsError
from snipejunction.platform.fields import Fields

ROLE_CONTROL: Final = 'control'
ROLE_ENTRY: Final = 'entry'
# Ports of the roles for peers, counted from the start of the free range.
_PORT_OFFSETS: Final = MappingProxyType({ROLE_CONTROL: 0, ROLE_ENTRY: 1})
_INCARNATION_BYTES: Final = 8
_DEFAULT_GRACE_SECONDS: Final = 6
_DEFAULT_BEAT_MS: Final = 1000
_DEFAULT_TTL_SECONDS: Final = 5
_DEFAULT_WINDOW_SECONDS: Final = 10


def load_profile(
    path: Path,
    role: str,
    metrics_port: int,
) -> HostProfile:
    """Return the profile in a settings file.

    Raises:
        SettingsError: if the file cannot be read or a field is wrong.
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
    """Return the profile in decoded settings.

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
    ip = fields.text('ip')
    limits = RepeatLimits(
        bounds.number('retryRatio', 0),
        bounds.number('retrySlack', 0),
        bounds.number('retryWindowS', _DEFAULT_WINDOW_SECONDS),
    )
    return HostProfile(
        ip=ip,
        peer_port=_PORT_OFFSETS[role] + first_port,
        data_centre=fields.text('zone'),
        regions=fields.table('zones').pairs(),
        seeds=_seeds(fields, control_port),
        is_first_start=fields.flag('bootstrap', default=False),
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        stop_grace_seconds=bounds.number('graceS', _DEFAULT_GRACE_SECONDS),
        announce_seconds=fields.seconds('heartbeatMs', _DEFAULT_BEAT_MS),
        address_ttl_seconds=bounds.number('ttl_max_s', _DEFAULT_TTL_SECONDS),
        repeat_limits=limits,
        data_folder=fields.text('dataDir', '') or None,
        addresses=ListenAddresses(
            callers=_address(listen, 'front'),
            ready=_address(listen, 'ready'),
            control=_address(listen, 'control'),
            directory=_address(listen, 'directory'),
            metrics=(ip, metrics_port) if metrics_port else None,
        ),
    )


def _seeds(fields: Fields, control_port: int) -> tuple[str, ...]:
    # Seeds are addresses for operators; peers of control hosts listen on
    # the same port of the range on every machine.
    hosts = (seed.rpartition(':')[0] for seed in fields.texts('seeds'))
    return tuple(f'{host}:{control_port}' for host in hosts)


def _address(listen: Fields, name: str) -> Address | None:
    if not listen.has(name):
        return None
    return parse_address(listen.text(name))
