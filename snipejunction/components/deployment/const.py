"""Constants of the deployment component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Interval of the heartbeats of entry hosts and of the announcements of control
# hosts, in seconds: three fit into the time within which a change must be in
# force everywhere.
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
# Interval of connection attempts while an entry host has no stream to any
# control host, in seconds.
CONNECT_RETRY_SECONDS: Final = 0.2
# A control host without a message from a leader for this long counts as cut
# off, in seconds: longer than an election.
CUT_OFF_SECONDS: Final = 1.5
# A voter that is silent for this long is removed if its data centre has
# another voter, in seconds: longer than a restart of its process.
VOTER_TIMEOUT_SECONDS: Final = 2.5
# Upper bound of the orders, and of the reads, that wait for the log at a host.
MAX_PENDING_CALLS: Final = 256
# Of these orders, those that departures of searchers may take up.
MAX_PENDING_DEPARTURES: Final = 192
# Delay after which changes of the known hosts are sent in one update, in
# seconds: many hosts may start or stop at once.
HOSTS_UPDATE_DELAY_SECONDS: Final = 0.1
# Time after which an entry host closes a stream that it no longer needs, in
# seconds.
UNNEEDED_STREAM_SECONDS: Final = 2.0
# Entry hosts that are advertised per data centre: one may be lost while another
# one restarts.
ADVERTISED_HOSTS: Final = 3
EVENT_DOCUMENT_ACCEPTED: Final = EventKind(
    901,
    'info',
    'applied deployment document {version} at index {index}',
)
EVENT_DRAIN_ACCEPTED: Final = EventKind(
    902,
    'info',
    'data centre {data_centre} is out: {is_out}, at index {index}',
)
EVENT_ORDER_FORWARDED: Final = EventKind(
    903,
    'info',
    'forwarded order {call_id} to leader {leader}',
)
EVENT_ORDER_REFUSED: Final = EventKind(
    904,
    'warning',
    'refused order {call_id}: no leader is known',
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
    'lost entry host {name}, last heartbeat {age} s ago',
)
EVENT_ENTRY_LEAVING: Final = EventKind(
    909,
    'info',
    'entry host {name} is leaving',
)
EVENT_ENTRY_READY: Final = EventKind(
    912,
    'info',
    'entry host {name} accepts requests',
)
EVENT_ORDER_OVERTAKEN: Final = EventKind(
    913,
    'warning',
    'order about {subject} at revision {base} has no effect at index {index}: '
    'revision {revision} is in force',
)
EVENT_CUT_OFF: Final = EventKind(
    910,
    'warning',
    'no message from a leader for {age} s: this control host is cut off',
)
EVENT_LEADER_FOUND: Final = EventKind(
    911,
    'info',
    'receiving messages from leader {leader} again',
)
