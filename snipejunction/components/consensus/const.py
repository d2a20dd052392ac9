"""Constants of the consensus component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

HEARTBEAT_INTERVAL_SECONDS: Final = 0.1
# Bounds of the randomised election timeout, in seconds.
ELECTION_MIN_SECONDS: Final = 0.6
ELECTION_MAX_SECONDS: Final = 1.2
# Bounds of the first election timeout after a start, in seconds. It can be
# short because the pre-vote keeps a replica from deposing a live leader.
FIRST_ELECTION_MIN_SECONDS: Final = 0.15
FIRST_ELECTION_MAX_SECONDS: Final = 0.45
# A leader that reaches no quorum for this time steps down, in seconds.
QUORUM_TIMEOUT_SECONDS: Final = ELECTION_MAX_SECONDS
# Time after which a leadership transfer is retried, in seconds.
TRANSFER_TIMEOUT_SECONDS: Final = 0.6
BOOTSTRAP_RESEND_SECONDS: Final = 0.25
SNAPSHOT_RESEND_SECONDS: Final = 0.5
# Resend interval and timeout of a voter change by an operator, in seconds.
CHANGE_RESEND_SECONDS: Final = 0.25
CHANGE_TIMEOUT_SECONDS: Final = 30.0

# Index of the first configuration. It is above 0, so that a host without the
# configuration receives it in a snapshot.
BOOTSTRAP_INDEX: Final = 1

# Number of applied entries after which a snapshot replaces them on disk.
MIN_SNAPSHOT_ENTRIES: Final = 256
# A large state is snapshotted only after one entry per this many bytes.
SNAPSHOT_BYTES_PER_ENTRY: Final = 512
# Entries kept in memory before a snapshot for followers that lag slightly.
TRAILING_ENTRIES: Final = 128
SNAPSHOT_CHUNK_BYTES: Final = 262144
MAX_APPEND_BYTES: Final = 262144
MAX_APPEND_ENTRIES: Final = 256
# Limit of non-empty append requests in flight to one follower.
MAX_APPENDS_IN_FLIGHT: Final = 4
# Number of uncommitted entries at which proposals are rejected.
MAX_UNCOMMITTED_ENTRIES: Final = 4096

KIND_NOOP: Final = 0
KIND_COMMAND: Final = 1
KIND_CONFIGURATION: Final = 2

VOTER_ID_BITS: Final = 128

EVENT_ELECTED: Final = EventKind(
    201,
    'info',
    'elected leader of group {group} in term {term}',
)
EVENT_STEPPED_DOWN: Final = EventKind(
    202,
    'warning',
    'no longer leader of group {group} since term {term}',
)
EVENT_SNAPSHOT_INSTALLED: Final = EventKind(
    203,
    'info',
    'installed a snapshot of group {group} at index {index}',
)
EVENT_BOOTSTRAPPED: Final = EventKind(
    204,
    'info',
    'created the first configuration of group {group} with {voters} voters',
)
EVENT_CONFIGURATION: Final = EventKind(
    205,
    'info',
    'group {group} has voters {voters} and learners {learners}',
)
EVENT_NOT_MEMBER: Final = EventKind(
    206,
    'warning',
    'this disk is not a voter of group {group}: add voter id {voter_id}',
)
EVENT_REQUEST_FORWARDED: Final = EventKind(
    207,
    'info',
    'forwarded {request} of {origin} to {leader}, leader of group {group}',
)
