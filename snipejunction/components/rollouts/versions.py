"""Versions of searchers that a host may use."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.components.rollouts.const import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)

# Searchers that state no version.
_UNSTATED: Final = ''


class VersionUse:
    """Which of the two versions of a service a host may use.

    ``is_released`` is set once this host has told the control hosts that it
    has nothing left at replaced searchers, which may end from then on.
    """

    __slots__ = ('current', 'is_released', 'state', 'target')

    def __init__(
        self,
        current: str,
        target: str = _UNSTATED,
        state: int = ROLLED_BACK,
        *,
        is_released: bool = False,
    ) -> None:
        """Create the use of ``current`` and a ``target`` in a ``state``."""
        self.current = current
        self.target = target
        self.state = state
        self.is_released = is_released

    @property
    def allows_current(self) -> bool:
        """Return whether anything may go to the current version."""
        if self.state == SWITCHING:
            return not self.is_released
        return self.state != COMPLETED

    @property
    def allows_target(self) -> bool:
        """Return whether anything may go to the target."""
        return self.state != ROLLED_BACK

    def is_current(self, version: str) -> bool:
        """Return whether a searcher of ``version`` counts as current."""
        return version in {self.current, _UNSTATED}

    def is_target(self, version: str) -> bool:
        """Return whether a searcher of ``version`` counts as the target."""
        return version == self.target and not self.is_current(version)

    def allows(self, version: str) -> bool:
        """Return whether anything may go to searchers of ``version``."""
        if self.is_current(version):
            return self.allows_current or self.is_current(self.target)
        return self.allows_target and self.is_target(version)

    def order(
        self, *, may_try: bool, tries_target: bool, is_stopped: bool
    ) -> tuple[bool, ...]:
        """Return the versions for one attempt, the preferred one first.

        True stands for the target. ``may_try`` is whether the exposure bounds
        allow one more attempt at it, ``tries_target`` whether the attempt is
        to gain evidence, and ``is_stopped`` whether this host found it bad.
        """
        if self.is_current(self.target) or not self.allows_target:
            return (False,)
        if not self.allows_current:
            return (True,)
        if is_stopped:
            return (False,)
        if self.state == RUNNING:
            if not may_try:
                return (False,)
            return (True, False) if tries_target else (False, True)
        return (True, False)


def find_current(
    service: str,
    versions: Mapping[str, str],
    target: str,
    records: Iterable[SearcherRecord],
) -> str:
    """Return the current version of a service.

    Without one in ``versions`` it is that of the searcher in ``records`` that
    started first, but not the ``target`` of a roll-out.
    """
    known = versions.get(service)
    if known:
        return known
    starts = [
        (record.born_ms, record.version)
        for record in records
        if not target or record.version != target
    ]
    return min(starts)[1] if starts else _UNSTATED
