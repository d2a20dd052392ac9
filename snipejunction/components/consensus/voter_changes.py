"""Pending changes of the voters requested by operators."""

from __future__ import annotations

from snipejunction.components.consensus.messages import Member


class VoterChange:
    """A pending change; ``open_groups`` have not reported a result yet.

    Times are in monotonic seconds.
    """

    __slots__ = (
        'call_id',
        'deadline',
        'is_removal',
        'member',
        'open_groups',
        'resend_due',
    )

    def __init__(
        self,
        call_id: int,
        member: Member,
        is_removal: bool,
        open_groups: set[str],
        deadline: float,
    ) -> None:
        """Create a change that is due to be sent immediately."""
        self.call_id = call_id
        self.member = member
        self.is_removal = is_removal
        self.open_groups = open_groups
        self.deadline = deadline
        self.resend_due = 0.0
