"""Constants of the control component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

_INFO: Final = 'info'

# Name of the operator whose token is in the settings file of each host.
BOOTSTRAP_OPERATOR: Final = 'bootstrap'

# Number of remembered change ids; an older id is refused and never applied
# again.
CHANGE_ID_WINDOW: Final = 20_000
# Changes that each host keeps in its history.
HISTORY_ENTRIES: Final = 500
# Total number of documents; a change that would exceed it is refused.
MAX_DOCUMENTS: Final = 50_000
# Total size of the documents that one change writes, in bytes.
MAX_CHANGE_BYTES: Final = 262_144
MAX_CHANGE_ID_CHARACTERS: Final = 128

# Interval at which a host resends an unanswered change to the leader.
CHANGE_RETRY_SECONDS: Final = 0.5
# After this time the operator is answered that the outcome is unknown.
CHANGE_TIMEOUT_SECONDS: Final = 20.0
# Limits on open changes at one host and on changes in flight at the leader.
MAX_OPEN_CHANGES: Final = 256
MAX_CHANGES_IN_FLIGHT: Final = 1024

# Number of children of one host in the relay tree.
FEED_FANOUT: Final = 16
# Interval at which a follower reports its revision to its feeder.
FOLLOW_INTERVAL_SECONDS: Final = 0.5
# A feeder that sent nothing for this time is replaced.
FEEDER_TIMEOUT_SECONDS: Final = 1.2
# Time for which a follower may lag behind the revision that the leader sent.
MAX_FOLLOWER_LAG_SECONDS: Final = 0.3
# Time with a fallback feeder before the one of the relay tree is retried.
FALLBACK_FEEDER_SECONDS: Final = 10.0
# A subscription that is not renewed within this time expires.
SUBSCRIPTION_TIMEOUT_SECONDS: Final = 3.0
MAX_SUBSCRIBERS: Final = 4096
# Limits of the feed log; followers further behind get a snapshot.
FEED_LOG_ENTRIES: Final = 1000
FEED_LOG_BYTES: Final = 4_194_304
# Limits of one frame of the feed.
FEED_BATCH_ENTRIES: Final = 256
FEED_BATCH_BYTES: Final = 524_288
SNAPSHOT_CHUNK_BYTES: Final = 262_144
MAX_SNAPSHOT_BYTES: Final = 67_108_864
SNAPSHOT_RETRY_SECONDS: Final = 0.5
# A feeder drops a cached snapshot that was not requested for this time.
SNAPSHOT_RETENTION_SECONDS: Final = 10.0

# Number of unanswered renewals that a host tracks.
MAX_OUTSTANDING_RENEWALS: Final = 8
# A host without an answer to its renewals for this time tries another voter.
LEADER_TIMEOUT_SECONDS: Final = 0.6
# A leadership confirmation that takes longer is restarted.
CONFIRM_RETRY_SECONDS: Final = 0.5
# Delay between the expiry of a host's lease and its removal from the view.
VIEW_REMOVAL_DELAY_SECONDS: Final = 1.0
# Renewals at the leader that wait for a confirmation.
MAX_PENDING_RENEWALS: Final = 8192

# Time for which callers may cache an address answer. A host without a lease
# cannot know whether its view is current, so its answers expire earlier.
ADDRESS_TTL_SECONDS: Final = 3.0
UNLEASED_ADDRESS_TTL_SECONDS: Final = 1.0
# Margin for the delivery of an address answer to its caller.
ADDRESS_MARGIN_SECONDS: Final = 0.5
# Time for which a planned stop waits until the other hosts applied it.
DEPARTURE_TIMEOUT_SECONDS: Final = 10.0
# Time for which a planned stop waits for the transfer of log leadership.
TRANSFER_TIMEOUT_SECONDS: Final = 3.0

# Reasons for refusing a renewal.
RENEWAL_NOT_LEADER: Final = 'not_leader'
RENEWAL_LAGGING: Final = 'lagging'
RENEWAL_JOINING: Final = 'joining'

EVENT_LEASE_GAINED: Final = EventKind(
    301,
    _INFO,
    'lease held, granted by {leader}',
)
EVENT_LEASE_LOST: Final = EventKind(
    302,
    'warning',
    'lease expired: no new work accepted; check the path to the leader',
)
EVENT_LEADING: Final = EventKind(
    303,
    _INFO,
    'this host leads the control group from revision {revision}',
)
EVENT_LEADING_ENDED: Final = EventKind(
    304,
    _INFO,
    'this host no longer leads the control group',
)
EVENT_VIEW_PROPOSED: Final = EventKind(
    305,
    _INFO,
    'view change proposed: {changes}',
)
EVENT_VIEW_APPLIED: Final = EventKind(
    306,
    _INFO,
    'view {revision} applied with {hosts} hosts',
)
EVENT_CHANGE_APPLIED: Final = EventKind(
    307,
    _INFO,
    'change {change_id} of {operator} applied at revision {revision}',
)
EVENT_CHANGE_REFUSED: Final = EventKind(
    308,
    _INFO,
    'change {change_id} of {operator} refused: {code}',
)
EVENT_CHANGE_IN_FORCE: Final = EventKind(
    309,
    _INFO,
    'revision {revision} is in force everywhere after {seconds} s',
)
EVENT_SNAPSHOT_TAKEN: Final = EventKind(
    310,
    _INFO,
    'snapshot of revision {revision} from {feeder} applied',
)
EVENT_FEEDER_CHANGED: Final = EventKind(
    311,
    _INFO,
    'settings feeder is now {feeder} instead of {previous}',
)
EVENT_SNAPSHOT_BROKEN: Final = EventKind(
    312,
    'error',
    'snapshot from {feeder} cannot be used: {problem}',
)
EVENT_DEPARTURE_BEGUN: Final = EventKind(
    313,
    _INFO,
    'planned stop begun',
)
EVENT_DEPARTURE_UNSETTLED: Final = EventKind(
    314,
    'warning',
    'planned stop continues without confirmation by the other hosts',
)
EVENT_DEPARTURE_DONE: Final = EventKind(
    315,
    _INFO,
    'planned stop done: all requests are answered',
)
