"""Constants of the owner component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Outcomes of a dispatched request.
ENDED_OK: Final = 'ok'
# The upstream refused the request and reported that it did not run.
ENDED_SHED: Final = 'shed'
ENDED_LEAVING: Final = 'leaving'
ENDED_SNAPSHOT_NOT_HELD: Final = 'snapshot_not_held'
# The upstream stopped a request that was running, or let its deadline pass.
ENDED_CANCELLED: Final = 'cancelled'
ENDED_DEADLINE: Final = 'deadline'
ENDED_ERROR: Final = 'error'
# The connection was lost before the first byte of the request was sent, or
# after it.
ENDED_NOT_SENT: Final = 'not_sent'
ENDED_LOST: Final = 'lost'

# Interval at which an upstream renews its announcement, and the time after
# which an announcement expires.
ANNOUNCE_INTERVAL_SECONDS: Final = 2.0
ANNOUNCEMENT_TTL_SECONDS: Final = 10.0
# A forwarded announcement is resent at this interval until the owner
# acknowledges it or the timeout for a ready or leaving searcher passes.
FORWARD_RESEND_SECONDS: Final = 0.2
READY_TIMEOUT_SECONDS: Final = 2.0
LEAVING_TIMEOUT_SECONDS: Final = 10.0
MAX_PENDING_ANNOUNCEMENTS: Final = 10_000
# Late announcements of a boot that was replaced are ignored for this long.
REPLACED_BOOT_SECONDS: Final = 5.0

# A hand-over is resent at this interval until it is acknowledged or times
# out.
HAND_OVER_RESEND_SECONDS: Final = 0.2
HAND_OVER_TIMEOUT_SECONDS: Final = 3.0
# State received from another owner is kept for this long.
LEARNED_TTL_SECONDS: Final = 15.0
# Number of hosts next in rank that are notified of a leaving searcher.
LEAVING_SUCCESSORS: Final = 2

# The deadline of a dispatch is at least this long before the lease expires.
LEASE_MARGIN_SECONDS: Final = 0.03
# Unused connections are closed when no more than this is left of the lease.
LEASE_CLOSE_SECONDS: Final = 0.15
# A request that may still run keeps its slot until this long after its
# deadline, because the upstream starts its timeout when the request arrives.
ORPHAN_MARGIN_SECONDS: Final = 0.05
# Work with less time left than this is refused.
MIN_TIMEOUT_SECONDS: Final = 0.001
# Share of its remaining time that a request may spend in the queue. The rest
# is left to the root to retry on another replica.
QUEUE_SHARE: Final = 0.5
MAX_QUEUE_SECONDS: Final = 1.0
DEFAULT_QUEUE_LIMIT: Final = 64
# Upper bound of the backoff that a shedding searcher may request.
MAX_BACKOFF_SECONDS: Final = 1.0

# Results for a root with more work in flight are held back for this long, to
# be sent as one batch.
RESULT_DELAY_SECONDS: Final = 0.001
MAX_BATCH_BYTES: Final = 4_194_304
MAX_PAYLOAD_BYTES: Final = 4_194_304
MAX_BATCH_SUBS: Final = 4096

# Ids of sub-requests are remembered for one to two of these periods.
SEEN_PERIOD_SECONDS: Final = 5.0
# Outcomes of non-idempotent requests are remembered for this long.
RUN_OUTCOME_TTL_SECONDS: Final = 600.0
MAX_REMEMBERED_RUNS: Final = 100_000

# Attempts to open a connection are abandoned after this time.
OPEN_TIMEOUT_SECONDS: Final = 1.0
# The demand for connections is the peak of this period and the one before.
PEAK_PERIOD_SECONDS: Final = 5.0
# Idle connections become stale and are replaced after this time, because a
# middlebox on the way may have dropped their state.
STALE_SECONDS: Final = 2.0
# The backoff after a failed attempt to connect grows linearly by this time.
REOPEN_SECONDS: Final = 0.1
MAX_REOPEN_SECONDS: Final = 1.0
# Consecutive failures after which a searcher counts as down or cold.
FAILURES_UNTIL_DOWN: Final = 2
RESETS_UNTIL_COLD: Final = 3
UNANSWERED_UNTIL_COLD: Final = 3

# A dispatch without an answer is suspected after this multiple of the 90th
# percentile of the service time, but not before the floor.
SUSPECT_FACTOR: Final = 4.0
SUSPECT_FLOOR_SECONDS: Final = 0.05
# Dispatches over a connection that was idle for this long are suspected
# sooner.
IDLE_SUSPECT_SECONDS: Final = 0.5
IDLE_SUSPECT_FACTOR: Final = 2.5
IDLE_SUSPECT_FLOOR_SECONDS: Final = 0.02
# Below this number of samples the latency estimate is unreliable. A higher
# floor applies then, because a cold searcher or a busy machine may be slow.
MIN_LATENCY_SAMPLES: Final = 16
FEW_SAMPLES_SUSPECT_FLOOR_SECONDS: Final = 0.3
# Repeated dispatches allowed for each successful dispatch, and their burst.
REPEAT_SHARE: Final = 0.001
REPEAT_BURST: Final = 1.0
# Interval between sweeps of all searchers.
SWEEP_SECONDS: Final = 1.0
# The median baseline of a service's warm searchers is cached for this long.
BASELINE_TTL_SECONDS: Final = 0.5

EVENT_SEARCHER_REGISTERED: Final = EventKind(
    401,
    'info',
    'registered searcher {searcher}, boot {boot_id}',
)
EVENT_SEARCHER_RESTARTED: Final = EventKind(
    402,
    'info',
    'searcher {searcher} restarted, boot {boot_id}',
)
EVENT_SEARCHER_LEAVING: Final = EventKind(
    403,
    'info',
    'searcher {searcher} is leaving',
)
EVENT_SEARCHER_EXPIRED: Final = EventKind(
    404,
    'warning',
    'the announcement of searcher {searcher} expired',
)
EVENT_SEARCHER_DOWN: Final = EventKind(
    405,
    'warning',
    'cannot connect to searcher {searcher}: {reason}',
)
EVENT_CONNECTION_UNRESPONSIVE: Final = EventKind(
    406,
    'warning',
    'no answer from searcher {searcher} on a connection for {seconds:.3f} s',
)
EVENT_SEARCHER_RELEASED: Final = EventKind(
    407,
    'info',
    'released searcher {searcher} to host {owner}',
)
EVENT_LIMIT_STATED: Final = EventKind(
    408,
    'warning',
    'searcher {searcher} states a limit of {limit} requests per second',
)
EVENT_LIMIT_LIFTED: Final = EventKind(
    409,
    'info',
    'searcher {searcher} states no limit any more',
)
EVENT_LIMIT_UNREADABLE: Final = EventKind(
    410,
    'warning',
    'searcher {searcher} states a limit that is no number',
)
