"""Constants of the deployment component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Time between two presences of a host, in seconds: three of them fit into
# the time within which a change has to be in force.
PRESENCE_SECONDS: Final = 1.0
# The same while a host has no stream to any control host, in seconds.
SEARCH_SECONDS: Final = 0.2
# A control host that heard no leader for this long counts as cut off, in
# seconds: longer than an election.
CUT_OFF_SECONDS: Final = 1.5
# A voter that is silent for this long gives way to another voter of its
# data centre, in seconds: longer than a restart of its process.
REPLACE_SECONDS: Final = 2.5
# Orders and reads that may wait for the log at one host.
MAX_OPEN_ORDERS: Final = 256
# Changes of the known hosts are told together after this time, in seconds:
# many hosts start or stop at once.
HOSTS_DELAY_SECONDS: Final = 0.1
# An entry host closes streams that it does not need this long after it found
# better ones, in seconds.
SETTLE_SECONDS: Final = 2.0
# Entry hosts of one data centre that callers are told to use: one may be lost
# and one be restarted.
NAMED_HOSTS: Final = 3
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
EVENT_ORDER_PASSED_ON: Final = EventKind(
    903,
    'info',
    'order {call_id} goes to leader {leader}',
)
EVENT_ORDER_UNPLACED: Final = EventKind(
    904,
    'warning',
    'order {call_id} is refused: no leader is known',
)
EVENT_CONTROL_JOINS: Final = EventKind(
    905,
    'info',
    'control host {name} of {data_centre} joins as learner {voter_id}',
)
EVENT_CONTROL_REPLACED: Final = EventKind(
    906,
    'warning',
    'voter {name} was silent for {seconds} s and is replaced in {data_centre}',
)
EVENT_ENTRY_SEEN: Final = EventKind(
    907,
    'info',
    'entry host {name} of {data_centre} is connected',
)
EVENT_ENTRY_LOST: Final = EventKind(
    908,
    'warning',
    'entry host {name} is lost, its last presence is {age} s old',
)
EVENT_ENTRY_LEAVES: Final = EventKind(
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
EVENT_REJOINED: Final = EventKind(
    911,
    'info',
    'leader {leader} is heard again',
)
