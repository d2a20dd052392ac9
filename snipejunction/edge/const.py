"""Constants of the I/O layer."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Frame size limit before the sender is authenticated.
MAX_HELLO_BYTES: Final = 2048
# Upper bound of the frames that are being received from all peers, in bytes.
MAX_RECEIVED_FRAMES_BYTES: Final = 33554432
# Send queue limit per peer; further messages are dropped.
MAX_QUEUE_BYTES: Final = 16777216
# Limits on messages that wait for a stream to open: count and age.
MAX_PENDING_MESSAGES: Final = 512
MAX_PENDING_SECONDS: Final = 1.0
# Accepted streams that are not authenticated yet.
MAX_UNAUTHENTICATED_STREAMS: Final = 128

# Interval of the timeout and heartbeat checks of all streams.
STREAM_CHECK_SECONDS: Final = 0.1
HEARTBEAT_SECONDS: Final = 0.3
# A stream that receives nothing for this long is closed.
RECEIVE_TIMEOUT_SECONDS: Final = 1.2
HANDSHAKE_SECONDS: Final = 2.0
DIAL_SECONDS: Final = 1.0
MIN_REDIAL_SECONDS: Final = 0.05
MAX_REDIAL_SECONDS: Final = 1.0

MIN_KEY_BYTES: Final = 16
NONCE_BYTES: Final = 32

# Pending requests of callers, upstreams and operators.
MAX_OPEN_CALLS: Final = 8192
CALL_SECONDS: Final = 75.0

MAX_BODY_BYTES: Final = 1048576
MAX_JSON_DEPTH: Final = 24
MAX_JSON_VALUES: Final = 50_000
MAX_NAME_CHARACTERS: Final = 128
MAX_HITS: Final = 1000
MAX_DEADLINE_MS: Final = 60_000
MAX_SHARDS: Final = 4096
MAX_SNAPSHOTS: Final = 16
MAX_PAYLOAD_BYTES: Final = 2097152

METRICS_FLUSH_SECONDS: Final = 1.0
MAX_TIMINGS: Final = 2000

EVENT_SERVING: Final = EventKind(
    800,
    'info',
    'serving callers on {ip}:{http_port} and peers on port {peer_port}',
)
EVENT_STOPPED: Final = EventKind(801, 'info', 'stopped')
EVENT_PEER_UP: Final = EventKind(
    802,
    'info',
    'stream with {peer} is open ({direction})',
)
EVENT_PEER_DOWN: Final = EventKind(
    803,
    'warning',
    'last stream with {peer} closed: {reason}',
)
EVENT_STREAM_REFUSED: Final = EventKind(
    804,
    'warning',
    'stream with {address} closed: {reason}',
)
EVENT_STREAM_SILENT: Final = EventKind(
    805,
    'warning',
    'received nothing from {peer} for {seconds} s, closed the stream',
)
EVENT_QUEUE_FULL: Final = EventKind(
    806,
    'warning',
    'dropped {kind} to {peer}: its queue is full',
)
EVENT_UNSENDABLE: Final = EventKind(
    807,
    'error',
    'dropped {kind} to {peer}: {reason}',
)
EVENT_HANDLER_FAILED: Final = EventKind(
    808,
    'error',
    'handling of {kind} failed: {reason}',
)
EVENT_KEYS_LOADED: Final = EventKind(
    809,
    'info',
    'loaded {count} peer keys and the certificates',
)
EVENT_KEYS_REFUSED: Final = EventKind(
    810,
    'error',
    'kept the old peer keys and certificates: {reason}',
)
EVENT_REQUEST_FAILED: Final = EventKind(
    811,
    'error',
    'request {method} {path} failed: {reason}',
)
EVENT_STOP_ASKED: Final = EventKind(812, 'info', 'planned stop requested')
EVENT_ENTRIES_SKIPPED: Final = EventKind(
    815,
    'error',
    '{kind} with {peer}: left out {count} entries, the first one: {reason}',
)
EVENT_RECEIVED_TOO_MUCH: Final = EventKind(
    816,
    'warning',
    'connections of {kind} hold {total} bytes, at most {limit}: closed the one '
    'with {held}',
)
EVENT_PEER_INTERRUPTED: Final = EventKind(
    817,
    'warning',
    'a stream with {peer} closed, another one is open: all are opened anew',
)
EVENT_START_DELAYED: Final = EventKind(
    818,
    'warning',
    'a part of the start failed and is repeated: {reason}',
)
EVENT_START_FAILED: Final = EventKind(819, 'error', 'cannot start: {reason}')
EVENT_LIBRARY_RECORD: Final = EventKind(822, 'warning', '{logger}: {message}')
EVENT_DISK_FULL: Final = EventKind(
    814,
    'error',
    'write delayed, the data folder is full: {reason}',
)
EVENT_STORAGE_FAILED: Final = EventKind(
    813,
    'error',
    'stopping at once, writing to the data folder failed: {reason}',
)
