"""Constants of the gateway host's HTTP servers and searcher connections."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Limits that apply until a deployment document sets them.
MAX_HEADER_BYTES: Final = 16384
MAX_BODY_BYTES: Final = 1048576
HEADER_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 15.0
# An idle caller connection stays open this many seconds longer than the idle
# timeout, so that a request in flight does not meet a closed connection.
IDLE_GRACE_SECONDS: Final = 1.0
# Interval of the check of all caller connections for timeouts.
SWEEP_INTERVAL_SECONDS: Final = 0.5
# Maximum number of caller connections that one server accepts.
MAX_CALLER_CONNECTIONS: Final = 2500

# Bytes of a head beyond the limit, for empty lines before it, its first line
# and spaces around values, none of which count towards the limit.
HEAD_SLACK_BYTES: Final = 4096
# Most bytes of an unfinished head that are parsed at once.
MAX_HEAD_SLICE_BYTES: Final = 16384
# Most bytes that are parsed at once behind a head.
MAX_BODY_SLICE_BYTES: Final = 65536
# Upper bound of the answers of all callers that are not sent yet, in bytes.
MAX_UNSENT_BYTES: Final = 67108864

# Timeout for opening a connection to a searcher: longer than one round trip
# to another region plus the time that the searcher takes to accept.
CONNECT_SECONDS: Final = 0.3
# An idle connection is no longer used this many seconds before the searcher
# closes it.
IDLE_MARGIN_SECONDS: Final = 0.5
# Idle timeout assumed for a searcher that sends no keep-alive header.
DEFAULT_IDLE_SECONDS: Final = 4.0
# Most bytes of a request's body that wait in the process for one searcher to
# read them; the body itself is kept once for all searchers.
BODY_PIECE_BYTES: Final = 16384
# Maximum number of bytes that a searcher may send in response to one request.
MAX_REPLY_BYTES: Final = 8388608
# Maximum number of bytes before the end of a response's head.
MAX_REPLY_HEAD_BYTES: Final = 131072
# Upper bound of the unfinished answers of all searchers, in bytes: many
# searchers at once may send without end.
MAX_RECEIVED_BYTES: Final = 50331648
# Upper bound of the requests of all callers that are not passed on yet, in
# bytes.
MAX_RECEIVED_REQUEST_BYTES: Final = 25165824
# Bytes of a request's body on the wire for each byte of content: a chunk of one
# byte takes six.
MAX_CHUNK_OVERHEAD: Final = 6

EVENT_SETTINGS_READ: Final = EventKind(
    820,
    'info',
    'reloaded the settings, seeds {seeds}',
)
EVENT_SETTINGS_KEPT: Final = EventKind(
    821,
    'error',
    'failed to reload the settings, kept the old ones: {reason}',
)
EVENT_CONNECTIONS_REFUSED: Final = EventKind(
    823,
    'warning',
    'refused or closed connections of {listener} since the last line: '
    '{reasons}',
)
