"""What a host of a deployment is told at its start."""

from __future__ import annotations

from snipejunction.components.gateway.budget import RepeatLimits


class HostProfile:
    """Names, addresses and bounds of one process; times in seconds.

    ``name`` is the address for peers, so that any host can find it. ``seeds``
    are names of control hosts to start from; ``is_first_start`` says that
    the whole system starts for the first time. Addresses are pairs of an IP
    number and a port, None where the process does not serve them.
    """

    __slots__ = (
        'announce_seconds',
        'caller_address',
        'control_address',
        'data_centre',
        'data_folder',
        'directory_address',
        'grace_seconds',
        'incarnation',
        'ip',
        'is_first_start',
        'metrics_address',
        'peer_port',
        'ready_address',
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
        data_folder: str | None = None,
        caller_address: tuple[str, int] | None = None,
        ready_address: tuple[str, int] | None = None,
        control_address: tuple[str, int] | None = None,
        directory_address: tuple[str, int] | None = None,
        metrics_address: tuple[str, int] | None = None,
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
        self.data_folder = data_folder
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.control_address = control_address
        self.directory_address = directory_address
        self.metrics_address = metrics_address

    @property
    def name(self) -> str:
        """Return the name under which peers know this process."""
        return f'{self.ip}:{self.peer_port}'
