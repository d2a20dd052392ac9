"""Constants of the admission component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

EVENT_POOL_OPENED: Final = EventKind(
    600,
    'info',
    'now coordinating the limit of caller {caller} at service {service}',
)
EVENT_POOL_CLOSED: Final = EventKind(
    601,
    'info',
    'no longer coordinating the limit of caller {caller} at service {service}',
)

METRIC_ADMITTED: Final = 'admission.admitted'
METRIC_REFUSED: Final = 'admission.refused'
METRIC_SHARE_REQUESTS: Final = 'admission.asks'

# Validity of a share, in seconds. It covers the time until the view replaces a
# coordinator that crashed.
SHARE_VALIDITY_SECONDS: Final = 5.0
# Longest time that a request is queued for a share, in seconds.
MAX_WAIT_SECONDS: Final = 0.25
MAX_QUEUED_REQUESTS: Final = 64
# Interval of share requests of a host with demand, in seconds.
SHARE_REQUEST_SECONDS: Final = 0.1
# Timeout after which a share request is repeated, in seconds.
SHARE_REQUEST_TIMEOUT_SECONDS: Final = 0.12
# Interval of share requests while requests are queued, in seconds.
QUEUED_SHARE_REQUEST_SECONDS: Final = 0.03
# Validity of a share after the view replaced its coordinator, in seconds. The
# host claims the share from the new coordinator within this time.
CLAIM_SECONDS: Final = 0.3
# Seconds without requests after which an account releases its share, and after
# which the account is removed.
IDLE_SECONDS: Final = 0.5
ACCOUNT_EXPIRY_SECONDS: Final = 5.0
# Burst size, in seconds of the rate.
BURST_SECONDS: Final = 0.1
# Part of the unused limit that is granted as headroom beyond the demand. The
# rest is kept for the next host with demand.
HEADROOM_SHARE: Final = 0.5
# Headroom of a host with little demand, as a share of the limit.
MIN_HEADROOM_SHARE: Final = 0.05
# Factor on the demand in share requests, so that shares cover an increase.
DEMAND_FACTOR: Final = 1.25
