"""Constants of the scheduling component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Longest wait of a request of which nothing was sent, as a share of the
# objective of its route: a caller that is refused then can still be served
# in time elsewhere.
MAX_WAIT_SHARE: Final = 0.25
# Requests that wait at one host.
MAX_WAITING: Final = 16
# Time after which a waiting request counts as one priority higher, in seconds.
AGEING_SECONDS: Final = 1.0
# Half-life of the work that a customer was served, in seconds.
SERVED_HALF_LIFE_SECONDS: Final = 5.0
# Smallest time between two looks at the room, in seconds: one iteration of a
# busy event loop.
MIN_STEP_SECONDS: Final = 0.004
# Bounds of the retry-after of a refusal: the least in seconds, and the
# largest as a share of the time that the caller has left.
MIN_RETRY_AFTER_SECONDS: Final = 0.02
MAX_RETRY_AFTER_SHARE: Final = 0.33
# A searcher this many times slower than the median of a route is not worth a
# second attempt if the first one is at a faster one.
SLOW_RATIO: Final = 3.0
# Share of the objective after which a hedge uses what was left to others: its
# request would be late without it.
LAST_HEDGE_SHARE: Final = 0.5
# Repeats of each budget that hedges leave to parts that were turned away, and
# those that they leave to the most urgent requests.
RESERVED_RETRIES: Final = 2
RESERVED_URGENT_REPEATS: Final = 1

# A host sends at most this many times the requests of a route that get an
# answer and a few more, and refuses no more than a share of them, so that it
# learns of room.
THROTTLE_RATIO: Final = 2.0
THROTTLE_SLACK: Final = 1.0
MAX_THROTTLE_SHARE: Final = 0.9
# Half-life of what it counted, in seconds: as long as a burst may last.
THROTTLE_HALF_LIFE_SECONDS: Final = 3.0
# Waiting requests that are tried when an attempt ends: it leaves room for few.
MAX_TRIED: Final = 4

# Why a request is refused before anything of it was sent.
REASON_QUEUE_FULL: Final = 'too many requests wait'
REASON_TOO_LATE: Final = 'room comes too late'
REASON_WAITED: Final = 'no room came'
REASON_TURNED_AWAY: Final = 'searchers turn requests away'
REASON_STOPPING: Final = 'this host stops'
REFUSAL_REASONS: Final = (
    REASON_QUEUE_FULL,
    REASON_TOO_LATE,
    REASON_WAITED,
    REASON_TURNED_AWAY,
    REASON_STOPPING,
)

_INFO: Final = 'info'
EVENT_REQUEST_WAITS: Final = EventKind(
    990,
    _INFO,
    'request {request} waits up to {wait_ms} ms for room at {services}, '
    'expected in {room_ms} ms behind {ahead} others',
)
EVENT_REQUEST_RESUMED: Final = EventKind(
    991,
    _INFO,
    'request {request} is sent after a wait of {ms} ms',
)
EVENT_NO_ROOM: Final = EventKind(
    992,
    'warning',
    'request {request} on {route} is refused after {ms} ms: {reason}; room '
    'at {services} expected in {room_ms} ms behind {ahead} others, told to '
    'come back in {retry_ms} ms',
)
EVENT_PART_WAITS: Final = EventKind(
    993,
    _INFO,
    'request {request}: the part of {service} waits, room expected in '
    '{room_ms} ms',
)
EVENT_HEDGE_HELD: Final = EventKind(
    994,
    _INFO,
    'request {request}: no second attempt at {service}: {reason}',
)
EVENT_REQUEST_OVERTAKEN: Final = EventKind(
    995,
    _INFO,
    'request {request} starts again with document {version} after a wait',
)
