"""Constants of the journal component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Number of requests kept as records and, after those, as hashes only.
# Ordered ids that are older than both are refused.
MAX_RECORDS: Final = 16384
MAX_RETIRED_IDS: Final = 131072
# Size limits of one kept payload and of all kept payloads.
MAX_KEPT_PAYLOAD_BYTES: Final = 65536
MAX_KEPT_BYTES: Final = 16777216

STATE_BEGUN: Final = 'begun'
STATE_RAN: Final = 'ran'
STATE_NOT_RUN: Final = 'not run'
STATE_UNKNOWN: Final = 'unknown'

STATUS_GRANTED: Final = 'granted'
STATUS_RUNNING: Final = 'running'
STATUS_RECORDED: Final = 'recorded'
STATUS_REUSED: Final = 'reused'
STATUS_EXPIRED: Final = 'expired'
STATUS_NEW: Final = 'new'

# Times in seconds.
ROUTING_TIMEOUT_SECONDS: Final = 0.5
LOOKUP_TIMEOUT_SECONDS: Final = 0.5
BEGIN_RESEND_SECONDS: Final = 0.2
# Time after which a root asks again if the asked host cannot serve it yet.
REDIRECT_RETRY_SECONDS: Final = 0.05
POLL_INTERVAL_SECONDS: Final = 0.1
RUN_RESEND_SECONDS: Final = 0.5
FINISH_RESEND_SECONDS: Final = 0.3
# Time after the deadline during which a late result is still recorded.
LATE_RESULT_SECONDS: Final = 2.0
# Minimum remaining time for a request to be dispatched.
MIN_RUN_SECONDS: Final = 0.01
DEFAULT_DEADLINE_SECONDS: Final = 1.0
MAX_OPEN_RUNS: Final = 10000
# Requests that an elected leader keeps until it is ready.
MAX_EARLY_REQUESTS: Final = 4096

METRIC_RUNS: Final = 'journal.runs'
METRIC_REPLAYS: Final = 'journal.replays'
METRIC_UNKNOWN: Final = 'journal.unknown'

EVENT_OUTCOME_UNKNOWN: Final = EventKind(
    701,
    'warning',
    'outcome of request {request_id} of {caller} at {service} is unknown',
)
EVENT_ID_REUSED: Final = EventKind(
    702,
    'warning',
    'request id {request_id} of {caller} at {service} was reused '
    'with another body',
)
