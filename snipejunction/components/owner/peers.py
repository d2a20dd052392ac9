"""State that an owner keeps for each root that sends it work."""

from __future__ import annotations

from snipejunction.components.owner.messages import SubResult
from snipejunction.components.owner.work import SubWork


class RootPeer:
    """The sub-requests and unsent results of one root.

    Ids of sub-requests are remembered for one to two periods, so that a
    duplicate message dispatches nothing twice.
    """

    __slots__ = (
        '_previous_seen',
        '_seen',
        'incarnation',
        'is_flush_immediate',
        'is_flush_scheduled',
        'open_work',
        'outbox',
    )

    def __init__(self, incarnation: str) -> None:
        """Create an entry for one incarnation of a root."""
        self.incarnation = incarnation
        self.open_work: dict[int, SubWork] = {}
        self.outbox: list[SubResult] = []
        self.is_flush_scheduled = False
        self.is_flush_immediate = False
        self._seen: set[int] = set()
        self._previous_seen: set[int] = set()

    @property
    def is_idle(self) -> bool:
        """Return whether there is no state left for the root."""
        if self.open_work or self.outbox:
            return False
        return not self._seen and not self._previous_seen

    def mark_seen(self, sub_id: int) -> bool:
        """Remember the id of a sub-request and return whether it is new."""
        if sub_id in self._seen or sub_id in self._previous_seen:
            return False
        self._seen.add(sub_id)
        return True

    def rotate_seen(self) -> None:
        """Start a period and forget the ids of the one before last."""
        self._previous_seen = self._seen
        self._seen = set()

    def restart(self, incarnation: str) -> None:
        """Discard the state of an earlier incarnation of the root.

        Its sub-requests get no answer, and the new incarnation may use their
        ids again.
        """
        self.incarnation = incarnation
        for work in self.open_work.values():
            work.is_answered = True
        self.open_work.clear()
        self.outbox.clear()
        self._seen.clear()
        self._previous_seen.clear()
