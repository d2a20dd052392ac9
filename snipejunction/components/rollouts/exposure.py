"""Bounds on what a version may get before it has proved itself."""

from __future__ import annotations


class ExposureBounds:
    """Bounds of a deployment for each roll-out.

    A version on trial may get ``share`` of all requests to its service and
    ``slack`` requests more, and none ``rollback_seconds`` after it has shown
    that it is bad.
    """

    __slots__ = ('rollback_seconds', 'share', 'slack')

    def __init__(
        self, share: float, slack: float, rollback_seconds: float
    ) -> None:
        """Create bounds; ``share`` is between 0 and 1."""
        self.share = share
        self.slack = slack
        self.rollback_seconds = rollback_seconds
