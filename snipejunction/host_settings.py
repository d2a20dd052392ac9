"""Settings of one host from its settings file."""

from __future__ import annotations

from snipejunction.const import (
    DEFAULT_DRIFT_MARGIN_SECONDS,
    DEFAULT_LAG_GRACE_SECONDS,
    DEFAULT_LEASE_RENEW_SECONDS,
    DEFAULT_LEASE_SECONDS,
)
from snipejunction.helpers.records import Record


class HostIdentity(Record):
    """Identity of a host; ``incarnation`` is new with each start."""

    __slots__ = (
        'data_centre',
        'http_port',
        'incarnation',
        'ip',
        'name',
        'peer_port',
        'region',
    )

    def __init__(
        self,
        name: str,
        ip: str,
        peer_port: int,
        http_port: int,
        data_centre: str,
        region: str,
        incarnation: str,
    ) -> None:
        """Create an identity; ``ip`` is an IP address, not a host name."""
        self.name = name
        self.ip = ip
        self.peer_port = peer_port
        self.http_port = http_port
        self.data_centre = data_centre
        self.region = region
        self.incarnation = incarnation


class VoterAddress(Record):
    """Address at which a control host accepts peer connections."""

    __slots__ = ('ip', 'name', 'peer_port')

    def __init__(self, name: str, ip: str, peer_port: int) -> None:
        """Create an address of the control host ``name``."""
        self.name = name
        self.ip = ip
        self.peer_port = peer_port


class LeaseTimings(Record):
    """Lease durations in seconds; they must be equal on all hosts."""

    __slots__ = ('drift_margin', 'duration', 'lag_grace', 'renew_every')

    def __init__(
        self,
        duration: float = DEFAULT_LEASE_SECONDS,
        renew_every: float = DEFAULT_LEASE_RENEW_SECONDS,
        drift_margin: float = DEFAULT_DRIFT_MARGIN_SECONDS,
        lag_grace: float = DEFAULT_LAG_GRACE_SECONDS,
    ) -> None:
        """Create timings."""
        self.duration = duration
        self.renew_every = renew_every
        self.drift_margin = drift_margin
        self.lag_grace = lag_grace


class TlsFiles(Record):
    """Paths of the TLS files."""

    __slots__ = ('authority', 'certificate', 'key')

    def __init__(self, certificate: str, key: str, authority: str) -> None:
        """Create the set of paths."""
        self.certificate = certificate
        self.key = key
        self.authority = authority


class HostSettings(Record):
    """Contents of the settings file of one host.

    ``voters`` lists the control hosts; this host is one of them if its name
    is listed and it has a data folder. ``statsd`` is an IP address and a
    port; ``otlp_url`` is the URL of a trace collector with an IP address.
    """

    __slots__ = (
        'data_folder',
        'identity',
        'lease',
        'operator_token_sha256',
        'otlp_url',
        'peer_key_file',
        'statsd',
        'tls',
        'trace_share',
        'voters',
    )

    def __init__(
        self,
        identity: HostIdentity,
        voters: tuple[VoterAddress, ...],
        peer_key_file: str | None = None,
        data_folder: str | None = None,
        lease: LeaseTimings | None = None,
        tls: TlsFiles | None = None,
        statsd: tuple[str, int] | None = None,
        otlp_url: str | None = None,
        trace_share: float = 0,
        operator_token_sha256: str | None = None,
    ) -> None:
        """Create settings of the host with ``identity``."""
        self.identity = identity
        self.voters = voters
        self.peer_key_file = peer_key_file
        self.data_folder = data_folder
        self.lease = LeaseTimings() if lease is None else lease
        self.tls = tls
        self.statsd = statsd
        self.otlp_url = otlp_url
        self.trace_share = trace_share
        self.operator_token_sha256 = operator_token_sha256

    @property
    def is_voter(self) -> bool:
        """Return whether the host stores a replica of the logs."""
        if self.data_folder is None:
            return False
        name = self.identity.name
        return any(voter.name == name for voter in self.voters)
