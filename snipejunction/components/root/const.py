"""Constants of the root component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

EVENT_QUERY_RESTARTED: Final = EventKind(
    500,
    'info',
    'query {request_id} of service {service} restarts on a snapshot other '
    'than {snapshot}',
)
EVENT_FOREIGN_RESULT: Final = EventKind(
    501,
    'warning',
    'dropped a result from {sender}: its sub-request was sent to {owner}',
)
EVENT_BAD_PAYLOAD: Final = EventKind(
    502,
    'warning',
    'malformed sub-answer from searcher {searcher}: {problem}',
)
EVENT_HEDGES_PAUSED: Final = EventKind(
    503,
    'info',
    'hedging paused for service {service}: too many late sub-requests',
)

METRIC_QUERIES: Final = 'root.queries'
METRIC_REFUSED: Final = 'root.refused'
METRIC_SUBS: Final = 'root.subs'
METRIC_HEDGES: Final = 'root.hedges'
METRIC_RETRIES: Final = 'root.retries'
METRIC_CANCELS: Final = 'root.cancels'
METRIC_DROPPED: Final = 'root.dropped_results'
METRIC_WASTED: Final = 'root.wasted_subs'
METRIC_QUERY_TIME: Final = 'root.query'

# Timeout for the first routes of a service, in seconds.
ROUTES_WAIT_SECONDS: Final = 0.25
# Share of the deadline reserved for sending the answer to the caller, and the
# upper limit of this reserve in seconds.
ANSWER_MARGIN_SHARE: Final = 0.05
ANSWER_MARGIN_SECONDS: Final = 0.005

# Round trips assumed before the first result of an owner, in seconds: to owners
# in the region of this host, and to all others.
DEFAULT_REGION_ROUND_TRIP_SECONDS: Final = 0.002
DEFAULT_REMOTE_ROUND_TRIP_SECONDS: Final = 0.018
# Service time assumed for a searcher without any estimate, in seconds.
DEFAULT_SERVICE_SECONDS: Final = 0.01

# Bounds of the time for which a searcher is avoided after a refusal.
MIN_AVOID_SECONDS: Final = 0.02
MAX_AVOID_SECONDS: Final = 2.0
# A searcher is assumed to lack a snapshot for this long after reporting so.
MISSING_SNAPSHOT_SECONDS: Final = 1.0
# A host counts as unreachable for this long after its connection was lost.
UNREACHABLE_HOST_SECONDS: Final = 1.0

MAX_RESTARTS: Final = 2
MAX_ATTEMPTS_PER_SHARD: Final = 4
# Backoff before another attempt to cover open shards, doubled each time.
GAP_RETRY_SECONDS: Final = 0.01
MAX_GAP_RETRY_SECONDS: Final = 0.16

# A service that prefers latency answers once waiting for another median time
# is expected to add less than this share of the documents.
MIN_EXPECTED_GAIN: Final = 0.01
