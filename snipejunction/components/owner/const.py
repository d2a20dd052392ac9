"""Constants of the owner component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Outcomes of a dispatched request.
ENDED_OK: Final = 'ok'
# The upstream refused before running it; its protocol says so.
ENDED_SHED: Final = 'shed'
ENDED_LEAVING: Final = 'leaving'
ENDED_NOT_HELD: Final = 'snapshot_not_held'
# The upstream stopped a request that was running, or let its deadline pass.
ENDED_CANCELLED: Final = 'cancelled'
ENDED_DEADLINE: Final = 'deadline'
ENDED_ERROR: Final = 'error'
# The connection was lost before a byte of the request left, or after.
ENDED_NOT_SENT: Final = 'not_sent'
ENDED_LOST: Final = 'lost'

# Announcements: how often an upstream renews and when it is forgotten.
RENEW_SECONDS: Final = 2.0
EXPIRY_SECONDS: Final = 10.0
# A forwarded announcement is sent again until the owner answers.
FORWARD_RESEND_SECONDS: Final = 0.2
READY_TIMEOUT_SECONDS: Final = 2.0
LEAVING_TIMEOUT_SECONDS: Final = 10.0
MAX_PENDING_ANNOUNCEMENTS: Final = 10_000
# Announcements of a boot that was replaced are ignored for this long.
REPLACED_BOOT_SECONDS: Final = 5.0

# What is learned travels to the next owner until it is acknowledged.
HAND_OVER_RESEND_SECONDS: Final = 0.2
HAND_OVER_TIMEOUT_SECONDS: Final = 3.0
# A note of another owner's knowledge is kept for this long.
LEARNED_TTL_SECONDS: Final = 15.0
# Hosts next in rank that are told of a leaving searcher.
LEAVING_SUCCESSORS: Final = 2

# A dispatch ends this long before the lease does.
LEASE_MARGIN_SECONDS: Final = 0.03
# Connections are closed when so little of the lease is left.
LEASE_CLOSE_SECONDS: Final = 0.15
# A request that may still run frees its slot this long after its deadline:
# the upstream counts the deadline from when the request reached it.
ORPHAN_MARGIN_SECONDS: Final = 0.05
# Work with less time than this cannot be answered.
MIN_TIMEOUT_SECONDS: Final = 0.001
# Share of its time that a request may spend in the queue; the rest lets the
# root use another replica.
QUEUE_SHARE: Final = 0.5
MAX_QUEUE_SECONDS: Final = 1.0
DEFAULT_QUEUE_LIMIT: Final = 64
# A shed searcher rests for as long as it asks, but no longer than this.
MAX_BACKOFF_SECONDS: Final = 1.0

# Results for a root that has more work here wait this long for company.
RESULT_DELAY_SECONDS: Final = 0.001
MAX_BATCH_BYTES: Final = 4_194_304
MAX_PAYLOAD_BYTES: Final = 4_194_304
MAX_BATCH_SUBS: Final = 4096

# Identifiers of sub-requests are remembered for one to two such periods.
SEEN_PERIOD_SECONDS: Final = 5.0
# Outcomes of non-idempotent requests are remembered for this long.
RUN_OUTCOME_TTL_SECONDS: Final = 600.0
MAX_REMEMBERED_RUNS: Final = 100_000

# Connections: opening ones that take longer than this are given up.
OPEN_TIMEOUT_SECONDS: Final = 1.0
PEAK_PERIOD_SECONDS: Final = 5.0
# Idle connections are replaced by fresh ones after this time: what lies
# between the two ends may have forgotten them.
REFRESH_SECONDS: Final = 2.0
REOPEN_SECONDS: Final = 0.1
MAX_REOPEN_SECONDS: Final = 1.0
FAILURES_UNTIL_DOWN: Final = 2
RESETS_UNTIL_COLD: Final = 3
UNANSWERED_UNTIL_COLD: Final = 3

# A dispatch is suspected after this multiple of the high quantile of the
# service time, but not before the floor.
SUSPECT_FACTOR: Final = 4.0
SUSPECT_FLOOR_SECONDS: Final = 0.05
# A connection that was not used for so long is suspected sooner.
STALE_SECONDS: Final = 0.5
STALE_SUSPECT_FACTOR: Final = 2.5
STALE_SUSPECT_FLOOR_SECONDS: Final = 0.02
# Until so many answers showed how fast the searcher is, slow ones are no sign
# of silence: a cold searcher or a busy machine takes this long.
MIN_LATENCY_SAMPLES: Final = 16
UNPROVEN_SUSPECT_FLOOR_SECONDS: Final = 0.3
# Repeats of suspected dispatches for each successful one, and at once.
REPEAT_SHARE: Final = 0.001
REPEAT_BURST: Final = 1.0
SWEEP_SECONDS: Final = 1.0
# The service time of a service's warm searchers is found anew after this.
BASELINE_TTL_SECONDS: Final = 0.5

EVENT_SEARCHER_JOINED: Final = EventKind(
    401,
    'info',
    'searcher {searcher} is owned here, boot {boot_id}',
)
EVENT_SEARCHER_RESTARTED: Final = EventKind(
    402,
    'info',
    'searcher {searcher} started again as boot {boot_id}',
)
EVENT_SEARCHER_LEAVING: Final = EventKind(
    403,
    'info',
    'searcher {searcher} is leaving',
)
EVENT_SEARCHER_EXPIRED: Final = EventKind(
    404,
    'warning',
    'searcher {searcher} stopped announcing itself',
)
EVENT_SEARCHER_DOWN: Final = EventKind(
    405,
    'warning',
    'searcher {searcher} takes no connections: {reason}',
)
EVENT_CONNECTION_UNRESPONSIVE: Final = EventKind(
    406,
    'warning',
    'a connection to searcher {searcher} is silent since {seconds:.3f} s',
)
EVENT_SEARCHER_RELEASED: Final = EventKind(
    407,
    'info',
    'searcher {searcher} is released to host {owner}',
)
