"""Constants of the gateway component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Time that an answer takes from this host to its caller, in seconds: a
# partial answer leaves this long before the objective of its route. A caller
# counts from before it connects: two round trips of 6 ms, and busy loops.
ANSWER_MARGIN_SECONDS: Final = 0.016
# An answer of this host leaves this long before the time of a request runs
# out, in seconds.
DEADLINE_MARGIN_SECONDS: Final = 0.008
# Share of the budget for repeats that this host uses: the rest covers hosts
# that count with an older list of hosts.
REPEAT_BUDGET_SHARE: Final = 0.85
# Weights of a new sample in the moving averages of one searcher. Slow
# answers weigh more: each further one is paid by a caller.
LATENCY_WEIGHT: Final = 0.12
SLOW_WEIGHT: Final = 0.35
FAILURE_WEIGHT: Final = 0.15
# Time after which half of what is held against a searcher is forgotten, in
# seconds: about as long as a short disruption lasts.
PENALTY_SECONDS: Final = 2.0
# Hedges start after this quantile of the times of a route, or after so many
# medians: slow searchers raise the quantile, hardly the median.
HEDGE_MEDIANS: Final = 2.5
HEDGE_QUANTILE: Final = 0.93
# Samples that a quantile is taken from, and new ones between two looks.
QUANTILE_SAMPLES: Final = 256
QUANTILE_REFRESH_SAMPLES: Final = 16
# A hedge waits at least this long, in seconds: two turns of a busy loop.
MIN_HEDGE_DELAY_SECONDS: Final = 0.008
# Share of the objective after which a hedge starts at the latest.
MAX_HEDGE_DELAY_SHARE: Final = 0.35
# A searcher in another data centre has to be this much faster to be chosen:
# a part from there costs a few hundredths of what a late answer costs.
REMOTE_LATENCY_FACTOR: Final = 1.5
# Time of a round trip to another region, in seconds; added to what is
# expected of searchers there before any sample.
REGION_ROUND_TRIP_SECONDS: Final = 0.016
# Searchers whose failures exceed this share are chosen last.
MAX_FAILURE_SHARE: Final = 0.3
# Time that a searcher is left alone after it refused a connection, in
# seconds; it doubles with each further one up to the longest.
REFUSED_BACKOFF_SECONDS: Final = 0.5
MAX_REFUSED_BACKOFF_SECONDS: Final = 4.0
# Requests a second that the one host in charge sends to a cold searcher.
# Two hosts may believe to be in charge while the list of hosts changes.
COLD_REQUESTS_PER_SECOND: Final = 2.0
# Time that a caller is asked to wait after a refusal, in seconds: searchers
# that refuse or rest are asked again after about as long.
RETRY_AFTER_SECONDS: Final = 0.3
# The same from a host that cannot serve yet: it learns of the searchers from
# announcements, which come about once a second.
UNPREPARED_RETRY_AFTER_SECONDS: Final = 1.0
# A host with a document counts as prepared after this time, however few
# searchers it knows, in seconds: searchers announce themselves about once a
# second, and some services may have none.
PREPARE_TIMEOUT_SECONDS: Final = 1.5
# Share of the routes without shards that need a searcher before: a route may
# lead to a service that is no longer there.
MIN_SERVED_ROUTE_SHARE: Final = 0.5
# Searchers that may turn one part away, beyond the attempts of its route.
MAX_REJECTED_DELIVERIES: Final = 2
# Sends of one part in all: a service may have more dead addresses than it is
# worth to try.
MAX_SENDS_PER_PART: Final = 10
# Time that a searcher may go on with work that nobody waits for, in seconds.
ABANDONED_WORK_SECONDS: Final = 0.3
# Time that an entry host waits for a control host nearby that it knows of
# before others stand in for it, in seconds: longer than a handshake between
# busy hosts.
LOCAL_CONTROL_WAIT_SECONDS: Final = 1.0
# Addresses in one answer to a caller, which reads no more.
MAX_ADDRESSES: Final = 64

# What merging at another host adds to a part, in seconds: a round trip
# between data centres, or between regions, and the processor time of twenty
# parts at two hosts with half a core.
RELAY_OVERHEAD_SECONDS: Final = 0.018
REMOTE_RELAY_OVERHEAD_SECONDS: Final = 0.034
# A relay waits at least this long for parts, in seconds: two turns of a busy
# loop.
MIN_MERGE_WAIT_SECONDS: Final = 0.008
# Time between two answers of a relay about one request, in seconds.
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
    'document {version} cannot be read and is not in force: {reason}',
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
EVENT_SEARCHER_SUSPECT: Final = EventKind(
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
    'request {request} of {asker}: {sent} parts asked for, {held} held back',
)
EVENT_RELAY_REQUEST_SENT: Final = EventKind(
    952,
    _INFO,
    'request {request}: {parts} parts go through {relay}',
)
EVENT_RELAY_LATE: Final = EventKind(
    953,
    'warning',
    'request {request}: relay {relay} said nothing for {ms} ms',
)
