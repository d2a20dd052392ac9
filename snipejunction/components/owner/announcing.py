"""Announcements that are forwarded from an upstream to its owner."""

from __future__ import annotations

from snipejunction.components.owner.messages import Announcement


class PendingAnnouncement:
    """An announcement that the owner has not acknowledged yet.

    ``owner`` is the host that it was last sent to. Times are monotonic
    seconds.
    """

    __slots__ = ('announcement', 'deadline', 'owner', 'resend_at')

    def __init__(self, announcement: Announcement, deadline: float) -> None:
        """Create an entry that has not been sent yet."""
        self.announcement = announcement
        self.deadline = deadline
        self.resend_at = 0.0
        self.owner: str | None = None
