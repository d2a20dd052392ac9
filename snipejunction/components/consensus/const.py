"""Constants of the consensus component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

HEARTBEAT_SECONDS: Final = 0.1
# An election starts after a random time between these two, in seconds.
ELECTION_MIN_SECONDS: Final = 0.6
ELECTION_MAX_SECONDS: Final = 1.2
# A replica that just started stands after a random time between these two,
# in seconds: a pre-vote keeps it from disturbing a leader.
FIRST_ELECTION_MIN_SECONDS: Final = 0.15
FIRST_ELECTION_MAX_SECONDS: Final = 0.45
# A leader without a quorum for this time steps down, in seconds.
QUORUM_SECONDS: Final = ELECTION_MAX_SECONDS
# Time after which a leadership transfer is tried again, in seconds.
TRANSFER_SECONDS: Final = 0.6
BOOTSTRAP_SECONDS: Final = 0.25
SNAPSHOT_RESEND_SECONDS: Final = 0.5
# Times of an operator's change of the voters, in seconds.
CHANGE_RESEND_SECONDS: Final = 0.25
CHANGE_SECONDS: Final = 30.0

# The first configuration stands at this index, so that a host without it
# gets it as a snapshot.
BOOTSTRAP_INDEX: Final = 1

# Applied entries after which a snapshot replaces them on disk.
SNAPSHOT_ENTRIES: Final = 256
# A large state is written again only after an entry for each so many bytes.
SNAPSHOT_BYTES_PER_ENTRY: Final = 512
# Entries kept in memory below a snapshot for followers that lag a little.
TRAILING_ENTRIES: Final = 128
SNAPSHOT_CHUNK_BYTES: Final = 262144
MAX_APPEND_BYTES: Final = 262144
MAX_APPEND_ENTRIES: Final = 256
# Appends with entries that may be on their way to one follower.
MAX_APPENDS_IN_FLIGHT: Final = 4
# Entries that may wait for their commit before proposals are turned away.
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
    'took the first configuration of group {group} with {voters} voters',
)
EVENT_CONFIGURATION: Final = EventKind(
    205,
    'info',
    'group {group} has voters {voters} and learners {learners}',
)
EVENT_NOT_MEMBER: Final = EventKind(
    206,
    'warning',
    'this disk is no voter of group {group}: add voter id {voter_id}',
)
