"""Constants of the HTTP edge."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Limits that hold before a deployment document says otherwise.
MAX_HEADER_BYTES: Final = 16384
MAX_BODY_BYTES: Final = 1048576
HEADER_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 15.0
# An idle caller connection is kept this much longer than announced, so that
# a request on its way is not met by a close, in seconds.
IDLE_GRACE_SECONDS: Final = 1.0
# Time between two looks at all connections, in seconds.
SWEEP_SECONDS: Final = 0.5
# Connections of callers that one host accepts.
MAX_CALLER_CONNECTIONS: Final = 2500

# Time to open a connection to a searcher, in seconds: above one round trip
# to another region and the work that a searcher has with it.
CONNECT_SECONDS: Final = 0.3
# A searcher's idle connection is given up this long before the searcher
# would close it, in seconds.
IDLE_MARGIN_SECONDS: Final = 0.5
# Idle time of a searcher's connection that states none, in seconds.
DEFAULT_IDLE_SECONDS: Final = 4.0
# Bytes of one answer of a searcher.
MAX_REPLY_BYTES: Final = 8388608

EVENT_SETTINGS_READ: Final = EventKind(
    820,
    'info',
    'read the settings again, seeds {seeds}',
)
EVENT_SETTINGS_KEPT: Final = EventKind(
    821,
    'error',
    'kept the old settings: {reason}',
)
