"""Settings changes that this host forwards for operators."""

from __future__ import annotations

from snipejunction.components.control.messages import ProposeChange


class OpenChange:
    """One change that is not answered; times are in monotonic seconds.

    ``due`` is when it is sent again. ``unresolved_attempts`` are those that
    a leader may have proposed. ``leader`` is a hint where to send it, empty
    for the leader that grants leases.
    """

    __slots__ = (
        'call_id',
        'deadline',
        'due',
        'leader',
        'proposal',
        'unresolved_attempts',
    )

    def __init__(
        self,
        call_id: int,
        proposal: ProposeChange,
        deadline: float,
        now: float,
    ) -> None:
        """Create a change that is due to be sent at ``now``."""
        self.call_id = call_id
        self.proposal = proposal
        self.deadline = deadline
        self.due = now
        self.leader = ''
        self.unresolved_attempts: set[int] = set()
