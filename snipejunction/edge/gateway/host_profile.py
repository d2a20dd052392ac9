"""What a host of a deployment is told at its start."""

from __future__ import annotations

from snipejunction.components.gateway.budget import RepeatLimits
from snipejunction.edge.peers import Address
from snipejunction.errors import SettingsError


def parse_address(text: str) -> Address:
    """Return the IP number and the port in ``IP:PORT``.

    Raises:
        SettingsError: if the text is no address with a port.
    """
    ip, _, port = text.rpartition(':')
    if not ip or not port.isdecimal():
        raise SettingsError(text, 'not an address with a port')
    return ip, int(port)


def find_address(name: str) -> Address | None:
    """Return the address that is the name of a process, None if it is none.

    Only a peer of another kind has a name that is no address.
    """
    try:
        return parse_address(name)
    except SettingsError:
        return None


class ListenAddresses:
    """Where a process listens, None for what it does not serve."""

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
    """Names, addresses and bounds of one process; times in seconds.

    ``name`` is the address for peers, so that any host can find it. ``seeds``
    are names of control hosts to start from; ``is_first_start`` says that
    the whole system starts for the first time.
    """

    __slots__ = (
        'addresses',
        'announce_seconds',
        'data_centre',
        'data_folder',
        'grace_seconds',
        'incarnation',
        'ip',
        'is_first_start',
        'peer_port',
        'region',
        'regions',
        'repeat_limits',
        'seeds',
        'ttl_seconds',
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
        grace_seconds: float,
        announce_seconds: float,
        ttl_seconds: float,
        repeat_limits: RepeatLimits,
        addresses: ListenAddresses,
        data_folder: str | None = None,
    ) -> None:
        """Create a profile; ``regions`` are by data centre."""
        self.ip = ip
        self.peer_port = peer_port
        self.data_centre = data_centre
        self.regions = regions
        self.region = regions.get(data_centre, '')
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.incarnation = incarnation
        self.grace_seconds = grace_seconds
        self.announce_seconds = announce_seconds
        self.ttl_seconds = ttl_seconds
        self.repeat_limits = repeat_limits
        self.addresses = addresses
        self.data_folder = data_folder

    @property
    def name(self) -> str:
        """Return the name under which peers know this process."""
        return f'{self.ip}:{self.peer_port}'
