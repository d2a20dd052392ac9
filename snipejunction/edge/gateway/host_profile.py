"""Startup configuration of a host process."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Final

from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.edge.gateway.process_bounds import ProcessBounds
from snipejunction.edge.peers import Address
from snipejunction.errors import SettingsError

_MAX_PORT: Final = 65535
_PORT: Final = re.compile('[0-9]{1,5}')


def parse_address(text: str) -> Address:
    """Return the IP address and the port in ``IP:PORT``.

    Raises:
        SettingsError: if the text is not an address with a port.
    """
    ip, _, port_text = text.rpartition(':')
    if _PORT.fullmatch(port_text) is None or int(port_text) > _MAX_PORT:
        raise SettingsError(repr(text), 'not an address with a port')
    try:
        ip_address(ip)
    except ValueError as error:
        raise SettingsError(repr(text), 'not an IP address') from error
    return ip, int(port_text)


def find_address(name: str) -> Address | None:
    """Return the peer address in a process name, None if it has none.

    Names of control and entry hosts are their peer addresses.
    """
    try:
        return parse_address(name)
    except SettingsError:
        return None


class ListenAddresses:
    """Listening addresses of a process, None for services not offered."""

    __slots__ = ('callers', 'control', 'directory', 'metrics', 'ready')

    def __init__(
        self,
        *,
        callers: Address | None = None,
        control: Address | None = None,
        directory: Address | None = None,
        metrics: Address | None = None,
        ready: Address | None = None,
    ) -> None:
        """Create a set of addresses."""
        self.callers = callers
        self.control = control
        self.directory = directory
        self.metrics = metrics
        self.ready = ready


class HostProfile:
    """Identity, addresses and limits of one process; times in seconds.

    ``name`` is the peer address, so that any host can connect to it.
    ``seeds`` are the names of control hosts to contact first.
    ``is_first_start`` is set when the whole system starts for the first time.
    ``exposure`` bounds what a version gets in a roll-out, None without
    roll-outs.
    """

    __slots__ = (
        'address_ttl_seconds',
        'addresses',
        'announce_seconds',
        'bounds',
        'data_centre',
        'data_folder',
        'exposure',
        'incarnation',
        'ip',
        'is_first_start',
        'peer_port',
        'region',
        'regions',
        'repeat_limits',
        'seeds',
        'stop_grace_seconds',
    )

    def __init__(
        self,
        *,
        ip: str,
        peer_port: int,
        data_centre: str,
        regions: dict[str, str],
        seeds: tuple[str, ...],
        is_first_start: bool,
        incarnation: str,
        stop_grace_seconds: float,
        announce_seconds: float,
        address_ttl_seconds: float,
        repeat_limits: RepeatLimits,
        addresses: ListenAddresses,
        data_folder: str | None = None,
        exposure: ExposureBounds | None = None,
        bounds: ProcessBounds | None = None,
    ) -> None:
        """Create a profile; ``regions`` maps data centres to regions."""
        self.ip = ip
        self.peer_port = peer_port
        self.data_centre = data_centre
        self.regions = regions
        self.region = regions.get(data_centre, '')
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.incarnation = incarnation
        self.stop_grace_seconds = stop_grace_seconds
        self.announce_seconds = announce_seconds
        self.address_ttl_seconds = address_ttl_seconds
        self.repeat_limits = repeat_limits
        self.addresses = addresses
        self.data_folder = data_folder
        self.exposure = exposure
        self.bounds = bounds or ProcessBounds()

    @property
    def name(self) -> str:
        """Return the peer name of this process, ``IP:PORT``."""
        return f'{self.ip}:{self.peer_port}'
