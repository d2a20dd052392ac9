"""Announcements on their way from an upstream to its owner."""

from __future__ import annotations

from snipejunction.components.owner.messages import Announcement


class PendingAnnouncement:
    """An announcement that waits for the owner's answer.

    ``owner`` is the host that it was last sent to; times are monotonic
    seconds.
    """

    __slots__ = ('announcement', 'deadline', 'owner', 'resend_at')

    def __init__(self, announcement: Announcement, deadline: float) -> None:
        """Create an entry that was not sent yet."""
        self.announcement = announcement
        self.deadline = deadline
        self.resend_at = 0.0
        self.owner: str | None = None
