"""Tables of the control component."""

from __future__ import annotations

from collections import deque

from snipejunction.components.control.const import HISTORY_ENTRIES
from snipejunction.components.control.departure import Departure
from snipejunction.components.control.follower_table import (
    FollowerTable,
    SubscriberTable,
)
from snipejunction.components.control.leadership_table import LeadershipTable
from snipejunction.components.control.open_changes import OpenChange
from snipejunction.components.control.renewal_table import RenewalTable
from snipejunction.components.control.replication.feed_log import FeedLog
from snipejunction.components.control.replication.messages import (
    HistoryEntry,
)
from snipejunction.components.control.tokens import TokenIndex


class ControlTable:
    """State of the control component.

    ``history`` holds the last settings changes, oldest first; ``lost_peers``
    are hosts without a connection to this one.
    """

    __slots__ = (
        'caller_tokens',
        'departure',
        'feed_log',
        'follower',
        'history',
        'leadership',
        'lost_peers',
        'open_changes',
        'operator_tokens',
        'renewals',
        'subscribers',
    )

    def __init__(self) -> None:
        """Create the tables of a host that has not started."""
        self.feed_log = FeedLog()
        self.history: deque[HistoryEntry] = deque(maxlen=HISTORY_ENTRIES)
        self.follower = FollowerTable()
        self.subscribers = SubscriberTable()
        self.renewals = RenewalTable()
        self.leadership = LeadershipTable()
        self.open_changes: dict[int, OpenChange] = {}
        self.caller_tokens = TokenIndex()
        self.operator_tokens = TokenIndex()
        self.lost_peers: set[str] = set()
        self.departure: Departure | None = None
