"""What an entry host keeps about requests that wait or were refused."""

from __future__ import annotations

from collections import Counter

from snipejunction.components.scheduling.refusing import RefusalTurns
from snipejunction.components.scheduling.waiting import WaitingQueue


class SchedulingTable:
    """The waiting requests of an entry host and what it refused.

    ``refused`` counts refusals by reason, ``given_up`` the requests that
    ended early because too many parts were lost.
    """

    __slots__ = ('given_up', 'queue', 'refused', 'turns')

    def __init__(self) -> None:
        """Create a table of a host where nothing waits."""
        self.queue = WaitingQueue()
        self.turns = RefusalTurns()
        self.refused: Counter[str] = Counter()
        self.given_up = 0
