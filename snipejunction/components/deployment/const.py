"""Constants of the deployment component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Time between two presences of a host, in seconds: three of them fit into
# the time within which a change has to be in force.
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
# The same while a host has no stream to any control host, in seconds.
CONNECT_RETRY_SECONDS: Final = 0.2
# A control host that heard no leader for this long counts as cut off, in
# seconds: longer than an election.
CUT_OFF_SECONDS: Final = 1.5
# A voter that is silent for this long gives way to another voter of its
# data centre, in seconds: longer than a restart of its process.
VOTER_TIMEOUT_SECONDS: Final = 2.5
# Orders and reads that may wait for the log at one host.
MAX_PENDING_CALLS: Final = 256
# Changes of the known hosts are told together after this time, in seconds:
# many hosts start or stop at once.
HOSTS_UPDATE_DELAY_SECONDS: Final = 0.1
# An entry host closes streams that it does not need this long after it found
# better ones, in seconds.
UNNEEDED_STREAM_SECONDS: Final = 2.0
# Entry hosts of one data centre that callers are told to use: one may be lost
# and one be restarted.
ADVERTISED_HOSTS: Final = 3
EVENT_DOCUMENT_ACCEPTED: Final = EventKind(
    901,
    'info',
    'deployment document {version} is in force at index {index}',
)
EVENT_DRAIN_ACCEPTED: Final = EventKind(
    902,
    'info',
    'data centre {data_centre} is out: {is_out}, at index {index}',
)
EVENT_ORDER_FORWARDED: Final = EventKind(
    903,
    'info',
    'order {call_id} goes to leader {leader}',
)
EVENT_ORDER_REFUSED: Final = EventKind(
    904,
    'warning',
    'order {call_id} is refused: no leader is known',
)
EVENT_CONTROL_JOINED: Final = EventKind(
    905,
    'info',
    'control host {name} of {data_centre} joins as learner {voter_id}',
)
EVENT_CONTROL_REPLACED: Final = EventKind(
    906,
    'warning',
    'voter {name} was silent for {seconds} s and is replaced in {data_centre}',
)
EVENT_ENTRY_CONNECTED: Final = EventKind(
    907,
    'info',
    'entry host {name} of {data_centre} is connected',
)
EVENT_ENTRY_LOST: Final = EventKind(
    908,
    'warning',
    'entry host {name} is lost, its last presence is {age} s old',
)
EVENT_ENTRY_LEAVING: Final = EventKind(
    909,
    'info',
    'entry host {name} is leaving',
)
EVENT_ENTRY_READY: Final = EventKind(
    912,
    'info',
    'entry host {name} takes work',
)
EVENT_CUT_OFF: Final = EventKind(
    910,
    'warning',
    'no leader heard for {age} s: this control host is cut off',
)
EVENT_LEADER_FOUND: Final = EventKind(
    911,
    'info',
    'leader {leader} is heard again',
)
