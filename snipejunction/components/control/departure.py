"""The state of a planned stop."""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """Stages of a planned stop in their order.

    The host waits in turn until the view without it is settled, until its
    address answers have expired and no work is open, and until it leads no
    replicated log.
    """

    ANNOUNCING = 'announcing'
    DRAINING = 'draining'
    TRANSFERRING = 'transferring'


class Departure:
    """A planned stop; times are in monotonic seconds.

    ``revision`` is the revision of the first view in which the host is not
    active, zero until the host applied that view.
    """

    __slots__ = ('entered_at', 'revision', 'stage')

    def __init__(self, now: float) -> None:
        """Create a stop that begins at ``now``."""
        self.stage = Stage.ANNOUNCING
        self.entered_at = now
        self.revision = 0

    def enter_stage(self, stage: Stage, now: float) -> None:
        """Enter ``stage`` at ``now``."""
        self.stage = stage
        self.entered_at = now
