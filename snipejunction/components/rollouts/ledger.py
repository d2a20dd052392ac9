"""What one host may send to the target of a roll-out."""

from __future__ import annotations

from snipejunction.components.rollouts.const import (
    EXPOSURE_USED,
    MIN_TRY_INTERVAL_SECONDS,
)
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.timers import NEVER


class Ledger:
    """Requests of one host to a service since the order of its roll-out.

    ``target_sent`` counts all sends to the target; ``current_answered`` counts
    those that the current version is known to have received. Each host keeps
    the ratio of its own sends, so all hosts together keep it without any
    message.
    """

    __slots__ = (
        '_last_target_at',
        '_most_hosts',
        'current_answered',
        'target_sent',
    )

    def __init__(self) -> None:
        """Create a ledger without any sends."""
        self._most_hosts = 1
        self._last_target_at = -NEVER
        self.current_answered = 0
        self.target_sent = 0

    def count_target(self, now: float) -> None:
        """Count a send to the target."""
        self.target_sent += 1
        self._last_target_at = now

    def is_try_due(self, now: float) -> bool:
        """Return whether the next try of the target is due."""
        return now >= self._last_target_at + MIN_TRY_INTERVAL_SECONDS

    def may_send_to_target(
        self, bounds: ExposureBounds, host_count: int, position: int | None
    ) -> bool:
        """Return whether one more send to the target keeps the bounds.

        ``host_count`` is the number of hosts that share the slack, and
        ``position`` that of this host among them, None without a share.
        """
        self._most_hosts = max(self._most_hosts, host_count)
        total = self.current_answered + self.target_sent + 1
        allowed = total * bounds.share * EXPOSURE_USED
        if position is not None:
            allowed += self._slack_part(bounds, position)
        return self.target_sent + 1 <= allowed

    def _slack_part(self, bounds: ExposureBounds, position: int) -> int:
        """Return the requests of the slack that this host may use.

        The first hosts use one more each if they cannot be shared equally.
        Hosts that are gone keep what they may have used.
        """
        requests = int(bounds.slack * EXPOSURE_USED)
        equal_part, left = divmod(requests, self._most_hosts)
        return equal_part + (position < left)
