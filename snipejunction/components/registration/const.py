"""Constants of the registration component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# States of a searcher, as whole numbers on the wire.
READY: Final = 0
LEAVING: Final = 1
SILENT: Final = 2
GONE: Final = 3
STATE_NAMES: Final = ('ready', 'leaving', 'silent', 'gone')

# Announcements that may be missed before a searcher counts as silent.
MAX_MISSED_ANNOUNCEMENTS: Final = 3
# Tolerated delay of an announcement, in seconds.
MAX_ANNOUNCEMENT_DELAY_SECONDS: Final = 1.0
# How long a control host lists a searcher that is gone, in seconds. Departures
# that were acknowledged are kept in the log.
GONE_RETENTION_SECONDS: Final = 120.0
# Upper bound of the searchers that one control host keeps.
MAX_SEARCHERS: Final = 70_000
# Records in one update of searchers: the longest ones fit into a frame.
MAX_UPDATE_RECORDS: Final = 2048
# Departures of unlisted searchers that an entry host gets when it subscribes.
MAX_SENT_DEPARTURES: Final = 256

EVENT_SEARCHER_NEW: Final = EventKind(
    920,
    'info',
    'searcher {searcher} of {service} at {address}, cold for {cold_left} s',
)
EVENT_SEARCHER_STATE: Final = EventKind(
    921,
    'info',
    'searcher {searcher} of {service} is {state}, sequence {sequence}',
)
EVENT_SEARCHER_SILENT: Final = EventKind(
    922,
    'warning',
    'no announcement of searcher {searcher} of {service} for {age} s',
)
EVENT_ANNOUNCEMENT_STALE: Final = EventKind(
    923,
    'info',
    'ignored announcement {sequence} of {searcher}: not newer than {known}',
)
EVENT_ANNOUNCEMENT_DEPARTED: Final = EventKind(
    924,
    'info',
    'ignored announcement {sequence} of {searcher}: this start has left',
)
EVENT_DEPARTURE_ACCEPTED: Final = EventKind(
    925,
    'info',
    'searcher {searcher} has left as {state}, at index {index}',
)
