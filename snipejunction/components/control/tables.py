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
        'callers',
        'changes',
        'departure',
        'feed',
        'follower',
        'history',
        'leadership',
        'lost_peers',
        'operators',
        'renewals',
        'subscribers',
    )

    def __init__(self) -> None:
        """Create the tables of a host that has not started."""
        self.feed = FeedLog()
        self.history: deque[HistoryEntry] = deque(maxlen=HISTORY_ENTRIES)
        self.follower = FollowerTable()
        self.subscribers = SubscriberTable()
        self.renewals = RenewalTable()
        self.leadership = LeadershipTable()
        self.changes: dict[int, OpenChange] = {}
        self.callers = TokenIndex()
        self.operators = TokenIndex()
        self.lost_peers: set[str] = set()
        self.departure: Departure | None = None
