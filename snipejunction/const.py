"""Constants that several components share."""

from __future__ import annotations

from typing import Final

# Stable codes of refusals; docs/API.md describes how to react to each.
CODE_NO_LEASE: Final = 'no_lease'
CODE_STOPPING: Final = 'stopping'
CODE_BAD_REQUEST: Final = 'bad_request'
CODE_UNAUTHORIZED: Final = 'unauthorized'
CODE_FORBIDDEN: Final = 'forbidden'
CODE_UNKNOWN_SERVICE: Final = 'unknown_service'
CODE_NO_SNAPSHOT: Final = 'no_snapshot'
CODE_RATE_LIMIT: Final = 'rate_limit'
CODE_CONCURRENCY_LIMIT: Final = 'concurrency_limit'
CODE_OVERLOAD: Final = 'overload'
CODE_DEADLINE: Final = 'deadline'
CODE_CANCELLED: Final = 'cancelled'
CODE_NOT_OWNER: Final = 'not_owner'
CODE_SEARCHER_GONE: Final = 'searcher_gone'
CODE_SEARCHER_LEAVING: Final = 'searcher_leaving'
CODE_DATA_CENTRE_OUT: Final = 'data_centre_out'
CODE_COLD: Final = 'cold'
CODE_SHED: Final = 'shed'
CODE_SNAPSHOT_NOT_HELD: Final = 'snapshot_not_held'
CODE_CONNECTION_LOST: Final = 'connection_lost'
CODE_NO_CONNECTION: Final = 'no_connection'
CODE_UPSTREAM_ERROR: Final = 'upstream_error'
CODE_CONFLICT: Final = 'conflict'
CODE_ID_REUSED: Final = 'id_reused'
CODE_ID_EXPIRED: Final = 'id_expired'
CODE_NO_LEADER: Final = 'no_leader'
CODE_IN_PROGRESS: Final = 'in_progress'
CODE_OUTCOME_UNKNOWN: Final = 'outcome_unknown'

PREFER_LATENCY: Final = 'latency'
PREFER_COVERAGE: Final = 'coverage'

STATE_IN: Final = 'in'
STATE_OUT: Final = 'out'

HOST_ACTIVE: Final = 'active'
HOST_LEAVING: Final = 'leaving'

SEARCHER_READY: Final = 'ready'
SEARCHER_LEAVING: Final = 'leaving'

GROUP_SETTINGS: Final = 'settings'
GROUP_JOURNAL: Final = 'journal'
GROUP_DEPLOYMENT: Final = 'deployment'

# Interval of the ticks that run the periodic systems, in seconds.
TICK_SECONDS: Final = 0.05

DEFAULT_LEASE_SECONDS: Final = 2.0
DEFAULT_LEASE_RENEW_SECONDS: Final = 0.5
# Margin for the drift between two monotonic clocks and the latency of one
# event loop iteration, as a share of a lease. Only the granter adds it.
DEFAULT_DRIFT_MARGIN_SECONDS: Final = 0.1
# Time that a host may lag behind a committed revision before its lease is no
# longer renewed, in seconds.
DEFAULT_LAG_GRACE_SECONDS: Final = 1.0
