"""Constants of the quotas component."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import EventKind

# Least interval between two reports of a host, and the interval of reports
# that only renew its lease, in seconds.
REPORT_SECONDS: Final = 0.05
RENEWAL_SECONDS: Final = 0.4
# How long a host cedes its part of the quotas after it sent a report that was
# answered, in seconds.
LEASE_SECONDS: Final = 1.5
# How long the home uses a part after it sent the last answer that the host
# received, in seconds.
CESSION_SECONDS: Final = 1.0
# Answers that took longer do not extend the lease, in seconds: the home must
# not use a part for longer than its host cedes it.
MAX_ROUND_TRIP_SECONDS: Final = LEASE_SECONDS - CESSION_SECONDS
# How long a host shares the level that it was told, in seconds.
BELIEF_SECONDS: Final = 1.0
# A host that was told no level admits what a customer may send in this time,
# in seconds: the longest that an answer usually takes.
AHEAD_SECONDS: Final = 0.1
# A host knows the level of customers without requests roughly while its home
# answered within this time, in seconds, for ``STEADY_SECONDS`` or longer.
CONTACT_SECONDS: Final = 0.6
STEADY_SECONDS: Final = 2.0
# No part is used this long after the first list of hosts, in seconds: lists
# are incomplete while many hosts start.
SETTLE_SECONDS: Final = 2.0
# Time without a control host in touch with a leader after which a host uses
# less of the parts, in seconds: the other side of a cut is about to stop
# counting this one.
OUT_OF_TOUCH_SECONDS: Final = 12.0
# Share of the parts that is used then, and the rate for all hosts together up
# to which they are not reduced, in requests per second.
OUT_OF_TOUCH_SHARE: Final = 0.2
OUT_OF_TOUCH_RATE: Final = 2.0
# How long a host counts as one that uses a customer, in seconds.
USER_SECONDS: Final = 1.0
# Pause after which the bucket of a host's own part starts anew, and how long
# a host without a part keeps reporting after a request, in seconds.
PAUSE_SECONDS: Final = 5.0
# How long the home remembers the reports of a host, in seconds.
REPORTER_SECONDS: Final = 15.0
# Time after which a request is told to come again while the home has no part
# to use, in seconds.
UNSETTLED_RETRY_SECONDS: Final = 1.0
# Upper bounds of the time after which a refused request is told to come again,
# and of what is added to it while others wait, in seconds.
MAX_RETRY_SECONDS: Final = 5.0
SPREAD_SECONDS: Final = 2.0
# Bits of the random numbers that tell apart restarted hosts.
EPOCH_BITS: Final = 40
# Total in the level of a customer that the host has not reported.
NOT_REPORTED: Final = -1
# Rendezvous key of the home.
HOME_KEY: Final = 'quotas'

_INFO: Final = 'info'
EVENT_OVER_QUOTA: Final = EventKind(
    980,
    _INFO,
    'request {request} of {customer} is over its quota: {source} holds {level} '
    'requests, told {age} s ago, comes back in {wait} s',
)
EVENT_HOME_CHANGED: Final = EventKind(
    981, _INFO, 'quotas are kept by {home}, before by {previous}'
)
EVENT_LEASE_BEGUN: Final = EventKind(
    982, _INFO, 'the home of the quotas {home} answers'
)
EVENT_LEASE_ENDED: Final = EventKind(
    983,
    'warning',
    'no answer from the home of the quotas {home} for {seconds} s: this host '
    'uses its own part',
)
