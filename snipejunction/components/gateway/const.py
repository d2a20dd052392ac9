"""Constants of the gateway component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Time to deliver an answer to its caller, in seconds: a partial answer is
# sent this long before the objective of its route. The caller measures from
# before it connects, so this covers two round trips of 6 ms and the latency
# of busy event loops.
ANSWER_MARGIN_SECONDS: Final = 0.016
# An answer is sent this long before the deadline of its request, in seconds.
DEADLINE_MARGIN_SECONDS: Final = 0.008
# Share of the repeat budget that a host uses: the rest covers hosts that
# compute their share from an outdated list of hosts.
REPEAT_BUDGET_SHARE: Final = 0.85
# Weights of a new sample in the moving averages of one searcher. Slow
# answers weigh more, because each further one delays a caller.
LATENCY_WEIGHT: Final = 0.12
SLOW_WEIGHT: Final = 0.35
FAILURE_WEIGHT: Final = 0.15
# Half-life of the slowness and the failure rate of a searcher, in seconds,
# and how long a stalled searcher or a late relay is avoided: about as long as
# a short disruption lasts.
PENALTY_SECONDS: Final = 2.0
# A hedge is sent after this quantile of the latencies of a route or after
# this multiple of their median, whichever is shorter: a few slow searchers
# raise the quantile, but hardly the median.
HEDGE_MEDIANS: Final = 2.5
HEDGE_QUANTILE: Final = 0.93
# Samples that a quantile is computed from, and new samples after which it is
# computed again.
QUANTILE_SAMPLES: Final = 256
QUANTILE_REFRESH_SAMPLES: Final = 16
# A hedge is delayed at least this long, in seconds: two iterations of a busy
# event loop.
MIN_HEDGE_DELAY_SECONDS: Final = 0.008
# Upper bound of the hedge delay as a share of the objective of the route.
MAX_HEDGE_DELAY_SHARE: Final = 0.35
# Factor on the expected latency of a searcher in another data centre. A part
# from there costs a few hundredths of what a late answer costs.
REMOTE_LATENCY_FACTOR: Final = 1.5
# Round-trip time to another region, in seconds, added to the expected latency
# of searchers there.
REGION_ROUND_TRIP_SECONDS: Final = 0.016
# Searchers whose failure rate exceeds this share count as failing and are
# avoided while healthy ones exist.
MAX_FAILURE_SHARE: Final = 0.3
# Backoff after a searcher refused a connection, in seconds. It doubles with
# each further refusal up to the maximum.
REFUSED_BACKOFF_SECONDS: Final = 0.5
MAX_REFUSED_BACKOFF_SECONDS: Final = 4.0
# Rate at which the responsible entry host sends to a cold searcher. Two hosts
# may both consider themselves responsible while the list of hosts changes.
COLD_REQUESTS_PER_SECOND: Final = 2.0
# Retry-after of a refusal, in seconds: searchers in backoff are tried again
# after about as long.
RETRY_AFTER_SECONDS: Final = 0.3
# Retry-after of a host that cannot serve yet, in seconds: it learns of
# searchers from announcements, which arrive about once a second.
UNPREPARED_RETRY_AFTER_SECONDS: Final = 1.0
# A host with a document counts as prepared after this time, in seconds, even
# if it knows few searchers: searchers announce themselves about once a
# second, and some services may have none.
PREPARE_TIMEOUT_SECONDS: Final = 1.5
# Share of the unsharded routes that need a searcher before that time: a route
# may lead to a service that no longer exists.
MIN_SERVED_ROUTE_SHARE: Final = 0.5
# Deliveries of one part beyond the attempts of its route, for searchers that
# received the part but did not run it.
MAX_REJECTED_DELIVERIES: Final = 2
# Upper bound of the sends of one part: a service may have more unreachable
# addresses than are worth trying.
MAX_SENDS_PER_PART: Final = 10
# Time before abandoned work at a searcher is cancelled, in seconds.
ABANDONED_WORK_SECONDS: Final = 0.3
# Time that an entry host waits for a known control host of its data centre
# before it subscribes to remote ones, in seconds: longer than a handshake
# between busy hosts.
LOCAL_CONTROL_WAIT_SECONDS: Final = 1.0
# Interval at which a host without usable control hosts tries two more of them,
# in seconds: longer than a handshake with an idle control host.
CONTROL_SEARCH_STEP_SECONDS: Final = 0.5
# Time after a report of a limit until a host confirms it again, in seconds:
# reports go to all entry hosts.
LIMIT_REPORT_SECONDS: Final = 2.0
# Time without any confirmation of a limit after which further hosts send, in
# seconds: longer than the time between two reports and a heartbeat.
UNCONFIRMED_LIMIT_SECONDS: Final = 5.0
# How long a host that is no longer advertised keeps its share of bounds, in
# seconds: longer than a planned stop.
DEPARTED_HOST_SECONDS: Final = 15.0
# Time from which on an advertised host has callers that keep its address, in
# seconds.
MIN_ADVERTISED_SECONDS: Final = 2.0
# Addresses in one answer to a caller, which reads no more than these.
MAX_ADDRESSES: Final = 64

# Latency that merging at a relay adds to a part, in seconds: a round trip
# between data centres (or between regions) plus the CPU time of twenty parts
# at two hosts with half a core each.
RELAY_OVERHEAD_SECONDS: Final = 0.018
REMOTE_RELAY_OVERHEAD_SECONDS: Final = 0.034
# A relay waits at least this long for parts, in seconds: two iterations of a
# busy event loop.
MIN_MERGE_WAIT_SECONDS: Final = 0.008
# Interval between two responses of a relay to one call, in seconds.
MERGE_INTERVAL_SECONDS: Final = 0.01

_INFO: Final = 'info'
EVENT_DOCUMENT_APPLIED: Final = EventKind(
    940,
    _INFO,
    'document {version} is in force here, index {index}, from {source}',
)
EVENT_DOCUMENT_UNREADABLE: Final = EventKind(
    941,
    'error',
    'ignored unreadable document {version}: {reason}',
)
EVENT_SEARCHER_CHANGED: Final = EventKind(
    942,
    _INFO,
    'searcher {searcher} of {service} is {state} at sequence {sequence}',
)
EVENT_DRAIN_CHANGED: Final = EventKind(
    943,
    _INFO,
    'data centre {data_centre} is out: {is_out}',
)
EVENT_REQUEST_DONE: Final = EventKind(
    944,
    _INFO,
    'request {request} on {route}: {status} after {ms} ms, {covered} of '
    '{parts} parts, document {version}, outcome {outcome}',
)
EVENT_REQUEST_FAILED: Final = EventKind(
    945,
    'warning',
    'request {request} on {route}: {status} after {ms} ms, {covered} of '
    '{parts} parts, document {version}, outcome {outcome}, cause {cause}',
)
EVENT_REPEAT_SENT: Final = EventKind(
    946,
    _INFO,
    'request {request}: {reason} of {service} after {ms} ms at {searcher}, '
    'now at {second}, budget left {budget}',
)
EVENT_REQUEST_REJECTED: Final = EventKind(
    950,
    'warning',
    'request {request} to {asked_host}{path} is turned away with {status}: '
    '{reason}, document {version}',
)
EVENT_SEARCHER_LATE: Final = EventKind(
    947,
    'warning',
    'searcher {searcher} of {service} at {address}: {reason}',
)
EVENT_ATTEMPT_FAILED: Final = EventKind(
    949,
    _INFO,
    'request {request}: {searcher} of {service} {fate} after {ms} ms: {detail}',
)
EVENT_REPEAT_SKIPPED: Final = EventKind(
    948,
    _INFO,
    'request {request}: no repeat for {service}: {reason}',
)
EVENT_RELAY_REQUEST_STARTED: Final = EventKind(
    951,
    _INFO,
    'request {request} of {asker}: {sent} parts sent, {held} held back',
)
EVENT_RELAY_REQUEST_SENT: Final = EventKind(
    952,
    _INFO,
    'request {request}: {parts} parts sent through relay {relay}',
)
EVENT_RELAY_LATE: Final = EventKind(
    953,
    'warning',
    'request {request}: no response from relay {relay} within {ms} ms',
)
EVENT_LIMIT_STATED: Final = EventKind(
    954,
    'warning',
    'searcher {searcher} of {service} states a limit of {limit} requests per '
    'second for all hosts, from {source}',
)
EVENT_LIMIT_LIFTED: Final = EventKind(
    955,
    _INFO,
    'searcher {searcher} of {service} states no limit any more, from {source}',
)
EVENT_LIMIT_UNREADABLE: Final = EventKind(
    956,
    'warning',
    'searcher {searcher} of {service} states a limit that is no number',
)
EVENT_LIMIT_REACHED: Final = EventKind(
    957,
    _INFO,
    'request {request}: no share left of the limits of {service}: {limits}',
)
