"""Bounds of what a version may get before it is judged."""

from __future__ import annotations


class ExposureBounds:
    """Bounds of the requests that reach a version during its roll-out.

    ``share`` is the part of the requests to the service that all hosts
    together may send to the target, ``slack`` a number of requests beyond it;
    ``rollback_seconds`` is the time within which a bad version gets no more.
    """

    __slots__ = ('rollback_seconds', 'share', 'slack')

    def __init__(
        self, share: float, slack: float, rollback_seconds: float
    ) -> None:
        """Create bounds."""
        self.share = share
        self.slack = slack
        self.rollback_seconds = rollback_seconds
