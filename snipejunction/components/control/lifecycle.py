"""Lifecycle of this process from its start to its stop."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """Phases of a process in their order."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class Lifecycle:
    """The phase of this process and until when callers may contact it."""

    __slots__ = ('_phase', '_serve_until')

    def __init__(self) -> None:
        """Create the lifecycle of a process that starts."""
        self._phase = Phase.STARTING
        self._serve_until = 0.0

    @property
    def phase(self) -> Phase:
        """Return the phase."""
        return self._phase

    @property
    def serve_until(self) -> float:
        """Return when the last address answer naming this host expires."""
        return self._serve_until

    def enter_phase(self, phase: Phase) -> None:
        """Enter a phase."""
        self._phase = phase

    def extend_serving(self, until: float) -> None:
        """Keep serving until an address answer that names this host expires."""
        self._serve_until = max(self._serve_until, until)
