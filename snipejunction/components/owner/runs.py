"""Outcomes of non-idempotent requests, to run each at most once."""

from __future__ import annotations

from typing import TypeAlias

from snipejunction.components.owner.const import (
    MAX_REMEMBERED_RUNS,
    RUN_OUTCOME_TTL_SECONDS,
)
from snipejunction.components.owner.messages import RunOnceResult

# Sender, run id, service, caller and request id. A restarted sender may reuse
# a run id, but never with the same request id.
RunKey: TypeAlias = tuple[str, int, str, str, str]


class RunOutcomeTable:
    """Outcomes by request, None while a request is queued or runs."""

    __slots__ = ('_accepted_at', '_outcomes')

    def __init__(self) -> None:
        """Create an empty table."""
        self._outcomes: dict[RunKey, RunOnceResult | None] = {}
        self._accepted_at: dict[RunKey, float] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further request can be remembered."""
        return len(self._outcomes) >= MAX_REMEMBERED_RUNS

    def __contains__(self, key: RunKey) -> bool:
        """Return whether the request was accepted before."""
        return key in self._outcomes

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._outcomes)

    def outcome(self, key: RunKey) -> RunOnceResult | None:
        """Return the outcome, None while the request is open."""
        return self._outcomes.get(key)

    def add(self, key: RunKey, now: float) -> None:
        """Add a request, before it is queued."""
        self._outcomes[key] = None
        self._accepted_at[key] = now

    def record_outcome(self, key: RunKey, outcome: RunOnceResult) -> None:
        """Record the outcome of a request."""
        if key in self._outcomes:
            self._outcomes[key] = outcome

    def remove_expired(self, now: float) -> None:
        """Remove outcomes of requests that were accepted too long ago."""
        for key, accepted_at in list(self._accepted_at.items()):
            if now - accepted_at < RUN_OUTCOME_TTL_SECONDS:
                return
            if self._outcomes[key] is None:
                continue
            self._outcomes.pop(key)
            self._accepted_at.pop(key)
