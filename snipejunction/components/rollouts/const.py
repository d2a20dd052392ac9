"""Constants of the roll-outs component."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from snipejunction.commands import EventKind

# States of a roll-out, in the order that they are taken.
RUNNING: Final = 0
SWITCHING: Final = 1
COMPLETED: Final = 2
ROLLED_BACK: Final = 3
STATE_NAMES: Final = MappingProxyType(
    {
        RUNNING: 'running',
        SWITCHING: 'switching',
        COMPLETED: 'completed',
        ROLLED_BACK: 'rolled back',
    }
)
# States of a roll-out that has not ended.
IN_PROGRESS: Final = frozenset((RUNNING, SWITCHING))
# States that may follow each state.
NEXT_STATES: Final = MappingProxyType(
    {
        RUNNING: frozenset((SWITCHING, ROLLED_BACK)),
        SWITCHING: frozenset((COMPLETED, ROLLED_BACK)),
        COMPLETED: frozenset(),
        ROLLED_BACK: frozenset(),
    }
)
# Interval of the reports of entry hosts while a roll-out runs, in seconds.
REPORT_INTERVAL_SECONDS: Final = 0.5
# Interval of the verdicts of the leader, in seconds.
DECISION_INTERVAL_SECONDS: Final = 0.1
# Time after a switch within which each host in touch has settled and reported
# so, in seconds; one that has not is lost.
LOST_HOST_SECONDS: Final = 2.5
# Time after which a new leader has heard of all searchers, in seconds: each
# announces itself about once a second.
SEARCHERS_SECONDS: Final = 3.0
# Share of the duration after which no host delays the end of a switch.
END_SHARE: Final = 0.95
# Time from the deadline of an order within which the same order is a repeated
# one, in milliseconds.
REPEAT_MS: Final = 10_000
# Delay after which the first versions of services are pinned in one entry, in
# seconds: all searchers may announce themselves at once.
PIN_DELAY_SECONDS: Final = 1.0
# Upper bound of the reports that a control host keeps.
MAX_REPORTS: Final = 4096
EVENT_ROLLOUT_STARTED: Final = EventKind(
    960,
    'info',
    'roll-out {number} moves {service} to {target} within {duration} s',
)
EVENT_ROLLOUT_CONFLICT: Final = EventKind(
    961,
    'warning',
    'refused to move {service} to {target}: {reason}',
)
EVENT_ROLLOUT_SWITCHING: Final = EventKind(
    962,
    'info',
    'roll-out {number} of {service} sends all to {target}: {reason}',
)
EVENT_ROLLOUT_COMPLETED: Final = EventKind(
    963,
    'info',
    'roll-out {number} of {service} to {target} is completed: {reason}',
)
EVENT_ROLLOUT_ROLLED_BACK: Final = EventKind(
    964,
    'warning',
    'roll-out {number} of {service} to {target} is rolled back: {reason}',
)
EVENT_VERSIONS_PINNED: Final = EventKind(
    965,
    'info',
    'first versions of services, at index {index}: {versions}',
)
EVENT_ROLLOUT_JUDGED: Final = EventKind(
    966,
    'info',
    'verdict on roll-out {number} of {service} to {target}: {verdict}; '
    '{reason}',
)
# Event of each state that a roll-out moves to.
STATE_EVENTS: Final = MappingProxyType(
    {
        SWITCHING: EVENT_ROLLOUT_SWITCHING,
        COMPLETED: EVENT_ROLLOUT_COMPLETED,
        ROLLED_BACK: EVENT_ROLLOUT_ROLLED_BACK,
    }
)
# Share of the exposure bounds that hosts use: the rest covers hosts that
# start again or compute their share from an outdated list of hosts.
EXPOSURE_USED: Final = 0.6
# Parts of one request that may try the target of a roll-out at first: without
# one of them, most answers are still complete enough.
MAX_TARGET_PARTS: Final = 1
# Least time between two tries of a target by one host, in seconds.
MIN_TRY_INTERVAL_SECONDS: Final = 0.1
# An answer is slow beyond this multiple of the median of the replaced version
# and at least this long after it, in seconds: two iterations of a busy event
# loop.
SLOW_MEDIANS: Final = 3.0
MIN_SLOW_SECONDS: Final = 0.008
# A host that has got this many bad answers of a target, and fewer others,
# stops using it by itself.
STOP_BAD_ANSWERS: Final = 8
# Time in seconds for which a host that switches may still return to the
# replaced version: two reports of what the target does under the whole load.
SETTLE_SECONDS: Final = 1.0

EVENT_ROLLOUT_CHANGED: Final = EventKind(
    970,
    'info',
    'roll-out {number} of {service} to {target} is {state} here, index {index}',
)
EVENT_TARGET_STOPPED: Final = EventKind(
    971,
    'warning',
    'roll-out {number}: this host no longer uses {target} of {service}: '
    '{bad} of {total} answers are bad',
)
EVENT_REPLACED_RELEASED: Final = EventKind(
    972,
    'info',
    'roll-out {number}: this host has nothing left at replaced searchers of '
    '{service}',
)
EVENT_VERSION_MISSING: Final = EventKind(
    973,
    'warning',
    'request {request}: {service} has no searcher of its version {current}; '
    'those of {others} get nothing without a roll-out',
)
