"""Configurations of a group that are in force or may be restored."""

from __future__ import annotations

from snipejunction.components.consensus.messages import Configuration


class Membership:
    """Configurations by entry index; the newest one is in force.

    A configuration takes effect when it is appended, not when committed.
    """

    __slots__ = ('_history',)

    def __init__(self, index: int, configuration: Configuration) -> None:
        """Create a history from the configuration of a snapshot."""
        self._history = [(index, configuration)]

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """Return the index of the configuration in force."""
        return self._history[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in force at the entry at ``index``."""
        in_force = self._history[0][1]
        for entry_index, configuration in self._history:
            if entry_index <= index:
                in_force = configuration
        return in_force

    def append(self, index: int, configuration: Configuration) -> None:
        """Add the configuration of a new entry."""
        self._history.append((index, configuration))

    def truncate_from(self, index: int) -> None:
        """Restore the configuration that was in force before ``index``."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()

    def compact(self, index: int) -> None:
        """Remove configurations that were replaced up to ``index``."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def reset(self, index: int, configuration: Configuration) -> None:
        """Replace the history with the configuration of a snapshot."""
        self._history = [(index, configuration)]
